"""Idle connections to a peer, for requests that are sent one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ConnectionPool"]

_MAX_POOLED_IDLE_S = 5.0


class ConnectionPool:
    """A pool of idle connections to one address of a peer."""

    def __init__(self, address: str, connect_timeout_s: float = 0.3) -> None:
        """Creates an empty pool.

        Args:
            address: ``IP:port`` of the peer.
            connect_timeout_s: Seconds until a new connection must be
                established.
        """
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[connection_lib.Connection] = []

    async def post(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
        on_data: Callable[[bytes], None] | None = None,
    ) -> connection_lib.Response:
        """Sends a POST request over an idle or a new connection.

        Args:
            path: Path with query.
            body: Request body.
            timeout_s: Seconds until the response must be complete, once
                connected. It also bounds the time to connect.
            on_data: Called with each piece of the response body as it arrives;
                the body of the returned response is then empty.

        Raises:
            TransportError: If the connect failed, or no complete response
                arrived in time.
        """
        connection = self._take_idle() or await connection_lib.Connection.open(
            self._address, min(timeout_s, self._connect_timeout_s)
        )
        try:
            response = await connection.request(
                "POST", path, body, timeout_s, on_data=on_data
            )
        except BaseException:
            connection.close()
            raise
        if connection.is_usable:
            self._idle.append(connection)
        return response

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self) -> connection_lib.Connection | None:
        while self._idle:
            connection = self._idle.pop()
            idle_s = clock.monotonic() - connection.last_used_at
            if connection.is_usable and idle_s < _MAX_POOLED_IDLE_S:
                return connection
            connection.close()
        return None
