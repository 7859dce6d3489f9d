"""The application object: start, reload, drain and stop of a gateway."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import reader_role
from cassiahead_gateway import context as context_lib
from cassiahead_gateway import heartbeat_exchange as exchange_lib
from cassiahead_gateway import http_server
from cassiahead_gateway import record_reader as reader_lib
from cassiahead_gateway import request_handler as gateway_lib
from cassiahead_gateway import settings as settings_lib
from cassiahead_telemetry import background
from cassiahead_telemetry import events
from cassiahead_telemetry import exposition
from cassiahead_telemetry import log_handler
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_gateway import decoded_records
    from cassiahead_gateway import record_source as source_lib

__all__ = ["Application"]

_FLUSH_S = 0.1
_HOUSEKEEPING_S = 0.25
# A loop that was held up for longer has been suspended, or starved.
_PAUSE_S = 1.0
# The balancer takes a host out after two questions, a second apart, that were
# not answered with 200; callers keep their connections until then.
_SERVE_ON_S = 3.0
# Connections on which callers sent nothing for this long after the signal are
# closed; all others were closed with an answer.
_CLOSE_IDLE_S = 4.5
# Time left for writing the last answers before the process is killed.
_GRACE_MARGIN_S = 0.5
_DRAIN_POLL_S = 0.05


@attrs.define(eq=False)
class Application:
    """Owns all parts of one gateway."""

    _settings: settings_lib.Settings
    _settings_path: pathlib.Path
    _log_stream: log_handler.BoundedStreamHandler
    _context: context_lib.Context
    _gateway: gateway_lib.RequestHandler
    _exchange: exchange_lib.HeartbeatExchange
    _reader: reader_lib.RecordReader
    _callers: http_server.HttpServer
    _servers: list[http_server.HttpServer]
    _stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    _background: background.BackgroundTasks = attrs.field(
        default=attrs.Factory(
            lambda self: background.BackgroundTasks(self._stopping),
            takes_self=True,
        )
    )
    _was_ready: bool = False

    @classmethod
    def from_settings(
        cls,
        settings: settings_lib.Settings,
        settings_path: pathlib.Path,
        log_stream: log_handler.BoundedStreamHandler,
        decode: decoded_records.RecordDecoder,
        source: source_lib.RecordSource,
    ) -> Application:
        """Creates a gateway that does nothing yet."""
        rng = random.Random()
        context = context_lib.Context.from_settings(settings, decode, rng)
        gateway = gateway_lib.RequestHandler(context)
        exchange = exchange_lib.HeartbeatExchange(
            context, lambda: reader.reading
        )
        reader = reader_lib.RecordReader(
            context,
            source,
            reader_role.ReaderRole.at_start(rng, clock.monotonic()),
            exchange.tell_all,
        )
        application = cls(
            settings,
            settings_path,
            log_stream,
            context,
            gateway,
            exchange,
            reader,
            http_server.HttpServer(settings.callers, gateway.handle),
            [http_server.HttpServer(settings.peers, exchange.handle)],
        )
        application._servers += [
            http_server.HttpServer(
                settings.readiness, application.handle_readiness
            ),
            http_server.HttpServer(
                settings.metrics, application.handle_metrics
            ),
        ]
        return application

    @property
    def context(self) -> context_lib.Context:
        """What the parts share."""
        return self._context

    @property
    def is_reading(self) -> bool:
        """Whether this process reads the platform's service."""
        return self._reader.reading

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self._context.catalogue.router is not None
            and not self._stopping.is_set()
        )

    async def run(self) -> None:
        """Runs until a signal asks for the end."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.start()
        await self._stopping.wait()
        await self.drain()
        await self.stop()

    def start(self) -> None:
        """Opens the servers and begins to follow the fleet."""
        for server in [self._callers, *self._servers]:
            server.listen()
        self._exchange.seed()
        self._background.spawn(self._exchange.run())
        self._background.spawn(self._reader.run())
        self._background.spawn(self._keep_house())
        self._background.spawn(self._flush_logs())
        events.log(
            events.Event.STARTED,
            process=self._context.process,
            callers=self._settings.callers,
            failure_domain=self._settings.failure_domain,
        )

    def reload(self) -> None:
        """Takes over new settings as far as a running process can."""
        try:
            settings = settings_lib.load(self._settings_path)
        except settings_lib.SettingsError as error:
            events.log(events.Event.SETTINGS_UNUSABLE, detail=str(error))
            return
        changed = [
            field.name
            for field in attrs.fields(settings_lib.Settings)
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = settings
        now = clock.monotonic()
        for address in settings.seeds:
            self._context.peers.add_address(address, now)
        events.log(events.Event.RELOADED, changed=changed)

    async def drain(self) -> None:
        """Becomes unready, serves on, and finishes work in flight."""
        began = clock.monotonic()
        last = began + self._settings.grace_s - _GRACE_MARGIN_S
        events.log(
            events.Event.DRAINING, in_flight=self._gateway.in_flight_count
        )
        self._exchange.leaving = True
        self._exchange.tell_all()
        self._callers.closing = True
        serve_until = min(began + _SERVE_ON_S, last)
        await asyncio.sleep(serve_until - clock.monotonic())
        self._callers.stop_listening()
        close_idle_at = min(began + _CLOSE_IDLE_S, last)
        while self._callers.connections and clock.monotonic() < last:
            await asyncio.sleep(_DRAIN_POLL_S)
            if clock.monotonic() >= close_idle_at:
                self._callers.close_idle()

    async def stop(self) -> None:
        """Closes everything."""
        events.log(
            events.Event.STOPPED, in_flight=self._gateway.in_flight_count
        )
        await self._background.cancel()
        self._exchange.close()
        self._reader.close()
        for server in [self._callers, *self._servers]:
            await server.close()
        self._log_stream.flush()

    async def handle_readiness(
        self, request: http_server.Request
    ) -> http_server.Reply:
        """Answers the balancer."""
        path = request.path.partition("?")[0]
        if path != self._settings.readiness_path:
            return http_server.plain_reply(404)
        return http_server.plain_reply(200 if self.is_ready else 503)

    async def handle_metrics(
        self, request: http_server.Request
    ) -> http_server.Reply:
        """Answers whoever collects metrics."""
        if request.path.partition("?")[0] != "/metrics":
            return http_server.plain_reply(404)
        return http_server.plain_reply(200, exposition.prometheus_text())

    async def _keep_house(self) -> None:
        ticked_at = clock.monotonic()
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            now = clock.monotonic()
            if now - ticked_at > _HOUSEKEEPING_S + _PAUSE_S:
                self._note_pause(now - ticked_at)
            ticked_at = now
            self._context.catalogue.expire(now)
            self._context.connections.close_expired()
            self._note_readiness()

    def _note_pause(self, seconds: float) -> None:
        # What was said over open connections meanwhile may be lost, and some
        # of them may be silent for good.
        events.log(events.Event.PAUSED, seconds=round(seconds, 2))
        self._context.connections.close_idle()
        self._exchange.close_idle()

    def _note_readiness(self) -> None:
        ready = self.is_ready
        if ready == self._was_ready:
            return
        self._was_ready = ready
        catalogue = self._context.catalogue
        if ready:
            events.log(
                events.Event.READY,
                version=catalogue.configuration_version,
                revision=catalogue.revision,
                targets=catalogue.target_count,
            )
        else:
            events.log(events.Event.UNREADY, reason="stopping")

    async def _flush_logs(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_S)
            self._log_stream.flush()
