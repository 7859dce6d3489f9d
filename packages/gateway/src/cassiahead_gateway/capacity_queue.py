"""Holds requests until their targets have capacity, or refuses them.

The event loop runs one callback at a time. A request is checked and queued, or
taken out and sent, without an interruption in between, so that no wake-up is
lost and no freed connection is promised twice.
"""

from __future__ import annotations

import asyncio
import collections
import math

import attrs

from cassiahead_decisions import wait_queue
from cassiahead_decisions import wait_queues
from cassiahead_gateway import api
from cassiahead_gateway import catalogue as catalogue_lib
from cassiahead_gateway import destinations
from cassiahead_gateway import errors
from cassiahead_gateway import metrics as metrics_lib
from cassiahead_gateway import pending_attempts
from cassiahead_gateway import queue_refusals
from cassiahead_gateway import queue_ticket
from cassiahead_gateway import request_operation
from cassiahead_gateway import silent_targets
from cassiahead_gateway import target_selection
from cassiahead_wire import clock

__all__ = ["CapacityQueue"]

# Shortest delay of the timer, in seconds. Timers may fire slightly early.
_MIN_TIMER_DELAY_S = 0.001


@attrs.define(eq=False)
class CapacityQueue:
    """The requests of this process that wait for capacity."""

    _selector: target_selection.TargetSelector
    _catalogue: catalogue_lib.Catalogue
    _metrics: metrics_lib.Metrics
    _refusals: queue_refusals.QueueRefusals
    _queues: wait_queues.WaitQueues = attrs.field(
        factory=wait_queues.WaitQueues
    )
    _pending: pending_attempts.PendingAttempts = attrs.field(
        factory=pending_attempts.PendingAttempts
    )
    _tickets: dict[wait_queue.WaitingRequest, queue_ticket.Ticket] = (
        attrs.field(factory=dict)
    )
    _freed_services: set[str] = attrs.field(factory=set)
    _may_all_be_freed: bool = False
    _is_dispatch_scheduled: bool = False
    _is_stopping: bool = False
    _timer: asyncio.TimerHandle | None = None
    # Targets examined in this dispatch, since the last start.
    _examined: dict[
        tuple[str, tuple[str, ...]], target_selection.ServiceTargets
    ] = attrs.field(factory=dict)

    def waiting_by_destination(self) -> dict[str, float]:
        """Returns the number of waiting requests, for the metrics.

        Destinations with the same label count together.
        """
        counts: collections.Counter[str] = collections.Counter()
        for destination, count in self._queues.waiting_counts().items():
            counts[queue_ticket.destination_label(destination)] += count
        return {label: float(count) for label, count in counts.items()}

    def settle(self) -> None:
        """Gives freed capacity to those that wait for it.

        Called before the targets of a new request are examined.
        """
        if self._is_dispatch_scheduled:
            self._dispatch()

    def submit(
        self,
        ticket: queue_ticket.Ticket,
        targets: list[target_selection.ServiceTargets],
    ) -> list[target_selection.ServiceTargets] | None:
        """Decides whether a request starts now, waits or is refused.

        Args:
            ticket: The request.
            targets: Targets of its services, examined since ``settle``.

        Returns:
            The targets to start with now; None if the request waits, after
            which one of the ticket's callbacks is called unless it is
            cancelled.

        Raises:
            errors.RequestError: If the request is refused at once.
        """
        now = clock.monotonic()
        request = ticket.request
        request.is_returning = self._refusals.memory.is_returning(
            ticket.outgoing.fingerprint, now
        )
        targets_by_service = dict(zip(request.services, targets, strict=True))

        def capacity(_request: wait_queue.WaitingRequest, service: str) -> int:
            return self._capacity_of(ticket, targets_by_service[service])

        offer = self._queues.offer(request, capacity, now)
        if offer.starts:
            if request.is_returning:
                self._refusals.memory.forget(ticket.outgoing.fingerprint)
            if self._queues.waiting_count:
                self._schedule_dispatch()
            return _without_withheld(request, targets)
        ticket.lacked_on_arrival = tuple(sorted(request.missing_services or ()))
        for refusal in offer.refusals:
            if refusal.request is request:
                raise self._refusal_error(ticket, refusal, now)
        for refusal in offer.refusals:
            self._refuse(refusal, now)
        if self._is_stopping:
            self._queues.cancel(request, now)
            raise self._refusals.for_stop(ticket, now)
        ticket.ahead_on_arrival = self._queues.queue_for(request).ahead_count(
            request, now
        )
        self._tickets[request] = ticket
        # A narrower request may start although others wait.
        self._schedule_dispatch()
        return None

    def cancel(self, ticket: queue_ticket.Ticket) -> None:
        """Removes a waiting request; no effect on others."""
        now = clock.monotonic()
        if not self._queues.cancel(ticket.request, now):
            return
        del self._tickets[ticket.request]
        self._metrics.waits.record(
            now - ticket.request.arrived_at, {"result": "cancelled"}
        )
        self._schedule_dispatch()

    def add_pending(self, attempt: pending_attempts.PendingAttempt) -> None:
        """Registers an attempt of a started request that waits."""
        if self._pending.add(attempt):
            self._arm_timer(clock.monotonic())

    def remove_pending(self, service: str, owner: object) -> None:
        """Removes the attempt of an owner, if it waits."""
        self._pending.remove(service, owner)

    def record_connection_freed(self, target_id: str) -> None:
        """Records that another request may be sent to a target."""
        if not self._has_waiting:
            return
        service = self._catalogue.service_of(target_id)
        if service is None:
            self._may_all_be_freed = True
        else:
            self._freed_services.add(service)
        self._schedule_dispatch()

    def record_targets_changed(self) -> None:
        """Records that records of targets have changed."""
        if self._has_waiting:
            self._may_all_be_freed = True
            self._schedule_dispatch()

    def set_configuration(self, configuration: api.Configuration) -> None:
        """Adopts the priorities of a configuration."""
        self._queues.set_prioritized(
            destinations.prioritized_destinations(configuration)
        )
        self.record_targets_changed()

    def retry_after_s(self, ticket: queue_ticket.Ticket) -> float:
        """Returns when the caller of a refused request may come back.

        For refusals after the request has left the queue. It has not run.
        """
        queue = self._queues.queue_for(ticket.request)
        return self._refusals.retry_after_s(ticket, queue)

    def stop(self) -> None:
        """Refuses the waiting requests, and from now on all that must wait."""
        self._is_stopping = True
        now = clock.monotonic()
        for request, ticket in list(self._tickets.items()):
            self._queues.cancel(request, now)
            del self._tickets[request]
            ticket.on_refusal(self._refusals.for_stop(ticket, now))

    @property
    def _has_waiting(self) -> bool:
        return bool(self._queues.waiting_count or self._pending)

    def _schedule_dispatch(self) -> None:
        if not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_scheduled_dispatch)

    def _run_scheduled_dispatch(self) -> None:
        if self._is_dispatch_scheduled:
            self._dispatch()

    def _dispatch(self) -> None:
        """Starts what can start and refuses what has waited too long."""
        self._is_dispatch_scheduled = False
        now = clock.monotonic()
        self._examined.clear()
        freed_services, self._freed_services = self._freed_services, set()
        if self._may_all_be_freed:
            self._may_all_be_freed = False
            self._queues.record_any_change()
            freed_services = self._pending.services()
        for service in freed_services:
            self._queues.record_freed(service)
            self._retry_pending(service, now)
        while True:
            while request := self._queues.next_start(self._capacity, now):
                self._start(request, now)
            refusals = self._queues.take_overdue(now)
            for refusal in refusals:
                self._refuse(refusal, now)
            if not refusals and not self._refuse_unavailable(now):
                break
        for service in self._pending.withheld_services():
            self._retry_pending(service, now)
        self._arm_timer(now)

    def _start(self, request: wait_queue.WaitingRequest, now: float) -> None:
        ticket = self._tickets.pop(request)
        targets = _without_withheld(
            request, [self._targets(ticket, s) for s in request.services]
        )
        self._examined.clear()
        if request.is_returning:
            self._refusals.memory.forget(ticket.outgoing.fingerprint)
        waited_s = now - request.arrived_at
        self._metrics.waits.record(waited_s, {"result": "started"})
        queue_ticket.log_start(
            ticket, self._queues.queue_for(request).rate_per_s, now
        )
        try:
            ticket.on_start(targets)
        except Exception as error:
            # The other waiting requests must not be affected.
            ticket.on_refusal(error)

    def _refuse(self, refusal: wait_queue.Refusal, now: float) -> None:
        ticket = self._tickets.pop(refusal.request)
        ticket.on_refusal(self._refusal_error(ticket, refusal, now))

    def _refuse_unavailable(self, now: float) -> bool:
        """Refuses heads that lack available targets; returns whether any."""
        has_refused = False
        for request in self._queues.heads(now):
            ticket = self._tickets[request]
            unavailable_count = sum(
                not self._targets(ticket, service).has_available
                for service in request.missing_services or ()
            )
            available_count = len(request.services) - unavailable_count
            if available_count >= request.required_count:
                continue
            has_refused = True
            self._queues.cancel(request, now)
            del self._tickets[request]
            ticket.on_refusal(
                self._refusals.for_lack_of_targets(
                    ticket,
                    unavailable_count,
                    silent_targets.retry_after_s(
                        [self._targets(ticket, s) for s in request.services],
                        request.required_count,
                        request_operation.NO_TARGET_RETRY_AFTER_S,
                    ),
                    now,
                )
            )
        return has_refused

    def _refusal_error(
        self,
        ticket: queue_ticket.Ticket,
        refusal: wait_queue.Refusal,
        now: float,
    ) -> errors.RequestError:
        return self._refusals.for_lack_of_capacity(
            ticket, refusal, self._queues.queue_for(ticket.request), now
        )

    def _retry_pending(self, service: str, now: float) -> None:
        """Has the attempts that wait for a service tried again.

        An attempt of a narrower request of a lower priority leaves the last
        capacity to a search that waits for it.
        """
        for attempt in self._pending.of(service):
            attempt.is_withheld = now < attempt.ends_at and self._is_claimed(
                attempt, now
            )
            if not attempt.is_withheld:
                attempt.retry()
                self._examined.clear()

    def _is_claimed(
        self, attempt: pending_attempts.PendingAttempt, now: float
    ) -> bool:
        """Returns whether all capacity for an attempt is kept for a search."""
        claimed_count = self._queues.claimed_count(
            attempt.service, attempt.priority, attempt.required_count, now
        )
        if not claimed_count:
            return False
        targets = self._selector.examine(
            attempt.service, attempt.allowed_regions
        )
        return 0 < targets.warm_capacity_count <= claimed_count

    def _targets(
        self, ticket: queue_ticket.Ticket, service: str
    ) -> target_selection.ServiceTargets:
        key = (service, ticket.allowed_regions)
        targets = self._examined.get(key)
        if targets is None:
            targets = self._selector.examine(service, ticket.allowed_regions)
            self._examined[key] = targets
        return targets

    def _capacity(
        self, request: wait_queue.WaitingRequest, service: str
    ) -> int:
        ticket = self._tickets[request]
        return self._capacity_of(ticket, self._targets(ticket, service))

    def _capacity_of(
        self,
        ticket: queue_ticket.Ticket,
        targets: target_selection.ServiceTargets,
    ) -> int:
        if targets.warm_capacity_count or ticket.needs_warm_targets:
            return targets.warm_capacity_count
        return int(self._selector.can_choose(targets))

    def _arm_timer(self, now: float) -> None:
        """Sets the timer to the next limit, or to a known change of targets."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._has_waiting:
            return
        changes_at = [
            self._selector.next_change_at(service, regions)
            for service, regions in self._awaited_services(now)
        ]
        fires_at = min(
            self._queues.next_limit_at(), self._pending.ends_at, *changes_at
        )
        if fires_at < math.inf:
            delay_s = max(_MIN_TIMER_DELAY_S, fires_at - now)
            self._timer = asyncio.get_running_loop().call_later(
                delay_s, self._on_timer
            )

    def _awaited_services(self, now: float) -> set[tuple[str, tuple[str, ...]]]:
        awaited_services = self._pending.awaited_services()
        for request in self._queues.heads(now):
            regions = self._tickets[request].allowed_regions
            awaited_services.update(
                (service, regions) for service in request.missing_services or ()
            )
        return awaited_services

    def _on_timer(self) -> None:
        self._timer = None
        self._may_all_be_freed = True
        self._dispatch()


def _without_withheld(
    request: wait_queue.WaitingRequest,
    targets: list[target_selection.ServiceTargets],
) -> list[target_selection.ServiceTargets]:
    """Hides the capacity that is kept for a wider search."""
    missing_services = request.missing_services
    if not missing_services:
        return targets
    return [
        attrs.evolve(t, warm_capacity_count=0, with_capacity=[])
        if t.warm_capacity_count and service in missing_services
        else t
        for service, t in zip(request.services, targets, strict=True)
    ]
