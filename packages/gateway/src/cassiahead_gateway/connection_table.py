"""Connections to targets: limits for each target, reuse, and late answers.

A connection carries one request at a time, so a limit on the connections to a
target also limits the requests in flight from this host to that target.

Load pattern: all hosts of the fleet lose power. Their connections stay open at
the targets until the targets detect the loss, so that the restarted hosts find
few free connections there while all callers return at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math

import attrs

from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

__all__ = ["Checkout", "ConnectionTable", "connection_limit", "request_limit"]

# Connecting normally takes a few milliseconds; a target that accepts no
# connection within this time is down, or its accept queue is full.
_CONNECT_TIMEOUT_S = 0.2
# The connection of an abandoned attempt is kept if the answer arrives within
# this time. Otherwise the connection is closed, which makes the target stop.
# The target must stop at most 0.5 s after the caller has gone, which leaves
# 0.2 s to detect that the caller, and then this process, closed its connection.
_LATE_ANSWER_TIMEOUT_S = 0.3
# Fraction of a target's connection limit that the fleet uses, so that restarted
# hosts find free connections.
_CONNECTION_LIMIT_FRACTION = 0.9
# Requests that all hosts together may have in flight at a target, for each
# request that the target runs at once (slot). Further requests would queue at
# the target for longer than their callers wait, or be refused.
_MAX_REQUESTS_PER_SLOT = 7
# Idle time after which connections to a target are closed, except for one: if
# this host loses power, those left open still count towards the target's limit.
_SURPLUS_IDLE_TIMEOUT_S = 1.0
# Time for which no new connection to a target is opened after the target
# refused two in a row, or closed them before their first answer: the target has
# reached its connection limit or is gone. Doubles with each further refusal.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.6
# Highest refusal count that is kept; the back-off has then reached its maximum.
_MAX_REFUSAL_COUNT = 6


@attrs.define(eq=False)
class _TargetConnections:
    """The connections to one target.

    Attributes:
        idle_connections: Connections without a request, the most recently used
            one last.
        open_count: Number of connections that are open or being opened.
        opening_count: Number of connections that are being opened.
        connections_without_answer: Open connections on which no answer has
            arrived yet.
        refusal_count: Number of consecutive new connections that the target
            refused, or closed before their first answer.
        next_open_at: When another connection may be opened, in seconds on this
            process's monotonic clock.
        is_gone: Whether the target was removed from the table.
        on_freed: Called when another request may be sent to the target.
    """

    on_freed: Callable[[], None]
    idle_connections: list[connection_lib.Connection] = attrs.field(
        factory=list
    )
    open_count: int = 0
    opening_count: int = 0
    connections_without_answer: set[connection_lib.Connection] = attrs.field(
        factory=set
    )
    refusal_count: int = 0
    next_open_at: float = -math.inf
    is_gone: bool = False

    def can_open(self, max_open_count: int, now: float) -> bool:
        """Returns whether another connection may be opened.

        Connections without an answer so far must not outnumber the others, but
        the first connection is always allowed. In a burst of requests, only a
        few new connections can then exceed the target's own limit.

        Args:
            max_open_count: Number of open connections to the target at which
                this host opens no more.
            now: Time in seconds on this process's monotonic clock.
        """
        if self.open_count >= max_open_count or now < self.next_open_at:
            return False
        never_answered_count = self.opening_count + len(
            self.connections_without_answer
        )
        return never_answered_count < max(
            1, self.open_count - never_answered_count
        )

    def record_refusal(self, now: float) -> None:
        """Records a connection that the target refused or closed unanswered."""
        self.refusal_count = min(self.refusal_count + 1, _MAX_REFUSAL_COUNT)
        if self.refusal_count > 1:
            backoff_s = _INITIAL_BACKOFF_S * 2 ** (self.refusal_count - 2)
            self.next_open_at = now + min(_MAX_BACKOFF_S, backoff_s)

    def record_answer(self, connection: connection_lib.Connection) -> None:
        """Records an answer.

        The first answer on a connection shows that the target accepts further
        connections, and ends the back-off.
        """
        if connection in self.connections_without_answer:
            self.connections_without_answer.discard(connection)
            self.refusal_count = 0
            self.next_open_at = -math.inf

    def close(self, connection: connection_lib.Connection) -> None:
        """Closes a connection and stops counting it as open."""
        self.open_count -= 1
        self.connections_without_answer.discard(connection)
        connection.close()
        self.on_freed()

    def take_idle(self) -> connection_lib.Connection | None:
        """Takes the most recently used idle connection that is still open.

        Idle connections found to be closed or unusable are removed.

        Returns:
            The connection; None if no idle connection is left.
        """
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.is_usable and connection.is_open_and_idle:
                return connection
            self.close(connection)
        return None


@attrs.define(eq=False)
class Checkout:
    """A reservation of one connection to a target for one request.

    Attributes:
        connection: The reserved connection; None until it has been opened.
    """

    _pool: _TargetConnections
    _address: str
    connection: connection_lib.Connection | None = None
    _is_consumed: bool = False

    async def connect(self) -> connection_lib.Connection:
        """Returns the connection, opening it first if it is a new one.

        Raises:
            connection_lib.TransportError: If the target accepts no connection
                in time.
        """
        self._is_consumed = True
        if self.connection is not None:
            return self.connection
        pool = self._pool
        try:
            connection = await connection_lib.Connection.open(
                self._address, _CONNECT_TIMEOUT_S
            )
        except BaseException as error:
            pool.open_count -= 1
            if isinstance(error, connection_lib.TransportError):
                pool.record_refusal(clock.monotonic())
            pool.on_freed()
            raise
        finally:
            pool.opening_count -= 1
        pool.connections_without_answer.add(connection)
        self.connection = connection
        return connection

    def put_back(self) -> None:
        """Gives the connection back to the table, or closes an unusable one."""
        pool, connection = self._pool, self.connection
        assert connection is not None
        if connection.response_count:
            pool.record_answer(connection)
        if connection.is_usable and not pool.is_gone:
            pool.idle_connections.append(connection)
            pool.on_freed()
        else:
            pool.close(connection)

    def drop(
        self, failure_kind: connection_lib.FailureKind | None = None
    ) -> None:
        """Closes the connection, if it has been opened.

        Args:
            failure_kind: How the request on the connection failed; None if the
                request got a response.
        """
        pool, connection = self._pool, self.connection
        if connection is None:
            return
        if (
            failure_kind is connection_lib.FailureKind.CLOSED
            and not connection.response_count
        ):
            pool.record_refusal(clock.monotonic())
        pool.close(connection)

    def release_unused(self) -> bool:
        """Cancels the reservation if ``connect`` was never called.

        Returns:
            Whether the reservation was cancelled.
        """
        if self._is_consumed:
            return False
        self._is_consumed = True
        if self.connection is not None:
            self.put_back()
        else:
            self._pool.open_count -= 1
            self._pool.opening_count -= 1
            self._pool.on_freed()
        return True


@attrs.define(eq=False)
class ConnectionTable:
    """The connections of this process to all targets.

    Limits are checked only by ``has_capacity``; ``check_out`` reserves a new
    connection even beyond them.

    Attributes:
        new_connection_count: Number of checkouts since the process started that
            reserved a new connection, whether or not it could be opened.
        on_freed: Called with the id of a target when another request may be
            sent to it. It must not use the table before it returns.
    """

    _pool_by_target_id: dict[str, _TargetConnections] = attrs.field(
        factory=dict
    )
    _late_answer_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    new_connection_count: int = 0
    on_freed: Callable[[str], None] = attrs.field(default=lambda _: None)

    def has_capacity(self, target_id: str, max_open_count: int) -> bool:
        """Returns whether another request can be sent to a target now.

        An idle connection can always be used; the limit applies only to the
        opening of new ones.

        Args:
            target_id: Id of the target.
            max_open_count: Number of open connections to the target at which
                this host opens no more.
        """
        pool = self._pool_by_target_id.get(target_id)
        if pool is None or pool.idle_connections:
            return True
        return pool.can_open(max_open_count, clock.monotonic())

    def has_idle(self, target_id: str) -> bool:
        """Returns whether a request needs no new connection to a target."""
        pool = self._pool_by_target_id.get(target_id)
        return pool is not None and bool(pool.idle_connections)

    def next_open_at(self, target_id: str) -> float:
        """Returns when the back-off of a target ends; may be in the past.

        The time is in seconds on this process's monotonic clock.
        """
        pool = self._pool_by_target_id.get(target_id)
        return -math.inf if pool is None else pool.next_open_at

    def check_out(self, target_id: str, address: str) -> Checkout:
        """Reserves an idle connection to a target, or one still to be opened.

        Args:
            target_id: Id of the target.
            address: IP address and port of the target.
        """
        pool = self._pool_by_target_id.get(target_id)
        if pool is None:
            pool = _TargetConnections(lambda: self.on_freed(target_id))
            self._pool_by_target_id[target_id] = pool
        connection = pool.take_idle()
        if connection is None:
            pool.open_count += 1
            pool.opening_count += 1
            self.new_connection_count += 1
        return Checkout(pool, address, connection)

    def abandon(
        self,
        checkout: Checkout,
        on_end: Callable[
            [connection_lib.Response | connection_lib.TransportError], None
        ],
    ) -> None:
        """Waits in the background for the answer of an abandoned attempt.

        Args:
            checkout: Open connection on which the request was sent.
            on_end: Called with the answer if it arrived in time, otherwise
                with the error after the connection has been closed. The error
                tells whether the target closed the connection first.
        """
        task = asyncio.ensure_future(_await_late_answer(checkout, on_end))
        self._late_answer_tasks.add(task)
        task.add_done_callback(self._late_answer_tasks.discard)

    def close_target(self, target_id: str) -> None:
        """Forgets a target that is gone and closes its idle connections."""
        pool = self._pool_by_target_id.pop(target_id, None)
        if pool is not None:
            pool.is_gone = True
            while pool.idle_connections:
                pool.close(pool.idle_connections.pop())

    def close_idle(self) -> None:
        """Closes all idle connections.

        Called after a pause of the process, during which connections may
        have broken.
        """
        for pool in self._pool_by_target_id.values():
            while pool.idle_connections:
                pool.close(pool.idle_connections.pop())

    def close_expired(self) -> None:
        """Closes idle connections that are unusable or no longer needed."""
        now = clock.monotonic()
        for pool in self._pool_by_target_id.values():
            for connection in [
                c for c in pool.idle_connections if not c.is_usable
            ]:
                pool.idle_connections.remove(connection)
                pool.close(connection)
            while pool.open_count > 1 and pool.idle_connections:
                if (
                    now - pool.idle_connections[0].last_used_at
                    < _SURPLUS_IDLE_TIMEOUT_S
                ):
                    break
                pool.close(pool.idle_connections.pop(0))


def connection_limit(max_connections: int, fleet_size: int) -> int:
    """Returns the number of connections that one host may have to a target.

    The result is at least 1, so a fleet with more hosts than connections may
    exceed the target's limit.

    Args:
        max_connections: Connections that the target accepts from all hosts.
        fleet_size: Number of hosts.
    """
    return max(
        1, int(_CONNECTION_LIMIT_FRACTION * max_connections / fleet_size)
    )


def request_limit(slots: int, fleet_size: int) -> int:
    """Returns the number of requests that one host may have at a target.

    The result is at least 1 and limits the host's connections to the target,
    each of which carries one request.

    Args:
        slots: Requests that the target runs at once.
        fleet_size: Number of hosts.
    """
    return max(1, math.ceil(_MAX_REQUESTS_PER_SLOT * slots / fleet_size))


async def _await_late_answer(
    checkout: Checkout,
    on_end: Callable[
        [connection_lib.Response | connection_lib.TransportError], None
    ],
) -> None:
    connection = checkout.connection
    assert connection is not None
    try:
        response = await connection.wait_response(_LATE_ANSWER_TIMEOUT_S)
    except connection_lib.TransportError as error:
        checkout.drop(error.kind)
        on_end(error)
        return
    checkout.put_back()
    on_end(response)
