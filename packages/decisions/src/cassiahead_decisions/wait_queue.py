"""Order and bounds of the requests that wait for capacity of one destination.

Load pattern: an overload of a few seconds, in which requests of several
priorities and client accounts arrive faster than the targets can take them.
"""

from __future__ import annotations

import enum
import itertools
import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import start_rate

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

__all__ = [
    "Destination",
    "QueueLimits",
    "Refusal",
    "RefusalReason",
    "WaitQueue",
    "WaitingRequest",
]

Destination = frozenset[str]

# Time constant with which the starts of an account are forgotten.
_SERVED_FORGET_TIME_S = 5.0
# Starts of an account below which it counts as not served.
_NEGLIGIBLE_SERVED_COUNT = 0.01
# Fraction of its limit that the head has waited for in an overload.
_OVERLOAD_WAIT_FRACTION = 0.5
_REQUEST_NUMBERS = itertools.count()


class RefusalReason(enum.StrEnum):
    """Why a request is refused; the values are metric labels and log fields.

    Attributes:
        WAIT_LIMIT: The request has waited for as long as it may.
        EXPECTED_WAIT: The requests ahead would take longer than it may wait.
        QUEUE_FULL: The queue holds as many requests as it may.
        BYTES_FULL: The bodies of the waiting requests are as large as allowed.
        EVICTED: A request of a higher priority took its place.
    """

    WAIT_LIMIT = "wait_limit"
    EXPECTED_WAIT = "expected_wait"
    QUEUE_FULL = "queue_full"
    BYTES_FULL = "bytes_full"
    EVICTED = "evicted"


@attrs.frozen
class QueueLimits:
    """Bounds of the waiting requests.

    Attributes:
        max_requests: Requests that wait for one destination.
        max_body_bytes: Bytes of the bodies of all waiting requests of the
            process.
    """

    max_requests: int = 256
    max_body_bytes: int = 8 * 1024 * 1024


@attrs.define(eq=False)
class WaitingRequest:
    """A request that has not been sent to any target.

    Times are seconds on this process's monotonic clock.

    Attributes:
        destination: Key of the queue that the request waits in: the set of its
            services.
        services: Services that the request would be sent to.
        required_count: Number of these that must have capacity at once.
        priority: Rank of the request; 0 is the highest.
        account: Name of the client account; empty if it has none.
        body_bytes: Size of its body.
        arrived_at: When the request arrived.
        latest_start_at: When it is refused unless it has started.
        is_returning: Whether it was refused here and the refusal is remembered.
        lacked_services: Services that had no capacity when the request was
            first in its queue, at any time.
        missing_services: Services without capacity for it at the latest check,
            less those with capacity freed since; None before a check.
        number: Number that rises with each request of the process.
    """

    destination: Destination
    services: tuple[str, ...]
    required_count: int
    priority: int
    account: str
    body_bytes: int
    arrived_at: float
    latest_start_at: float
    is_returning: bool = False
    lacked_services: set[str] = attrs.field(factory=set)
    missing_services: set[str] | None = None
    number: int = attrs.field(factory=lambda: next(_REQUEST_NUMBERS))

    @property
    def fits(self) -> bool:
        """Whether enough services may have capacity, as of the latest check."""
        return (
            self.missing_services is None
            or len(self.services) - len(self.missing_services)
            >= self.required_count
        )


@attrs.frozen(eq=False)
class Refusal:
    """Refusal of a request that was not sent, with its inputs.

    Attributes:
        request: The refused request.
        reason: Why it is refused.
        ahead_count: Requests that would have started before.
        waiting_count: Requests of the same and higher priorities that wait.
        rate_per_s: Starts per second of the destination; None if unknown.
    """

    request: WaitingRequest
    reason: RefusalReason
    ahead_count: int
    waiting_count: int
    rate_per_s: float | None


