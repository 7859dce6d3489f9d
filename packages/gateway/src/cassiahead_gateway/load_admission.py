"""Admits requests by the fleet's admission levels, and counts their results."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cassiahead_gateway import destinations
from cassiahead_gateway import errors
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_gateway import gateway_state as gateway_state_lib
    from cassiahead_gateway import request_log
    from cassiahead_gateway import request_operation

__all__ = ["admit", "log_level_changes", "record_result"]


def admit(
    gateway_state: gateway_state_lib.GatewayState,
    record: request_log.RequestRecord,
    request: request_log.AdmittedRequest,
) -> None:
    """Counts a request, and refuses one that the admission level leaves out.

    Args:
        gateway_state: State of this gateway.
        record: Record of the request; gets its route if it is left out.
        request: The request.

    Raises:
        errors.RequestError: If the request is left out.
    """
    digest = destinations.digest_of(request.route)
    priority = destinations.effective_priority(request.route, request.account)
    refusal = gateway_state.load.try_admit(
        digest,
        priority,
        request.fingerprint,
        clock.monotonic(),
        clock.wall_time(),
    )
    if refusal is None:
        return
    record.admitted_request = request
    raise errors.RequestError(
        errors.ErrorCode.LEFT_OUT,
        f"too many requests for destination {digest}: of priority {priority}, "
        f"{refusal.admitted_fraction:.2f} of the requests are admitted "
        f"(admission level {refusal.level:.2f})",
        refusal.retry_after_s,
    )


def record_result(
    gateway_state: gateway_state_lib.GatewayState,
    request: request_log.AdmittedRequest,
    attempt_summary: request_operation.AttemptSummary,
) -> None:
    """Counts an admitted request as started or as refused.

    A request that was neither sent nor refused for lack of capacity is not
    counted, such as one whose shards have no usable target.

    Args:
        gateway_state: State of this gateway.
        request: The request.
        attempt_summary: Its attempts, once it has ended.
    """
    digest = destinations.digest_of(request.route)
    priority = destinations.effective_priority(request.route, request.account)
    now = clock.monotonic()
    if attempt_summary.lacked_capacity:
        gateway_state.load.record_refusal(digest, priority, now)
    elif attempt_summary.attempt_count:
        gateway_state.load.record_start(digest, priority, now)


def log_level_changes(
    gateway_state: gateway_state_lib.GatewayState, now: float
) -> None:
    """Logs the notable changes of admission levels, with their inputs.

    Args:
        gateway_state: State of this gateway.
        now: Time in seconds on this process's monotonic clock.
    """
    for change in gateway_state.load.take_changes(now):
        router = gateway_state.catalogue.router
        routes = router.configuration.routes if router else ()
        events.log(
            events.Event.ADMISSION_LEVEL,
            destination=change.destination,
            routes=[
                route.name
                for route in routes
                if destinations.digest_of(route) == change.destination
            ],
            admission_level=round(change.level, 2),
            previous_level=round(change.previous_level, 2),
            capacity_per_s=round(change.capacity_per_s, 1)
            if math.isfinite(change.capacity_per_s)
            else None,
            requested_per_s=[round(r.requested, 1) for r in change.rates],
            started_per_s=[round(r.started, 1) for r in change.rates],
            refused_per_s=[round(r.refused, 1) for r in change.rates],
        )
