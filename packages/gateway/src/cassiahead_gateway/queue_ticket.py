"""A request that asks for capacity, and what is logged about its wait."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from cassiahead_decisions import retry_advice
from cassiahead_decisions import wait_queue
from cassiahead_gateway import api
from cassiahead_gateway import outgoing_request
from cassiahead_gateway import target_selection
from cassiahead_telemetry import events

__all__ = ["Ticket", "destination_label", "log_refusal", "log_start"]

# Longest wait for capacity before the first attempt, as a fraction of the
# latency objective: a refused caller still has time to retry.
_WAIT_FRACTION = 0.25
# Largest number of services that a destination's label names.
_MAX_NAMED_SERVICES = 2
# Largest number of services that a log line names.
_MAX_LOGGED_SERVICES = 8


@attrs.define(eq=False)
class Ticket:
    """A request that asks for capacity.

    Attributes:
        request: The request as the queues know it.
        outgoing: The request that will be sent to the targets.
        route: Route of the request.
        allowed_regions: Regions whose targets may run it; empty for all.
        needs_warm_targets: Whether only targets that are warm and not ejected
            count as capacity.
        on_start: Sends the request; called with the targets of its services at
            the end of a wait.
        on_refusal: Called with the error at the end of a wait.
        ahead_on_arrival: Requests that were ahead on arrival.
        lacked_on_arrival: Services without capacity on arrival; empty if the
            request had to wait for others only.
    """

    request: wait_queue.WaitingRequest
    outgoing: outgoing_request.OutgoingRequest
    route: api.Route
    allowed_regions: tuple[str, ...]
    needs_warm_targets: bool
    on_start: Callable[[list[target_selection.ServiceTargets]], None]
    on_refusal: Callable[[Exception], None]
    ahead_on_arrival: int = 0
    lacked_on_arrival: tuple[str, ...] = ()

    @classmethod
    def create(
        cls,
        *,
        services: tuple[str, ...],
        destination: wait_queue.Destination,
        required_count: int,
        outgoing: outgoing_request.OutgoingRequest,
        route: api.Route,
        allowed_regions: tuple[str, ...],
        needs_warm_targets: bool,
        received_at: float,
        on_start: Callable[[list[target_selection.ServiceTargets]], None],
        on_refusal: Callable[[Exception], None],
    ) -> Ticket:
        """Creates the ticket of a request that has arrived.

        Args:
            services: Services that the request is sent to.
            destination: The set of these.
            required_count: Number of services that must have capacity at once.
            outgoing: The request that will be sent.
            route: Route of the request.
            allowed_regions: Regions whose targets may run it; empty for all.
            needs_warm_targets: See ``Ticket``.
            received_at: When the request arrived.
            on_start: See ``Ticket``.
            on_refusal: See ``Ticket``.
        """
        usual_latency_s = outgoing.latencies.median_s or 0.0
        objective_s = route.latency_objective_s
        wait_limit_s = min(
            _WAIT_FRACTION * objective_s, objective_s - usual_latency_s
        )
        request = wait_queue.WaitingRequest(
            destination,
            services,
            required_count,
            outgoing.priority,
            outgoing.account_name,
            len(outgoing.body),
            received_at,
            min(received_at + max(0.0, wait_limit_s), outgoing.deadline),
        )
        return cls(
            request,
            outgoing,
            route,
            allowed_regions,
            needs_warm_targets,
            on_start,
            on_refusal,
        )

    def log_fields(self, now: float) -> dict[str, Any]:
        """Returns the fields of the events about the wait."""
        request = self.request
        return {
            "request_id": self.outgoing.request_id,
            "route": self.route.name,
            "account": request.account or None,
            "priority": request.priority,
            "returning": request.is_returning,
            "waited_ms": _to_ms(now - request.arrived_at),
            "limit_ms": _to_ms(request.latest_start_at - request.arrived_at),
            "ahead_on_arrival": self.ahead_on_arrival,
            "lacked": list(self.lacked_on_arrival),
        }


def destination_label(destination: wait_queue.Destination) -> str:
    """Returns the name of a destination in metrics and logs."""
    services = sorted(destination)
    if len(services) <= _MAX_NAMED_SERVICES:
        return "+".join(services)
    return f"{services[0]}+{len(services) - 1}"


def log_start(ticket: Ticket, rate_per_s: float | None, now: float) -> None:
    """Logs that a request has started after a wait.

    Args:
        ticket: The request.
        rate_per_s: Starts per second of the destination; None if unknown.
        now: Current time.
    """
    events.log(
        events.Event.REQUEST_WAITED,
        ordinary=True,
        **ticket.log_fields(now),
        rate_per_s=_rounded(rate_per_s),
    )


def log_refusal(
    ticket: Ticket,
    refusal: wait_queue.Refusal,
    advice: retry_advice.RetryAdvice | None,
    now: float,
) -> None:
    """Logs why a request that was not sent is refused.

    Args:
        ticket: The request.
        refusal: The refusal with its inputs.
        advice: Advice to the caller; None if it is the fixed one.
        now: Current time.
    """
    request = refusal.request
    rate_per_s = refusal.rate_per_s
    missing = sorted(request.missing_services or ())
    events.log(
        events.Event.REQUEST_NOT_STARTED,
        **ticket.log_fields(now),
        reason=refusal.reason.value,
        ahead=refusal.ahead_count,
        waiting=refusal.waiting_count,
        rate_per_s=_rounded(rate_per_s),
        expected_wait_ms=_to_ms(refusal.ahead_count / rate_per_s)
        if rate_per_s
        else None,
        missing_now=missing[:_MAX_LOGGED_SERVICES],
        missing_count=len(missing),
        required=request.required_count,
        backlog=advice.backlog if advice else None,
        retry_after_s=round(advice.delay_s, 3) if advice else None,
    )


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


def _rounded(rate_per_s: float | None) -> float | None:
    return None if rate_per_s is None else round(rate_per_s, 1)
