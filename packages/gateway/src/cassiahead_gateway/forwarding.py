"""Forwards a request to one target of a service."""

from __future__ import annotations

import asyncio

import attrs

from cassiahead_gateway import api
from cassiahead_gateway import attempt_outcomes
from cassiahead_gateway import errors
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import headers as headers_lib
from cassiahead_gateway import http_server
from cassiahead_gateway import outgoing_request
from cassiahead_gateway import pending_attempts
from cassiahead_gateway import queue_ticket
from cassiahead_gateway import request_operation
from cassiahead_gateway import service_call
from cassiahead_gateway import silent_targets
from cassiahead_gateway import target_selection
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

__all__ = ["Forward"]

# Longest wait of a retry for a target with capacity, as a fraction of the
# latency objective.
_RETRY_WAIT_FRACTION = 0.25


@attrs.define(eq=False)
class Forward:
    """A request to one target of a service, whose response is passed on.

    Attributes:
        attempt_summary: Attempts and responses of the request; complete once
            ``run`` has ended.
    """

    _gateway_state: gateway_state_lib.GatewayState
    _route: api.Route
    _service: str
    _allowed_regions: tuple[str, ...]
    _request: outgoing_request.OutgoingRequest
    _received_at: float
    attempt_summary: request_operation.AttemptSummary = attrs.field(
        factory=request_operation.AttemptSummary
    )
    _completion: request_operation.Completion = attrs.field(
        factory=request_operation.Completion.create
    )
    _call: service_call.ServiceCall = attrs.field(init=False)
    _error: Exception | None = None

    def __attrs_post_init__(self) -> None:
        """Creates the call, which sends nothing before it is started."""
        self._call = service_call.ServiceCall(
            self._service,
            self._gateway_state,
            self._route,
            self._allowed_regions,
            self._request,
            _RETRY_WAIT_FRACTION * self._route.latency_objective_s,
            self._check_completion,
        )

    async def run(self) -> http_server.Reply:
        """Returns the target's response as a reply to the caller.

        Raises:
            errors.RequestError: If no target sent a signed response in time.
        """
        capacity_queue = self._gateway_state.capacity_queue
        capacity_queue.settle()
        targets = self._examine_targets()
        if not targets.has_available:
            raise errors.RequestError(
                errors.ErrorCode.NO_TARGET,
                f"no target of {self._service} is available",
                silent_targets.retry_after_s(
                    [targets], 1, request_operation.NO_TARGET_RETRY_AFTER_S
                ),
            )
        ticket = self._create_ticket()
        try:
            targets_to_start = capacity_queue.submit(ticket, [targets])
        except errors.RequestError:
            self.attempt_summary.lacked_capacity = targets.has_warm
            raise
        call = self._call
        try:
            if targets_to_start is not None:
                self._start_call(targets_to_start)
            await self._completion.future
        except asyncio.CancelledError:
            if call.answer is not None:
                call.answer.discard()
            raise
        finally:
            capacity_queue.cancel(ticket)
            capacity_queue.remove_pending(self._service, call)
            self._completion.cancel_timers()
            has_attempt_in_flight = (
                not call.is_settled and not call.is_waiting_for_capacity
            )
            may_run = call.may_run
            call.cancel()
            self.attempt_summary = request_operation.AttemptSummary(
                1,
                int(call.answer is not None),
                call.attempt_count,
                [],
                call.tried_target_ids,
                (call.lacked_capacity and call.error_answer is None)
                or (
                    self._error is not None and self._examine_targets().has_warm
                ),
            )
        if self._error is not None:
            raise self._error
        answer = call.answer or call.error_answer
        if answer is None:
            raise self._failure(ticket, has_attempt_in_flight, may_run)
        return self._reply(answer)

    def stop(self) -> None:
        """Ends the request now, since the gateway shuts down."""
        self._completion.stop()

    def _examine_targets(self) -> target_selection.ServiceTargets:
        return self._gateway_state.target_selector.examine(
            self._service, self._allowed_regions
        )

    def _create_ticket(self) -> queue_ticket.Ticket:
        return queue_ticket.Ticket.create(
            services=(self._service,),
            destination=frozenset((self._service,)),
            required_count=1,
            outgoing=self._request,
            route=self._route,
            allowed_regions=self._allowed_regions,
            needs_warm_targets=False,
            received_at=self._received_at,
            on_start=self._start_call,
            on_refusal=self._refuse,
        )

    def _start_call(
        self, targets: list[target_selection.ServiceTargets]
    ) -> None:
        """Sends the first attempt; called once.

        Args:
            targets: The targets of the service as of now, in a list.
        """
        self._call.start(targets[0])
        self._set_timers(self._call)
        self._check_completion(self._call)

    def _refuse(self, error: Exception) -> None:
        self._error = error
        self._completion.finish()

    def _check_completion(self, call: service_call.ServiceCall) -> None:
        if call.is_settled:
            self._completion.finish()
        elif call.is_waiting_for_capacity:
            self._gateway_state.capacity_queue.add_pending(
                pending_attempts.PendingAttempt(
                    call,
                    self._service,
                    self._allowed_regions,
                    self._request.priority,
                    1,
                    call.wait_ends_at,
                    self._retry_call,
                )
            )

    def _set_timers(self, call: service_call.ServiceCall) -> None:
        now = clock.monotonic()
        early_delay_s, late_delay_s = self._gateway_state.hedge_delays(
            self._route
        )
        self._completion.call_later(
            early_delay_s,
            call.hedge,
            request_operation.EARLY_HEDGE_KEPT_FRACTION,
        )
        self._completion.call_later(
            late_delay_s, self._run_late_hedge_round, call
        )
        self._completion.call_later(
            self._request.deadline - now, self._completion.finish
        )

    def _run_late_hedge_round(self, call: service_call.ServiceCall) -> None:
        call.observe_wait()
        call.hedge(request_operation.LATE_HEDGE_KEPT_FRACTION)
        self._completion.call_later(
            request_operation.HEDGE_ROUND_INTERVAL_FRACTION
            * self._route.latency_objective_s,
            self._run_late_hedge_round,
            call,
        )

    def _retry_call(self) -> None:
        call = self._call
        call.try_pending_attempt()
        if not call.is_waiting_for_capacity:
            self._gateway_state.capacity_queue.remove_pending(
                self._service, call
            )
        self._check_completion(call)

    def _failure(
        self,
        ticket: queue_ticket.Ticket,
        has_attempt_in_flight: bool,
        may_run: bool,
    ) -> errors.RequestError:
        if not may_run:
            return self._refusal(ticket)
        if self._completion.is_stopped:
            return request_operation.stopped_error()
        if has_attempt_in_flight:
            return errors.RequestError(
                errors.ErrorCode.DEADLINE,
                "the target did not answer before the deadline",
            )
        return errors.RequestError(
            errors.ErrorCode.TARGET_LOST,
            "no usable response; a target may have run the request",
        )

    def _refusal(self, ticket: queue_ticket.Ticket) -> errors.RequestError:
        """Returns the refusal of a request that no target has run or will."""
        if self._completion.is_stopped:
            return request_operation.stopping_error()
        if not self._call.attempt_count:
            return errors.RequestError(
                errors.ErrorCode.NO_TARGET,
                f"no available target of {self._service} has capacity",
                self._retry_after_s(request_operation.NO_TARGET_RETRY_AFTER_S),
            )
        return errors.RequestError(
            errors.ErrorCode.SHED,
            "every target tried was unreachable or refused the request",
            self._retry_after_s(
                self._gateway_state.capacity_queue.retry_after_s(ticket)
            ),
        )

    def _retry_after_s(self, default_s: float) -> float:
        return silent_targets.retry_after_s(
            [self._examine_targets()], 1, default_s
        )

    def _reply(self, answer: attempt_outcomes.Answered) -> http_server.Reply:
        response = answer.response
        header_names = self._gateway_state.settings.headers
        headers = headers_lib.forwardable_headers(
            response.headers,
            frozenset({header_names.request_id.lower(), "date"}),
        )
        headers[header_names.request_id] = self._request.request_id
        return http_server.Reply(
            response.status,
            headers,
            response.body,
            self._announced_length(response),
            response,
            response.stream,
        )

    def _announced_length(
        self, response: connection_lib.Response
    ) -> int | None:
        """Returns the length of a body that isn't here; None if unknown.

        A response to HEAD omits the body, and a long one follows later.
        """
        text = response.headers.get("Content-Length", "")
        is_here = self._request.method != "HEAD" and response.stream is None
        if is_here or not text.isascii():
            return None
        return int(text) if text.isdecimal() and len(text) < 16 else None
