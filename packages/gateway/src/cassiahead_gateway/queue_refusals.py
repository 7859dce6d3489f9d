"""Refuses requests that were not sent: error, advice, log and metrics."""

from __future__ import annotations

import attrs

from cassiahead_decisions import retry_advice
from cassiahead_decisions import wait_queue
from cassiahead_gateway import errors
from cassiahead_gateway import metrics as metrics_lib
from cassiahead_gateway import queue_ticket
from cassiahead_gateway import request_operation
from cassiahead_wire import clock

__all__ = ["QueueRefusals"]

_REASON_TEXTS = {
    wait_queue.RefusalReason.WAIT_LIMIT: "the wait reached its limit",
    wait_queue.RefusalReason.EXPECTED_WAIT: "the wait would exceed its limit",
    wait_queue.RefusalReason.QUEUE_FULL: "too many requests wait",
    wait_queue.RefusalReason.BYTES_FULL: "the waiting bodies are too large",
    wait_queue.RefusalReason.EVICTED: "a request of higher priority waits",
}


@attrs.define(eq=False)
class QueueRefusals:
    """Creates the errors of refused requests, and counts and logs them.

    Attributes:
        memory: Refusals that are remembered, and advice to refused callers.
    """

    _metrics: metrics_lib.Metrics
    memory: retry_advice.RefusalMemory = attrs.field(
        factory=retry_advice.RefusalMemory
    )

    def for_lack_of_capacity(
        self,
        ticket: queue_ticket.Ticket,
        refusal: wait_queue.Refusal,
        queue: wait_queue.WaitQueue,
        now: float,
    ) -> errors.RequestError:
        """Returns the error of a request that the queue refuses.

        Args:
            ticket: The request.
            refusal: The refusal with its inputs.
            queue: Queue of its destination.
            now: Current time.
        """
        advice = self._advise(
            ticket, refusal.waiting_count, refusal.rate_per_s, queue, now
        )
        queue_ticket.log_refusal(ticket, refusal, advice, now)
        self._record(ticket, refusal.reason.value, now)
        return errors.RequestError(
            errors.ErrorCode.SHED,
            f"too few targets have capacity: {_REASON_TEXTS[refusal.reason]}",
            advice.delay_s if advice else request_operation.SHED_RETRY_AFTER_S,
        )

    def for_lack_of_targets(
        self,
        ticket: queue_ticket.Ticket,
        unavailable_count: int,
        retry_after_s: float,
        now: float,
    ) -> errors.RequestError:
        """Returns the error of a request whose targets have gone.

        Args:
            ticket: The request.
            unavailable_count: Services without an available target.
            retry_after_s: Seconds after which enough of them may have one.
            now: Current time.
        """
        self._record(ticket, "no_target", now)
        return errors.RequestError(
            errors.ErrorCode.NO_TARGET,
            f"{unavailable_count} services have no available target",
            retry_after_s,
        )

    def for_stop(
        self, ticket: queue_ticket.Ticket, now: float
    ) -> errors.RequestError:
        """Returns the error of a request that waits while the process stops."""
        self._record(ticket, "stopping", now)
        return request_operation.stopping_error()

    def retry_after_s(
        self, ticket: queue_ticket.Ticket, queue: wait_queue.WaitQueue
    ) -> float:
        """Returns when the caller of a request that has not run may return.

        Args:
            ticket: The request, which has left its queue.
            queue: Queue of its destination.
        """
        advice = self._advise(
            ticket,
            queue.waiting_count(ticket.request),
            queue.rate_per_s,
            queue,
            clock.monotonic(),
        )
        return (
            advice.delay_s if advice else request_operation.SHED_RETRY_AFTER_S
        )

    def _advise(
        self,
        ticket: queue_ticket.Ticket,
        waiting_count: int,
        rate_per_s: float | None,
        queue: wait_queue.WaitQueue,
        now: float,
    ) -> retry_advice.RetryAdvice | None:
        """Returns the advice; None for the fixed one."""
        if queue.is_first_come:
            return None
        request = ticket.request
        return self.memory.advise(
            destination=request.destination,
            priority=request.priority,
            fingerprint=ticket.outgoing.fingerprint,
            waiting_count=waiting_count,
            rate_per_s=rate_per_s,
            remaining_s=ticket.outgoing.deadline - now,
            now=now,
        )

    def _record(
        self, ticket: queue_ticket.Ticket, reason: str, now: float
    ) -> None:
        request = ticket.request
        self._metrics.capacity_refusals.add(
            1, {"reason": reason, "priority": request.priority}
        )
        self._metrics.waits.record(
            now - request.arrived_at, {"result": "refused"}
        )