@attrs.define(eq=False)
class WaitQueue:
    """The waiting requests of one destination.

    All times are seconds on this process's monotonic clock.

    Attributes:
        limits: Bounds of the queue.
        is_first_come: Whether the order is that of arrival, for all priorities
            and accounts, and waits end at their limits only.
    """

    limits: QueueLimits
    is_first_come: bool = True
    _waiting: list[WaitingRequest] = attrs.field(factory=list)
    _rate: start_rate.StartRate = attrs.field(factory=start_rate.StartRate)
    _served: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    _has_new_rate: bool = False
    # Result of ``candidates``, and when it was found; None after a change.
    _candidates: list[WaitingRequest] | None = None
    _candidates_at: float = -math.inf

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterates over the waiting requests in the order of their arrival."""
        return iter(self._waiting)

    @property
    def rate_per_s(self) -> float | None:
        """Starts per second while requests waited; None if unknown."""
        return self._rate.per_s

    def priority_of(self, request: WaitingRequest) -> int:
        """Returns the priority that counts for a request."""
        return 0 if self.is_first_come else request.priority

    def must_wait(self, request: WaitingRequest) -> bool:
        """Returns whether a request of its own or a higher priority waits."""
        priority = self.priority_of(request)
        return any(self.priority_of(r) <= priority for r in self._waiting)

    def add(self, request: WaitingRequest, now: float) -> None:
        """Adds a request, whatever the limits."""
        self._rate.advance(bool(self._waiting), now)
        self._candidates = None
        self._waiting.append(request)

    def remove(self, request: WaitingRequest, now: float) -> None:
        """Removes a waiting request that has not started."""
        self._rate.advance(bool(self._waiting), now)
        self._candidates = None
        self._waiting.remove(request)

    def record_start(self, request: WaitingRequest, now: float) -> None:
        """Counts a start, and removes the request if it was waiting."""
        self._rate.advance(bool(self._waiting), now)
        self._candidates = None
        if self._waiting:
            self._rate.record_start()
            self._has_new_rate = True
        if request in self._waiting:
            self._waiting.remove(request)
        if not self.is_first_come:
            served_count = self._served_count(request.account, now)
            self._served[request.account] = (served_count + 1, now)

    def advance(self, now: float) -> None:
        """Updates the rate of starts; forgets accounts not served lately."""
        self._rate.advance(bool(self._waiting), now)
        for account in list(self._served):
            if self._served_count(account, now) < _NEGLIGIBLE_SERVED_COUNT:
                del self._served[account]

    def ordered(self, now: float) -> list[WaitingRequest]:
        """Returns the waiting requests in the order in which they start."""
        return sorted(self._waiting, key=self._order_key(now))

    def candidates(self, now: float) -> list[WaitingRequest]:
        """Returns the requests that may start next, the head first.

        The second one, if any, is of the next lower priority and needs fewer
        services than the head: it may use capacity that the head doesn't lack.
        """
        if self._candidates is None or self._candidates_at != now:
            self._candidates = self._find_candidates(now)
            self._candidates_at = now
        return self._candidates

    def _find_candidates(self, now: float) -> list[WaitingRequest]:
        if not self._waiting:
            return []
        key = self._order_key(now)
        head = min(self._waiting, key=key)
        lower = [
            r
            for r in self._waiting
            if self.priority_of(r) > self.priority_of(head)
        ]
        if not lower:
            return [head]
        next_lower = min(lower, key=key)
        if next_lower.required_count >= head.required_count:
            return [head]
        return [head, next_lower]

    def ahead_count(self, request: WaitingRequest, now: float) -> int:
        """Returns how many waiting requests start before a request."""
        key = self._order_key(now)
        own_key = key(request)
        return sum(r is not request and key(r) < own_key for r in self._waiting)

    def waiting_count(self, request: WaitingRequest) -> int:
        """Returns how many other requests of its or higher priorities wait."""
        priority = self.priority_of(request)
        return sum(
            r is not request and self.priority_of(r) <= priority
            for r in self._waiting
        )

    def victims(
        self, request: WaitingRequest, excess_bytes: int, now: float
    ) -> list[WaitingRequest] | None:
        """Returns which requests to evict so that a new one finds room.

        They are of lower priorities than the new one: the last ones of the
        lowest priority.

        Args:
            request: The new request.
            excess_bytes: Bytes by which the bodies, the new one included,
                exceed the limit.
            now: Current time.

        Returns:
            The requests, none if there is room; None if no eviction makes room.
        """
        excess_count = len(self._waiting) + 1 - self.limits.max_requests
        priority = self.priority_of(request)
        victims: list[WaitingRequest] = []
        if excess_count <= 0 and excess_bytes <= 0:
            return victims
        for waiting in reversed(self.ordered(now)):
            if self.priority_of(waiting) <= priority:
                break
            victims.append(waiting)
            excess_count -= 1
            excess_bytes -= waiting.body_bytes
            if excess_count <= 0 and excess_bytes <= 0:
                return victims
        return None

    def expected_wait_s(self, ahead_count: int) -> float:
        """Returns how long a request waits; 0 while no rate is known.

        Args:
            ahead_count: Requests that start before.
        """
        rate_per_s = self._rate.per_s
        if self.is_first_come or rate_per_s is None:
            return 0.0
        return ahead_count / rate_per_s

    def is_hopeless(
        self, request: WaitingRequest, ahead_count: int, now: float
    ) -> bool:
        """Returns whether a request's expected wait exceeds its limit."""
        expected_wait_s = self.expected_wait_s(ahead_count)
        return expected_wait_s > max(0.0, request.latest_start_at - now)

    def overdue(
        self, now: float
    ) -> list[tuple[WaitingRequest, RefusalReason, int]]:
        """Returns the requests whose wait is too long, or will be.

        Expected waits are compared after starts, which change the rate, and
        when a wait has reached its limit.

        Returns:
            Each request with the reason and the number of requests ahead.
        """
        if not self._waiting or not (
            self._has_new_rate
            or any(now >= r.latest_start_at for r in self._waiting)
        ):
            return []
        self._has_new_rate = False
        self.advance(now)
        overdue = []
        ahead_count = 0
        for request in self.ordered(now):
            if now >= request.latest_start_at:
                overdue.append((request, RefusalReason.WAIT_LIMIT, ahead_count))
            elif self.is_hopeless(request, ahead_count, now):
                overdue.append(
                    (request, RefusalReason.EXPECTED_WAIT, ahead_count)
                )
            else:
                ahead_count += 1
        return overdue

    def refusal(
        self, request: WaitingRequest, reason: RefusalReason, ahead_count: int
    ) -> Refusal:
        """Returns the refusal of a request, with the state of the queue."""
        return Refusal(
            request,
            reason,
            ahead_count,
            self.waiting_count(request),
            self._rate.per_s,
        )

    def _order_key(
        self, now: float
    ) -> Callable[[WaitingRequest], tuple[float, ...]]:
        if self.is_first_come:
            return lambda r: (r.arrived_at, r.number)
        served_counts = {
            account: self._served_count(account, now)
            for account in self._served
        }

        def key(request: WaitingRequest) -> tuple[float, ...]:
            return (
                request.priority,
                served_counts.get(request.account, 0.0),
                not request.is_returning,
                request.latest_start_at,
                request.number,
            )

        head = min(self._waiting, key=key, default=None)
        if head is None or not _has_waited_long(head, now):
            return key
        return lambda r: (*key(r)[:3], -r.arrived_at, -r.number)

    def _served_count(self, account: str, now: float) -> float:
        count, counted_at = self._served.get(account, (0.0, now))
        return count * math.exp(-(now - counted_at) / _SERVED_FORGET_TIME_S)


def _has_waited_long(request: WaitingRequest, now: float) -> bool:
    limit_s = request.latest_start_at - request.arrived_at
    return now - request.arrived_at > _OVERLOAD_WAIT_FRACTION * limit_s
