"""Handles callers' requests: admission, dispatch to targets, and the reply."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import drain_schedule
from cassiahead_decisions import poison
from cassiahead_decisions import sampling
from cassiahead_gateway import api
from cassiahead_gateway import destinations
from cassiahead_gateway import errors
from cassiahead_gateway import forwarding
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import headers as headers_lib
from cassiahead_gateway import http_server
from cassiahead_gateway import load_admission
from cassiahead_gateway import outgoing_request
from cassiahead_gateway import request_log
from cassiahead_gateway import request_operation
from cassiahead_gateway import scatter_gather
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_gateway import routing

__all__ = ["RequestHandler"]

# A process that has just started gets the configuration from its peers within a
# few heartbeats.
_NOT_READY_RETRY_AFTER_S = 0.3
_MIN_RETRY_AFTER_S = 0.05


@attrs.define(eq=False)
class RequestHandler:
    """Admits callers' requests, dispatches them and logs the results.

    Attributes:
        in_flight_count: Number of requests being handled.
    """

    _gateway_state: gateway_state_lib.GatewayState
    in_flight_count: int = 0
    _drain_schedule: drain_schedule.DrainSchedule | None = None
    _operations: set[scatter_gather.ScatterGather | forwarding.Forward] = (
        attrs.field(factory=set)
    )

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Handles one request of a caller.

        Args:
            request: The complete request.

        Returns:
            A target's response, a merged response, or an error reply. An
            unexpected exception is logged and also results in an error reply.
        """
        self.in_flight_count += 1
        header_names = self._gateway_state.settings.headers
        request_id = request.headers.get(header_names.request_id, "")
        record = request_log.RequestRecord(
            self._gateway_state, request, request_id
        )
        try:
            reply = await self._run(record)
        except errors.RequestError as error:
            reply = self._error_reply(error, request_id)
            record.log_error(error)
        except asyncio.CancelledError:
            record.log_cancelled()
            raise
        except Exception as error:
            events.log(
                events.Event.INTERNAL_ERROR,
                exc_info=error,
                request_id=request_id,
            )
            reply = self._error_reply(
                errors.RequestError(
                    errors.ErrorCode.INTERNAL, "internal error"
                ),
                request_id,
            )
        else:
            record.log_answer(reply)
        finally:
            self.in_flight_count -= 1
        return reply

    def start_drain(self, schedule: drain_schedule.DrainSchedule) -> None:
        """Refuses from now on the requests that the schedule does not take.

        Also refuses the requests that wait for capacity, and from now on those
        that would have to: another host may have capacity.
        """
        self._drain_schedule = schedule
        self._gateway_state.capacity_queue.stop()

    def stop_all(self) -> None:
        """Answers all requests in flight with what is known of them now."""
        for operation in list(self._operations):
            operation.stop()

    async def _run(
        self, record: request_log.RequestRecord
    ) -> http_server.Reply:
        """Admits a request and sends it to targets; fills in its record."""
        router = self._current_router()
        record.admitted_request = self._admit_request(record, router)
        record.operation = self._create_operation(
            record.request, record.request_id, record.admitted_request
        )
        self._operations.add(record.operation)
        try:
            return await record.operation.run()
        finally:
            self._operations.discard(record.operation)
            load_admission.record_result(
                self._gateway_state,
                record.admitted_request,
                record.operation.attempt_summary,
            )

    def _current_router(self) -> routing.Router:
        router = self._gateway_state.catalogue.router
        if router is None:
            raise errors.RequestError(
                errors.ErrorCode.NOT_READY,
                "no configuration has been received yet",
                _NOT_READY_RETRY_AFTER_S,
            )
        return router

    def _admit_request(
        self, record: request_log.RequestRecord, router: routing.Router
    ) -> request_log.AdmittedRequest:
        request = record.request
        header_names = self._gateway_state.settings.headers
        if not record.request_id:
            raise errors.RequestError(
                errors.ErrorCode.NO_REQUEST_ID,
                f"header {header_names.request_id} is required",
            )
        route = router.find_route(request.headers.get("Host", ""), request.path)
        account = router.find_account(
            route, request.headers.get(header_names.authorization)
        )
        max_body_bytes = router.configuration.limits.max_body_bytes
        if len(request.body) > max_body_bytes:
            raise errors.RequestError(
                errors.ErrorCode.BODY_TOO_LARGE,
                f"the request body exceeds {max_body_bytes} bytes",
            )
        self._reject_too_late(request, route)
        fingerprint = _fingerprint(request, account)
        admitted_request = request_log.AdmittedRequest(
            route, account, router.configuration.version, fingerprint
        )
        load_admission.admit(self._gateway_state, record, admitted_request)
        if account is not None:
            self._charge_quota(account, fingerprint)
        return admitted_request

    def _reject_too_late(
        self, request: http_server.Request, route: api.Route
    ) -> None:
        """Refuses a request that may not end before this process does."""
        schedule = self._drain_schedule
        if schedule is not None and not schedule.accepts(
            self._deadline(request, route), clock.monotonic()
        ):
            raise request_operation.stopping_error()

    def _deadline(
        self, request: http_server.Request, route: api.Route
    ) -> float:
        """Returns when the caller stops waiting, on the monotonic clock."""
        caller_timeout_s = _caller_timeout_s(
            request.headers.get(
                self._gateway_state.settings.headers.deadline_ms
            )
        )
        return request.received_at + min(caller_timeout_s, route.timeout_s)

    def _charge_quota(self, account: api.Account, fingerprint: str) -> None:
        now = clock.monotonic()
        gateway_state = self._gateway_state
        is_isolated = gateway_state.peers.is_isolated(now)
        sample_point = sampling.SamplePoint.from_fingerprint(
            fingerprint, clock.wall_time()
        )
        if gateway_state.quota.admit(
            account.name, now, is_isolated, sample_point
        ):
            return
        is_sampled_out = gateway_state.quota.is_sampled_out(
            account.name, now, sample_point
        )
        retry_after_s = gateway_state.quota.retry_after_s(
            account.name, now, sample_point
        )
        raise errors.RequestError(
            errors.ErrorCode.OVER_QUOTA,
            f"account {account.name} exceeds its limit of {account.rate_per_s} "
            f"requests/s over all hosts (isolated: {is_isolated}, left out of "
            f"sample: {is_sampled_out})",
            max(_MIN_RETRY_AFTER_S, retry_after_s),
        )

    def _create_operation(
        self,
        request: http_server.Request,
        request_id: str,
        admitted_request: request_log.AdmittedRequest,
    ) -> scatter_gather.ScatterGather | forwarding.Forward:
        route = admitted_request.route
        outgoing_request = self._outgoing_request(
            request, request_id, admitted_request
        )
        self._reject_poisoned(outgoing_request)
        allowed_regions = _permitted_regions(route, admitted_request.account)
        arguments = (allowed_regions, outgoing_request, request.received_at)
        match route.destination:
            case api.Scatter() as scatter:
                return scatter_gather.ScatterGather(
                    self._gateway_state, route, scatter, *arguments
                )
            case api.WeightedServices(weights):
                service = self._gateway_state.traffic_split_for(
                    route.name
                ).next_service(weights)
            case api.SingleService(service):
                pass
        return forwarding.Forward(
            self._gateway_state, route, service, *arguments
        )

    def _reject_poisoned(
        self, request: outgoing_request.OutgoingRequest
    ) -> None:
        poison_table = self._gateway_state.crash_detector.poison_table
        now = clock.monotonic()
        if not poison_table.is_poisoned(request.fingerprint, now):
            return
        raise errors.RequestError(
            errors.ErrorCode.POISONED,
            f"the request crashed "
            f"{poison_table.crash_count(request.fingerprint, now)} targets",
            poison.CRASH_RETENTION_S,
        )

    def _outgoing_request(
        self,
        request: http_server.Request,
        request_id: str,
        admitted_request: request_log.AdmittedRequest,
    ) -> outgoing_request.OutgoingRequest:
        header_names = self._gateway_state.settings.headers
        gateway_header_names = {
            header_names.request_id,
            header_names.deadline_ms,
            header_names.authorization,
            header_names.account,
            header_names.expected_target,
        }
        headers = headers_lib.forwardable_headers(
            request.headers,
            frozenset(name.lower() for name in gateway_header_names),
        )
        headers[header_names.request_id] = request_id
        if admitted_request.account is not None:
            headers[header_names.account] = admitted_request.account.name
        return outgoing_request.OutgoingRequest(
            request_id,
            request.method,
            request.path,
            headers,
            request.body,
            self._deadline(request, admitted_request.route),
            admitted_request.fingerprint,
            self._gateway_state.latency_window_for(admitted_request.route.name),
            destinations.effective_priority(
                admitted_request.route, admitted_request.account
            ),
            admitted_request.account.name if admitted_request.account else "",
            isinstance(admitted_request.route.destination, api.Scatter),
        )

    def _error_reply(
        self, error: errors.RequestError, request_id: str
    ) -> http_server.Reply:
        reply = http_server.plain_reply(
            error.code.status, f"{error}\n".encode()
        )
        reply.headers[self._gateway_state.settings.headers.request_id] = (
            request_id
        )
        if error.retry_after_s is not None:
            reply.headers["Retry-After"] = f"{error.retry_after_s:.3f}"
        return reply


