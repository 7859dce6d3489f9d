"""Connections to targets: their cap, reuse, and answers nobody waits for.

Load pattern: a whole fleet loses power. Its connections stay open at the
targets until these find out, so that the hosts that come back find little room
there, while every caller returns at once.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_wire import clock
from cassiahead_wire import connection as wire

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Checkout", "ConnectionTable", "connection_cap", "work_cap"]

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
# Requests that all hosts keep at a target for each that it runs at once: more
# would wait there for longer than their callers, or be turned away.
_HELD_PER_SLOT = 7
# Connections beyond the first are closed when they were not used for so long,
# in seconds: those of hosts that lose power take up room at the target.
_SURPLUS_IDLE_S = 1.0
# A target that ends two new connections in a row before their first answer is
# at its cap, or gone. Seconds without new connections to it, doubled each time.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.6
_MOST_REFUSALS = 6


@attrs.define(eq=False)
class _TargetConnections:
    """The connections to one target.

    Attributes:
        idle: Connections that wait for a request, those used last at the end.
        open: Connections that are open or being opened.
        opening: Those of them that are being opened.
        unproven: Those that are open, and on which no answer came so far.
        refusals: New connections in a row that the target ended.
        paused_until: When the next one may be opened, on this process's clock.
        gone: Whether the target is no more.
    """

    idle: list[wire.Connection] = attrs.field(factory=list)
    open: int = 0
    opening: int = 0
    unproven: set[wire.Connection] = attrs.field(factory=set)
    refusals: int = 0
    paused_until: float = -math.inf
    gone: bool = False

    def may_open(self, cap: int, now: float) -> bool:
        """Returns whether another connection may be opened.

        Their number at most doubles with each answer, so that a burst of
        requests finds out about a target's cap with few of them.
        """
        if self.open >= cap or now < self.paused_until:
            return False
        unproven = self.opening + len(self.unproven)
        return unproven < max(1, self.open - unproven)

    def refused(self, now: float) -> None:
        """Notes that the target ended a new connection."""
        self.refusals = min(self.refusals + 1, _MOST_REFUSALS)
        if self.refusals > 1:
            pause = _FIRST_PAUSE_S * 2 ** (self.refusals - 2)
            self.paused_until = now + min(_LONGEST_PAUSE_S, pause)

    def answered(self, connection: wire.Connection) -> None:
        """Notes an answer; the first one shows that there is room."""
        if connection in self.unproven:
            self.unproven.discard(connection)
            self.refusals = 0
            self.paused_until = -math.inf

    def close(self, connection: wire.Connection) -> None:
        """Closes a connection."""
        self.open -= 1
        self.unproven.discard(connection)
        connection.close()

    def take_idle(self) -> wire.Connection | None:
        """Takes the idle connection that was used last, if any is good."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable and connection.is_open_and_idle:
                return connection
            self.close(connection)
        return None


@attrs.define(eq=False)
class Checkout:
    """The right to use one connection for one request.

    Attributes:
        connection: The connection; None before it is open.
    """

    _link: _TargetConnections
    _address: str
    connection: wire.Connection | None = None
    _begun: bool = False

    async def connect(self) -> wire.Connection:
        """Returns the connection, and opens it first if it is a new one.

        Raises:
            wire.WireError: If the target takes no connection in time.
        """
        self._begun = True
        if self.connection is not None:
            return self.connection
        link = self._link
        try:
            connection = await wire.Connection.open(
                self._address, _CONNECT_TIMEOUT_S
            )
        except BaseException as error:
            link.open -= 1
            if isinstance(error, wire.TransportError):
                link.refused(clock.monotonic())
            raise
        finally:
            link.opening -= 1
        link.unproven.add(connection)
        self.connection = connection
        return connection

    def put_back(self) -> None:
        """Keeps the connection for the next request if it can be used again."""
        link, connection = self._link, self.connection
        assert connection is not None
        if connection.response_count:
            link.answered(connection)
        if connection.is_usable and not link.gone:
            link.idle.append(connection)
        else:
            link.close(connection)

    def drop(self, fault: wire.FailureKind | None = None) -> None:
        """Closes the connection, if there is one.

        Args:
            fault: How the exchange on it failed, if it did.
        """
        link, connection = self._link, self.connection
        if connection is None:
            return
        if fault is wire.FailureKind.CLOSED and not connection.response_count:
            link.refused(clock.monotonic())
        link.close(connection)

    def release_unused(self) -> bool:
        """Gives the right back if nothing was done with it.

        Returns:
            Whether nothing was done with it.
        """
        if self._begun:
            return False
        self._begun = True
        if self.connection is not None:
            self.put_back()
        else:
            self._link.open -= 1
            self._link.opening -= 1
        return True


@attrs.define(eq=False)
class ConnectionTable:
    """The connections to all targets.

    Attributes:
        opened: Connections opened since the start.
    """

    _links: dict[str, _TargetConnections] = attrs.field(factory=dict)
    _late: set[asyncio.Task[None]] = attrs.field(factory=set)
    opened: int = 0

    def room(self, target: str, cap: int) -> bool:
        """Returns whether another request can be sent to a target now."""
        link = self._links.get(target)
        if link is None or link.idle:
            return True
        return link.may_open(cap, clock.monotonic())

    def check_out(self, target: str, address: str) -> Checkout:
        """Takes an idle connection, or the right to open a new one."""
        link = self._links.setdefault(target, _TargetConnections())
        connection = link.take_idle()
        if connection is None:
            link.open += 1
            link.opening += 1
            self.opened += 1
        return Checkout(link, address, connection)

    def leave(self, checkout: Checkout, on_end: Callable[[bool], None]) -> None:
        """Gives a connection up whose answer nobody waits for.

        Args:
            checkout: The connection.
            on_end: Called with whether the answer came after all.
        """
        task = asyncio.ensure_future(_await_late(checkout, on_end))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def close_target(self, target: str) -> None:
        """Closes the idle connections to a target that is gone."""
        link = self._links.pop(target, None)
        if link is not None:
            link.gone = True
            while link.idle:
                link.close(link.idle.pop())

    def close_idle(self) -> None:
        """Closes all idle connections, such as after a pause."""
        for link in self._links.values():
            while link.idle:
                link.close(link.idle.pop())

    def close_expired(self) -> None:
        """Closes idle connections that have ended or are not needed."""
        now = clock.monotonic()
        for link in self._links.values():
            for connection in [c for c in link.idle if not c.is_usable]:
                link.idle.remove(connection)
                link.close(connection)
            while link.open > 1 and link.idle:
                if now - link.idle[0].last_used_at < _SURPLUS_IDLE_S:
                    break
                link.close(link.idle.pop(0))


def connection_cap(max_connections: int, fleet_size: int) -> int:
    """Returns the connections that one host of a fleet may have to a target."""
    return max(1, int(_CAP_USED * max_connections / fleet_size))


def work_cap(slots: int, fleet_size: int) -> int:
    """Returns the requests that one host of a fleet may have at a target."""
    return max(1, math.ceil(_HELD_PER_SLOT * slots / fleet_size))


async def _await_late(
    checkout: Checkout, on_end: Callable[[bool], None]
) -> None:
    connection = checkout.connection
    assert connection is not None
    try:
        await connection.wait_response(_LATE_ANSWER_S)
    except wire.TransportError as error:
        checkout.drop(error.kind)
        on_end(False)
        return
    checkout.put_back()
    on_end(True)
