"""The connections to one target: their cap, reuse and probes."""

from __future__ import annotations

import asyncio

import attrs

from cassiahead_decisions import target_state
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

__all__ = ["TargetConnections"]

_CONNECT_TIMEOUT_S = 0.1
_PROBE_AFTER_S = 1.0
_PROBE_TIMEOUT_S = 0.25


@attrs.define(eq=False)
class TargetConnections:
    """Idle connections, and the number of all that are open."""

    _state: target_state.TargetState
    _idle: list[wire.Connection] = attrs.field(factory=list)
    _open: int = 0
    _retired: bool = False
    _probes: set[asyncio.Task[None]] = attrs.field(factory=set)

    @property
    def count(self) -> int:
        """Number of connections that are open or opening."""
        return self._open

    async def open(self, limit: int, deadline: float) -> wire.Connection | None:
        """Takes an idle connection or opens a new one.

        Args:
            limit: Connections that may be open.
            deadline: Time on this process's clock by which it must be open.

        Returns:
            The connection; None if there are too many already.

        Raises:
            wire.WireError: If the target takes no connection in time.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            self.drop(connection)
        if self._open >= limit:
            return None
        self._open += 1
        try:
            return await wire.Connection.open(
                self._state.spec.address,
                min(_CONNECT_TIMEOUT_S, deadline - clock.monotonic()),
            )
        except BaseException:
            self._open -= 1
            raise

    def put_back(self, connection: wire.Connection, reusable: bool) -> None:
        """Keeps a connection for the next request, or closes it."""
        if connection.is_usable and reusable and not self._retired:
            self._idle.append(connection)
        else:
            self.drop(connection)

    def drop(self, connection: wire.Connection) -> None:
        """Closes a connection."""
        connection.close()
        self._open -= 1

    def retire(self) -> None:
        """Closes the idle connections and keeps no more."""
        self._retired = True
        while self._idle:
            self.drop(self._idle.pop())

    def close(self) -> None:
        """Closes the idle connections and ends the probes."""
        self.retire()
        for probe in self._probes:
            probe.cancel()

    def resume(self) -> None:
        """Keeps connections again."""
        self._retired = False

    def probe_idle(self) -> None:
        """Probes connections that were not used for a while."""
        now = clock.monotonic()
        for connection in list(self._idle):
            if now - connection.last_used_at > _PROBE_AFTER_S:
                self._idle.remove(connection)
                probe = asyncio.ensure_future(self._probe(connection))
                self._probes.add(probe)
                probe.add_done_callback(self._probes.discard)

    async def _probe(self, connection: wire.Connection) -> None:
        try:
            await connection.request("GET", "/health", b"", _PROBE_TIMEOUT_S)
        except wire.TransportError as error:
            events.log(
                events.Event.CONNECTION_SILENT,
                target=self._state.name,
                fault=error.kind,
            )
        except asyncio.CancelledError:
            self.drop(connection)
            raise
        self.put_back(connection, reusable=True)
