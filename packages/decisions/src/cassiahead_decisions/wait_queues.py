"""Which waiting request starts next, over all destinations of a process.

Load pattern: searches over many shards and requests to few of them compete for
the same targets. A narrow request finds capacity whenever one shard has some; a
search over many shards would hardly ever find it in all of them at once.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import math

import attrs

from cassiahead_decisions import wait_queue

__all__ = ["Capacity", "Offer", "WaitQueues"]

# Returns the number of targets of a service with capacity for a request.
Capacity = Callable[[wait_queue.WaitingRequest, str], int]


@attrs.frozen(eq=False)
class Offer:
    """What happens to a request that has arrived.

    Attributes:
        starts: Whether the request starts now.
        refusals: Refusals of the request or of those that it evicts. A request
            that neither starts nor is refused waits.
    """

    starts: bool
    refusals: tuple[wait_queue.Refusal, ...] = ()


_START = Offer(starts=True)


@attrs.define(eq=False)
class WaitQueues:
    """The queues of all destinations.

    A request that neither starts, is refused nor cancelled waits. All times are
    seconds on this process's monotonic clock.

    Attributes:
        limits: Bounds of the waiting requests.
    """

    limits: wait_queue.QueueLimits = attrs.field(factory=wait_queue.QueueLimits)
    _prioritized_destinations: frozenset[wait_queue.Destination] = frozenset()
    _queue_by_destination: dict[
        wait_queue.Destination, wait_queue.WaitQueue
    ] = attrs.field(factory=dict)
    _waiting_count: int = 0
    _held_bytes: int = 0

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests of all destinations."""
        return self._waiting_count

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies of all waiting requests."""
        return self._held_bytes

    def set_prioritized(
        self, destinations: frozenset[wait_queue.Destination]
    ) -> None:
        """Sets which destinations distinguish priorities and accounts.

        The requests of all others start in the order of their arrival.
        """
        self._prioritized_destinations = destinations
        for destination, queue in list(self._queue_by_destination.items()):
            queue.is_first_come = destination not in destinations
            if not queue:
                del self._queue_by_destination[destination]

    def queue_for(
        self, request: wait_queue.WaitingRequest
    ) -> wait_queue.WaitQueue:
        """Returns the queue of a request's destination."""
        destination = request.destination
        queue = self._queue_by_destination.get(destination)
        if queue is None:
            queue = wait_queue.WaitQueue(
                self.limits, destination not in self._prioritized_destinations
            )
            self._queue_by_destination[destination] = queue
        return queue

    def waiting_counts(self) -> dict[wait_queue.Destination, int]:
        """Returns the number of waiting requests by destination."""
        return {d: len(q) for d, q in self._queue_by_destination.items()}

    def offer(
        self,
        request: wait_queue.WaitingRequest,
        capacity: Capacity,
        now: float,
    ) -> Offer:
        """Decides what happens to a request that has arrived.

        Args:
            request: The request.
            capacity: Capacity of the targets now.
            now: Current time.
        """
        queue = self.queue_for(request)
        if not queue.must_wait(request):
            self._check(queue, request, capacity, now)
            if request.fits:
                queue.record_start(request, now)
                self._recheck_heads(now)
                return _START
        return self._enqueue(queue, request, now)

    def next_start(
        self, capacity: Capacity, now: float
    ) -> wait_queue.WaitingRequest | None:
        """Takes the next request that can start out of its queue.

        Args:
            capacity: Capacity of the targets now.
            now: Current time.

        Returns:
            The request; None if none can start.
        """
        for queue in self._queues_by_priority(now):
            for index, request in enumerate(queue.candidates(now)):
                if request.fits:
                    self._check(queue, request, capacity, now)
                if request.fits:
                    queue.record_start(request, now)
                    self._release(request)
                    self._recheck_heads(now)
                    return request
                if index == 0 and request.missing_services:
                    request.lacked_services |= request.missing_services
        return None

    def record_freed(self, service: str) -> None:
        """Records that a target of a service may have capacity again."""
        for request in self._all_waiting():
            if request.missing_services:
                request.missing_services.discard(service)

    def record_any_change(self) -> None:
        """Records that the capacity of any service may have changed."""
        for request in self._all_waiting():
            request.missing_services = None

    def cancel(self, request: wait_queue.WaitingRequest, now: float) -> bool:
        """Removes a request; returns whether it was waiting."""
        queue = self._queue_by_destination.get(request.destination)
        if queue is None or request not in queue:
            return False
        queue.remove(request, now)
        self._release(request)
        return True

    def take_overdue(self, now: float) -> list[wait_queue.Refusal]:
        """Removes the requests whose wait is too long, or will be."""
        refusals = []
        for queue in self._queue_by_destination.values():
            overdue = queue.overdue(now)
            for request, _, _ in overdue:
                self.cancel(request, now)
            refusals += [queue.refusal(*arguments) for arguments in overdue]
        return refusals

    def next_limit_at(self) -> float:
        """Returns when the next wait reaches its limit; infinite if none."""
        return min(
            (r.latest_start_at for r in self._all_waiting()), default=math.inf
        )

    def heads(self, now: float) -> list[wait_queue.WaitingRequest]:
        """Returns the requests that may start next, of all destinations."""
        return [
            r for q in self._queues_by_priority(now) for r in q.candidates(now)
        ]

    def claimed_count(
        self, service: str, priority: int, required_count: int, now: float
    ) -> int:
        """Returns how many targets' capacity is kept for wider searches.

        Args:
            service: Service that a request would be sent to.
            priority: Priority of the request.
            required_count: Number of services that the request needs at once.
            now: Current time.
        """
        if not self._waiting_count:
            return 0
        return int(
            any(
                service in head.lacked_services
                for head in self._claiming_heads(priority, required_count, now)
            )
        )

    def _check(
        self,
        queue: wait_queue.WaitQueue,
        request: wait_queue.WaitingRequest,
        capacity: Capacity,
        now: float,
    ) -> None:
        """Updates the services that have no capacity for a request."""
        priority = queue.priority_of(request)
        claimed_services: set[str] = set()
        if self._waiting_count:
            claimed_services.update(
                *(
                    head.lacked_services
                    for head in self._claiming_heads(
                        priority, request.required_count, now
                    )
                )
            )
        request.missing_services = {
            service
            for service in request.services
            if capacity(request, service) <= (service in claimed_services)
        }

    def _claiming_heads(
        self, priority: int, required_count: int, now: float
    ) -> Iterator[wait_queue.WaitingRequest]:
        """Iterates over the wider heads of higher priorities."""
        for queue in self._queue_by_destination.values():
            for head in queue.candidates(now)[:1]:
                if (
                    queue.priority_of(head) < priority
                    and head.required_count > required_count
                ):
                    yield head

    def _enqueue(
        self,
        queue: wait_queue.WaitQueue,
        request: wait_queue.WaitingRequest,
        now: float,
    ) -> Offer:
        queue.advance(now)
        ahead_count = queue.ahead_count(request, now)
        if queue.is_hopeless(request, ahead_count, now):
            reason = wait_queue.RefusalReason.EXPECTED_WAIT
            return Offer(False, (queue.refusal(request, reason, ahead_count),))
        excess_bytes = (
            self._held_bytes + request.body_bytes - self.limits.max_body_bytes
        )
        victims = queue.victims(request, excess_bytes, now)
        if victims is None:
            reason = (
                wait_queue.RefusalReason.BYTES_FULL
                if excess_bytes > 0
                else wait_queue.RefusalReason.QUEUE_FULL
            )
            return Offer(False, (queue.refusal(request, reason, ahead_count),))
        refusals = tuple(
            queue.refusal(
                victim,
                wait_queue.RefusalReason.EVICTED,
                queue.ahead_count(victim, now),
            )
            for victim in victims
        )
        for victim in victims:
            self.cancel(victim, now)
        previous_head = queue.candidates(now)[:1]
        queue.add(request, now)
        if (
            previous_head
            and previous_head[0].lacked_services
            and queue.candidates(now)[0] is request
        ):
            # The claims of the previous head are suspended.
            self.record_any_change()
        self._waiting_count += 1
        self._held_bytes += request.body_bytes
        return Offer(False, refusals)

    def _release(self, request: wait_queue.WaitingRequest) -> None:
        """Updates what depends on a request that has left its queue."""
        self._waiting_count -= 1
        self._held_bytes -= request.body_bytes
        if request.lacked_services:
            self.record_any_change()

    def _recheck_heads(self, now: float) -> None:
        """Has the heads checked again: a start may take what they need next."""
        if not self._waiting_count:
            return
        for queue in self._queue_by_destination.values():
            if queue and not queue.is_first_come:
                queue.candidates(now)[0].missing_services = None

    def _queues_by_priority(self, now: float) -> list[wait_queue.WaitQueue]:
        queues = [q for q in self._queue_by_destination.values() if q]
        if len(queues) < 2:
            return queues
        return sorted(queues, key=lambda q: q.priority_of(q.candidates(now)[0]))

    def _all_waiting(self) -> Iterator[wait_queue.WaitingRequest]:
        if not self._waiting_count:
            return
        for queue in self._queue_by_destination.values():
            yield from queue
