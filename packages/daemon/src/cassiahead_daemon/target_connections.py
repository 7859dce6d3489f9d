"""Connections to one target: a limit on their number, reuse and probes.

Idle connections are probed, so that a connection that was lost without a close
is dropped before a request would use it.
"""

from __future__ import annotations

import asyncio

import attrs

from cassiahead_decisions import target_state
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

__all__ = ["TargetConnections"]

_CONNECT_TIMEOUT_S = 0.1
_IDLE_BEFORE_PROBE_S = 1.0
_PROBE_TIMEOUT_S = 0.25


@attrs.define(eq=False)
class TargetConnections:
    """The idle connections to one target and the count of all open ones."""

    _state: target_state.TargetState
    _idle_connections: list[connection_lib.Connection] = attrs.field(
        factory=list
    )
    _open_count: int = 0
    _is_suspended: bool = False
    _probes: set[asyncio.Task[None]] = attrs.field(factory=set)

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open_count

    async def acquire(
        self, limit: int, deadline: float
    ) -> connection_lib.Connection | None:
        """Takes an idle connection or opens a new one.

        Args:
            limit: Maximum number of open connections, idle or in use.
            deadline: Instant by which the connection must be open, in seconds
                of ``clock.monotonic``.

        Returns:
            The connection; None if the limit is reached.

        Raises:
            connection_lib.TransportError: If the target accepts no connection
                in time.
        """
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable:
                return connection
            self.drop(connection)
        if self._open_count >= limit:
            return None
        self._open_count += 1
        try:
            return await connection_lib.Connection.open(
                self._state.spec.address,
                min(_CONNECT_TIMEOUT_S, deadline - clock.monotonic()),
            )
        except BaseException:
            self._open_count -= 1
            raise

    def release(
        self, connection: connection_lib.Connection, is_reusable: bool
    ) -> None:
        """Keeps a connection for the next request, or closes it.

        Args:
            connection: A connection from ``acquire``.
            is_reusable: Whether its state allows another request.
        """
        if connection.is_usable and is_reusable and not self._is_suspended:
            self._idle_connections.append(connection)
        else:
            self.drop(connection)

    def drop(self, connection: connection_lib.Connection) -> None:
        """Closes a connection from ``acquire`` and no longer counts it."""
        connection.close()
        self._open_count -= 1

    def suspend(self) -> None:
        """Closes idle connections now, and others when they are released."""
        self._is_suspended = True
        while self._idle_connections:
            self.drop(self._idle_connections.pop())

    def close(self) -> None:
        """Closes the idle connections and cancels the probes."""
        self.suspend()
        for probe in self._probes:
            probe.cancel()

    def resume(self) -> None:
        """Allows connections to be reused again after ``suspend``."""
        self._is_suspended = False

    def probe_idle(self) -> None:
        """Probes connections that were idle for over ``_IDLE_BEFORE_PROBE_S``.

        The probes run in the background. A connection that fails its probe is
        closed.
        """
        now = clock.monotonic()
        for connection in list(self._idle_connections):
            if now - connection.last_used_at > _IDLE_BEFORE_PROBE_S:
                self._idle_connections.remove(connection)
                probe = asyncio.ensure_future(self._probe(connection))
                self._probes.add(probe)
                probe.add_done_callback(self._probes.discard)

    async def _probe(self, connection: connection_lib.Connection) -> None:
        try:
            await connection.request("GET", "/health", b"", _PROBE_TIMEOUT_S)
        except connection_lib.TransportError as error:
            events.log(
                events.Event.CONNECTION_SILENT,
                target=self._state.name,
                fault=error.kind,
            )
        except asyncio.CancelledError:
            self.drop(connection)
            raise
        self.release(connection, is_reusable=True)