def _caller_timeout_s(header: str | None) -> float:
    """Returns how long the caller waits for the reply.

    Args:
        header: Value of the deadline header in milliseconds; None if the
            request has no such header.

    Returns:
        Seconds; infinite if the header is missing, not an integer or too large
        a number.
    """
    try:
        return int(header) / 1000 if header else math.inf
    except (ValueError, OverflowError):
        return math.inf


def _fingerprint(
    request: http_server.Request, account: api.Account | None
) -> str:
    return poison.fingerprint(
        account.name if account else "",
        f"{request.headers.get('Host', '')}{request.path}",
        request.body.decode("latin-1"),
    )


def _permitted_regions(
    route: api.Route, account: api.Account | None
) -> tuple[str, ...]:
    """Returns the regions whose targets may run a request.

    Args:
        route: Route of the request.
        account: Client account of the request; None if it has none.

    Returns:
        Names of the regions that both route and account allow; empty if neither
        restricts them. If the two have no region in common, the only element is
        the empty name, which matches no region.
    """
    if account is None or not account.allowed_regions:
        return route.allowed_regions
    if not route.allowed_regions:
        return account.allowed_regions
    common_regions = tuple(
        region
        for region in route.allowed_regions
        if region in account.allowed_regions
    )
    return common_regions or ("",)
