"""Starts, drains and stops the parts of a daemon."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import attrs
from tornado import httpserver
from tornado import web

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import entry
from cassiahead_daemon import exchanger
from cassiahead_daemon import handlers
from cassiahead_daemon import operator_handlers
from cassiahead_daemon import platform_reader
from cassiahead_daemon import relay
from cassiahead_daemon import settings as settings_lib
from cassiahead_telemetry import background
from cassiahead_telemetry import events
from cassiahead_wire import addresses
from cassiahead_wire import clock

__all__ = ["Application"]

_MAX_INNER_BODY_BYTES = 8 * 1024 * 1024
_DRAIN_POLL_INTERVAL_S = 0.05


@attrs.define(eq=False)
class Application:
    """Owns the servers, background tasks and roles of one daemon."""

    _settings: settings_lib.Settings
    _daemon_state: daemon_state_lib.DaemonState
    _reader: platform_reader.PlatformReader
    _exchanger: exchanger.Exchanger
    _entry: entry.Entry | None
    _relay: relay.Relay | None
    _servers: dict[str, httpserver.HTTPServer] = attrs.field(factory=dict)
    _stop_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _background_tasks: background.BackgroundTasks = attrs.field(
        default=attrs.Factory(
            lambda self: background.BackgroundTasks(self._stop_requested),
            takes_self=True,
        )
    )

    @classmethod
    def from_settings(cls, settings: settings_lib.Settings) -> Application:
        """Creates a daemon; ``run`` or ``start`` starts it."""
        daemon_state = daemon_state_lib.DaemonState.from_settings(settings)
        is_entry = settings.role is settings_lib.Role.ENTRY
        return cls(
            settings,
            daemon_state,
            platform_reader.PlatformReader(daemon_state),
            exchanger.Exchanger(daemon_state),
            entry.Entry.from_daemon_state(daemon_state) if is_entry else None,
            None if is_entry else relay.Relay.from_daemon_state(daemon_state),
        )

    @property
    def daemon_state(self) -> daemon_state_lib.DaemonState:
        """The state that the parts of the daemon share."""
        return self._daemon_state

    async def run(self) -> None:
        """Runs the daemon until SIGTERM or SIGINT, then drains and stops it."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        await self.start()
        await self._stop_requested.wait()
        await self.drain()
        await self.stop()

    async def start(self) -> None:
        """Opens the servers and starts the background tasks."""
        self._listen(
            "inner",
            handlers.inner_routes(self._exchanger, self._entry, self._relay),
            self._settings.inner,
            _MAX_INNER_BODY_BYTES,
        )
        self._listen(
            "operators",
            operator_handlers.operator_routes(self._daemon_state, self._entry),
            self._settings.operators,
            self._settings.max_body_bytes,
        )
        if self._entry is not None and self._settings.callers is not None:
            self._listen(
                "callers",
                handlers.caller_routes(self._entry),
                self._settings.callers,
                self._settings.max_body_bytes,
            )
        self._background_tasks.spawn(self._reader.watch_notes())
        self._background_tasks.spawn(self._reader.poll_daemon_list())
        self._background_tasks.spawn(self._exchanger.run())
        if self._entry is not None:
            self._background_tasks.spawn(self._entry.run_housekeeping())
        if self._relay is not None:
            self._background_tasks.spawn(self._relay.run_housekeeping())
        events.log(
            events.Event.STARTED,
            role=self._settings.role.value,
            inner=self._settings.inner,
            failure_domain=self._settings.failure_domain,
        )

    async def drain(self) -> None:
        """Becomes unready, finishes requests in flight and returns rights.

        Rights that are not in use are returned at once, the others once the
        requests in flight have ended. Requests still in flight
        ``drain_limit_s`` seconds after the start of the drain are abandoned. An
        entry accepts requests for another ``balancer_wait_s`` seconds, until
        the balancer has noticed.
        """
        drain_deadline = clock.monotonic() + self._settings.drain_limit_s
        events.log(events.Event.DRAINING, in_flight=self._in_flight_count())
        self._daemon_state.peering.is_draining = True
        await self._exchanger.release_rights()
        if self._entry is not None:
            await asyncio.sleep(self._settings.balancer_wait_s)
        while self._in_flight_count() and clock.monotonic() < drain_deadline:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        await self._exchanger.release_rights()

    async def stop(self) -> None:
        """Cancels the background tasks and closes servers and connections."""
        for server in self._servers.values():
            server.stop()
        await self._background_tasks.cancel()
        for server in self._servers.values():
            await server.close_all_connections()
        if self._relay is not None:
            self._relay.close()
        self._reader.close()
        self._daemon_state.close()
        events.log(events.Event.STOPPED)

    def _in_flight_count(self) -> int:
        if self._entry is not None:
            return self._entry.in_flight_count
        assert self._relay is not None
        return self._relay.in_flight_count

    def _listen(
        self, name: str, routes: list[Any], address: str, max_body_bytes: int
    ) -> None:
        host, port = addresses.split_address(address)
        server = httpserver.HTTPServer(
            web.Application(routes),
            max_body_size=max_body_bytes,
            max_header_size=self._settings.max_header_bytes,
        )
        server.listen(port, host)
        self._servers[name] = server
