"""Life cycle of a gateway process: start, reload, drain and stop."""

from __future__ import annotations

import asyncio
import math
import pathlib
import random
import signal
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import drain_schedule
from cassiahead_decisions import reader_role
from cassiahead_gateway import caller_limits
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import heartbeat_exchanger
from cassiahead_gateway import http_server
from cassiahead_gateway import record_reader
from cassiahead_gateway import refusal_log
from cassiahead_gateway import request_handler
from cassiahead_gateway import settings as settings_lib
from cassiahead_gateway import state_gauges
from cassiahead_telemetry import background
from cassiahead_telemetry import events
from cassiahead_telemetry import exposition
from cassiahead_telemetry import log_handler
from cassiahead_telemetry import loop_delay
from cassiahead_wire import clock
from cassiahead_wire import memory_budget

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahead_gateway import decoded_records
    from cassiahead_gateway import record_source

__all__ = ["Application"]

_LOG_FLUSH_INTERVAL_S = 0.1
_HOUSEKEEPING_INTERVAL_S = 0.25
# A longer delay of the event loop counts as a pause: the process was suspended
# or got no processor time.
_PAUSE_THRESHOLD_S = 1.0
_DRAIN_POLL_INTERVAL_S = 0.05


@attrs.define(eq=False)
class Application:
    """Owns the servers, background tasks and shared state of one gateway."""

    _settings: settings_lib.Settings
    _settings_path: pathlib.Path
    _stdout_handler: log_handler.BoundedStreamHandler
    _gateway_state: gateway_state_lib.GatewayState
    _request_handler: request_handler.RequestHandler
    _heartbeat_exchanger: heartbeat_exchanger.HeartbeatExchanger
    _record_reader: record_reader.RecordReader
    _refusal_log: refusal_log.RefusalLog
    _caller_server: http_server.HttpServer
    _internal_servers: list[http_server.HttpServer]
    _stop_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _background_tasks: background.BackgroundTasks = attrs.field(
        default=attrs.Factory(
            lambda self: background.BackgroundTasks(self._stop_requested),
            takes_self=True,
        )
    )
    _loop_delay_monitor: loop_delay.LoopDelayMonitor = attrs.field(
        factory=loop_delay.LoopDelayMonitor
    )
    _signalled_at: float | None = None
    _was_ready: bool = False
    _bad_targets: set[str] = attrs.field(factory=set)

    @classmethod
    def from_settings(
        cls,
        settings: settings_lib.Settings,
        settings_path: pathlib.Path,
        stdout_handler: log_handler.BoundedStreamHandler,
        decode: decoded_records.RecordDecoder,
        source: record_source.RecordSource,
    ) -> Application:
        """Creates a gateway that is not listening yet.

        Args:
            settings: Settings of the gateway.
            settings_path: File that ``reload`` reads.
            stdout_handler: Log handler that is flushed periodically.
            decode: Decodes the published records.
            source: Client of the configuration service.
        """
        rng = random.Random()
        gateway_state = gateway_state_lib.GatewayState.from_settings(
            settings, decode, rng
        )
        handler = request_handler.RequestHandler(gateway_state)
        exchanger = heartbeat_exchanger.HeartbeatExchanger.from_state(
            gateway_state
        )
        reader = record_reader.RecordReader(
            gateway_state,
            source,
            reader_role.ReaderRole.at_start(
                rng,
                clock.monotonic(),
                not settings.seeds or settings.peers in settings.seeds,
            ),
            exchanger.notify_own_read,
        )
        budget = memory_budget.replace_process_budget(
            caller_limits.max_held_bytes(settings)
        )
        refusals = refusal_log.RefusalLog(gateway_state.metrics.refusals)
        application = cls(
            settings,
            settings_path,
            stdout_handler,
            gateway_state,
            handler,
            exchanger,
            reader,
            refusals,
            http_server.HttpServer(
                settings.callers,
                handler.handle,
                caller_limits.CallerLimitsSource.from_settings(
                    settings, gateway_state.catalogue
                ),
                budget,
                refusals.record,
                settings.headers.request_id,
            ),
            [http_server.HttpServer(settings.peers, exchanger.handle)],
        )
        application._internal_servers += [
            http_server.HttpServer(
                settings.readiness, application.handle_readiness
            ),
            http_server.HttpServer(
                settings.metrics, application.handle_metrics
            ),
        ]
        application._add_gauges()
        return application

    @property
    def gateway_state(self) -> gateway_state_lib.GatewayState:
        """State that the components of the gateway share."""
        return self._gateway_state

    @property
    def is_reading(self) -> bool:
        """Whether this process has the reader role and a recent answer."""
        return self._record_reader.is_reading

    @property
    def has_reader_role(self) -> bool:
        """Whether this process has the reader role, answered or not."""
        return self._record_reader.has_role

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers to this gateway."""
        return (
            self._gateway_state.catalogue.router is not None
            and not self._stop_requested.is_set()
        )

    async def run(self, reload_requested: Callable[[], bool]) -> None:
        """Runs the gateway until SIGTERM or SIGINT, then drains and stops it.

        SIGHUP reloads the settings.

        Args:
            reload_requested: Returns whether a SIGHUP arrived after the
                settings were read and before this method handles the signal.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
            # The event loop may call its handler late; this one is called at
            # once. Replacing asyncio's own handler, which does nothing, leaves
            # the loop's intact.
            signal.signal(signal_number, self._record_signal)
            signal.siginterrupt(signal_number, False)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.start()
        if reload_requested():
            self.reload()
        await self._stop_requested.wait()
        await self.drain()
        await self.stop()

    def _record_signal(self, _number: int, _frame: object) -> None:
        """Records when the process was told to stop; changes nothing else."""
        if self._signalled_at is None:
            self._signalled_at = clock.monotonic()

    def start(self) -> None:
        """Starts listening and starts the background tasks."""
        for server in [self._caller_server, *self._internal_servers]:
            server.listen()
        self._heartbeat_exchanger.add_seeds()
        self._background_tasks.spawn(self._heartbeat_exchanger.run())
        self._background_tasks.spawn(self._record_reader.run())
        self._background_tasks.spawn(self._run_housekeeping())
        self._background_tasks.spawn(self._flush_logs())
        events.log(
            events.Event.STARTED,
            process=self._gateway_state.process_name,
            callers=self._settings.callers,
            failure_domain=self._settings.failure_domain,
        )

    def reload(self) -> None:
        """Reads the settings file again; called on SIGHUP.

        New seed addresses, the grace period and the readiness path take effect
        at once, all other settings at the next start of the process. A seed
        address that was removed from the file is kept for as long as a gateway
        answers there. An unusable file is logged and has no effect.
        """
        try:
            settings = settings_lib.load(self._settings_path)
        except settings_lib.SettingsError as error:
            events.log(events.Event.SETTINGS_UNUSABLE, detail=str(error))
            return
        changed_setting_names = [
            field.name
            for field in attrs.fields(settings_lib.Settings)
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = settings
        self._gateway_state.peers.add_seeds(settings.seeds)
        events.log(events.Event.RELOADED, changed=changed_setting_names)

    async def drain(self) -> None:
        """Becomes unready, stops listening and answers what is in flight.

        Keeps listening until the balancer has taken the host out of service.
        The wait ends when all connections are closed, or shortly before the
        process is killed; see ``DrainSchedule``.
        """
        signalled_at = self._signalled_at
        schedule = drain_schedule.DrainSchedule.from_signal(
            clock.monotonic() if signalled_at is None else signalled_at,
            self._settings.grace_s,
        )
        events.log(
            events.Event.DRAINING,
            in_flight=self._request_handler.in_flight_count,
        )
        self._heartbeat_exchanger.announce_leaving()
        self._caller_server.is_closing = True
        self._request_handler.start_drain(schedule)
        await asyncio.sleep(schedule.stop_listening_at - clock.monotonic())
        self._caller_server.stop_listening()
        await asyncio.sleep(schedule.accept_all_until - clock.monotonic())
        # Without this, a crowd of paused uploads would have to be disconnected
        # when the process should end already.
        self._caller_server.refuse_unfinished()
        await self._wait_for_connections(
            schedule.answer_all_at, schedule.close_idle_at
        )
        self._request_handler.stop_all()
        await self._wait_for_connections(schedule.close_all_at, -math.inf)

    async def _wait_for_connections(
        self, until: float, close_idle_at: float
    ) -> None:
        """Waits until all callers' connections are closed.

        Args:
            until: When the wait ends at the latest.
            close_idle_at: From when on connections without a request are
                closed. Any other is closed after its next reply.
        """
        while (
            self._caller_server.connection_count and clock.monotonic() < until
        ):
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
            if clock.monotonic() >= close_idle_at:
                self._caller_server.close_idle()

    async def stop(self) -> None:
        """Cancels background tasks, closes connections and flushes the log."""
        events.log(
            events.Event.STOPPED,
            in_flight=self._request_handler.in_flight_count,
        )
        await self._background_tasks.cancel()
        self._heartbeat_exchanger.close()
        self._record_reader.close()
        for server in [self._caller_server, *self._internal_servers]:
            await server.close()
        self._stdout_handler.flush()

    async def handle_readiness(
        self, request: http_server.Request
    ) -> http_server.Reply:
        """Answers a readiness check of the balancer.

        Returns:
            Status 200 if ready, 503 if not, 404 for another path.
        """
        path = request.path.partition("?")[0]
        if path != self._settings.readiness_path:
            return http_server.plain_reply(404)
        return http_server.plain_reply(200 if self.is_ready else 503)

    async def handle_metrics(
        self, request: http_server.Request
    ) -> http_server.Reply:
        """Serves the metrics in the Prometheus text format at ``/metrics``."""
        if request.path.partition("?")[0] != "/metrics":
            return http_server.plain_reply(404)
        return http_server.plain_reply(200, exposition.prometheus_text())

    async def _run_housekeeping(self) -> None:
        last_tick_at = clock.monotonic()
        while True:
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL_S)
            now = clock.monotonic()
            self._record_loop_delay(now - last_tick_at, now)
            last_tick_at = now
            self._gateway_state.catalogue.forget_expired(now)
            self._gateway_state.connections.close_expired()
            self._refusal_log.report(now, self._caller_server.budget.held_bytes)
            self._log_readiness_change()
            self._log_bad_targets(now)
            self._gateway_state.target_pacer.update(self._bad_targets, now)

    def _add_gauges(self) -> None:
        """Registers the metrics that are read from the state."""
        state_gauges.add_gauges(self._gateway_state)
        metrics = self._gateway_state.metrics
        metrics.add_gauge(
            "cassiahead_bad_targets",
            "Targets avoided because the fleet has seen them to be bad",
            lambda: len(self._bad_targets),
        )
        metrics.add_gauge(
            "cassiahead_reading",
            "Whether this process reads the configuration service",
            lambda: self.is_reading,
        )
        refusal_log.add_gauges(
            metrics, self._caller_server.budget, self._caller_server
        )

    def _record_loop_delay(self, tick_s: float, now: float) -> None:
        """Records how late housekeeping starts.

        Args:
            tick_s: Seconds since housekeeping started the last time.
            now: Current time.
        """
        delay_s = max(0.0, tick_s - _HOUSEKEEPING_INTERVAL_S)
        self._gateway_state.metrics.loop_delay.record(delay_s)
        self._loop_delay_monitor.record(delay_s, now)
        if delay_s > _PAUSE_THRESHOLD_S:
            self._handle_pause(tick_s)

    def _handle_pause(self, pause_s: float) -> None:
        # Peers and targets may have dropped these connections during the pause,
        # so that requests on them would be lost or never answered.
        events.log(events.Event.PAUSED, seconds=round(pause_s, 2))
        self._gateway_state.connections.close_idle()
        self._heartbeat_exchanger.close_idle()

    def _log_readiness_change(self) -> None:
        is_ready = self.is_ready
        if is_ready == self._was_ready:
            return
        self._was_ready = is_ready
        catalogue = self._gateway_state.catalogue
        if is_ready:
            events.log(
                events.Event.READY,
                version=catalogue.configuration_version,
                revision=catalogue.revision,
                targets=catalogue.target_count,
            )
        else:
            events.log(events.Event.UNREADY, reason="stopping")

    def _log_bad_targets(self, now: float) -> None:
        """Logs the targets that are avoided from now on, or no longer."""
        sightings = self._gateway_state.sightings
        target_count = self._gateway_state.catalogue.target_count
        bad_targets: set[str] = set()
        if sightings.are_needed(target_count, now):
            bad_targets = sightings.bad_targets(now)
        previous_targets, self._bad_targets = self._bad_targets, bad_targets
        for event, targets in (
            (events.Event.TARGETS_BAD, bad_targets - previous_targets),
            (events.Event.TARGETS_GOOD, previous_targets - bad_targets),
        ):
            if targets:
                events.log(
                    event, targets=sorted(targets), avoided=len(bad_targets)
                )

    async def _flush_logs(self) -> None:
        while True:
            await asyncio.sleep(_LOG_FLUSH_INTERVAL_S)
            self._stdout_handler.flush()
