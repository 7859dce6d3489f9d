"""Connections to targets: their cap, reuse, and answers nobody waits for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from cassiahead_wire import connection as wire

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Links", "connection_cap"]

# Links take some milliseconds; a target that takes no connection in this time
# is lost, or its queue of connections is full.
_CONNECT_TIMEOUT_S = 0.2
# A connection whose answer nobody waits for is kept if the answer comes within
# this time; then the target is made to stop, half a second at the latest after
# its caller has gone.
_LATE_ANSWER_S = 0.3
# Share of a target's connections that the fleet uses, so that hosts which
# restart find some left.
_CAP_USED = 0.9


@attrs.define(eq=False)
class _Link:
    """The connections to one target."""

    address: str
    idle: list[wire.Connection] = attrs.field(factory=list)
    open: int = 0


@attrs.define(eq=False)
class Links:
    """The connections to all targets.

    Attributes:
        opened: Connections opened since the start.
    """

    _links: dict[str, _Link] = attrs.field(factory=dict)
    _late: set[asyncio.Task[None]] = attrs.field(factory=set)
    opened: int = 0

    def room(self, target: str, cap: int) -> bool:
        """Returns whether another request can be sent to a target now."""
        link = self._links.get(target)
        return link is None or bool(link.idle) or link.open < cap

    async def take(self, target: str, address: str) -> wire.Connection:
        """Takes an idle connection or opens a new one.

        Raises:
            wire.WireError: If the target takes no connection in time.
        """
        link = self._links.setdefault(target, _Link(address))
        while link.idle:
            connection = link.idle.pop()
            if connection.usable and connection.quiet:
                return connection
            self._close(link, connection)
        link.open += 1
        self.opened += 1
        try:
            return await wire.Connection.open(address, _CONNECT_TIMEOUT_S)
        except BaseException:
            link.open -= 1
            raise

    def put_back(self, target: str, connection: wire.Connection) -> None:
        """Keeps a connection for the next request if it can be used again."""
        link = self._links.get(target)
        if link is None:
            connection.close()
        elif connection.usable:
            link.idle.append(connection)
        else:
            self._close(link, connection)

    def drop(self, target: str, connection: wire.Connection) -> None:
        """Closes a connection at once."""
        link = self._links.get(target)
        if link is None:
            connection.close()
        else:
            self._close(link, connection)

    def leave(
        self,
        target: str,
        connection: wire.Connection,
        on_end: Callable[[bool], None],
    ) -> None:
        """Gives a connection up whose answer nobody waits for.

        Args:
            target: The target.
            connection: The connection.
            on_end: Called with whether the answer came after all.
        """
        task = asyncio.ensure_future(
            self._await_late(target, connection, on_end)
        )
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def close_target(self, target: str) -> None:
        """Closes the idle connections to a target that is gone."""
        link = self._links.pop(target, None)
        if link is not None:
            for connection in link.idle:
                connection.close()

    def close_idle(self) -> None:
        """Closes all idle connections, such as after a pause."""
        for link in self._links.values():
            while link.idle:
                self._close(link, link.idle.pop())

    def close_expired(self) -> None:
        """Closes idle connections that their target is about to close."""
        for link in self._links.values():
            expired = [c for c in link.idle if not c.usable]
            for connection in expired:
                link.idle.remove(connection)
                self._close(link, connection)

    async def _await_late(
        self,
        target: str,
        connection: wire.Connection,
        on_end: Callable[[bool], None],
    ) -> None:
        try:
            await connection.result(_LATE_ANSWER_S)
        except wire.WireError:
            self.drop(target, connection)
            on_end(False)
            return
        self.put_back(target, connection)
        on_end(True)

    def _close(self, link: _Link, connection: wire.Connection) -> None:
        link.open -= 1
        connection.close()


def connection_cap(max_connections: int, fleet_size: int) -> int:
    """Returns the connections that one host of a fleet may have to a target."""
    return max(1, int(_CAP_USED * max_connections / fleet_size))
