"""Dispatches a request to all shards of a destination.

The request is sent to one target of each shard, and the responses are merged.
The reply is sent when no more responses can arrive or, after the soft deadline,
when enough shards have answered.
"""

from __future__ import annotations

import functools
import math

import attrs
from tornado import httputil

from cassiahead_decisions import gathering
from cassiahead_gateway import api
from cassiahead_gateway import errors
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import http_server
from cassiahead_gateway import outgoing_request
from cassiahead_gateway import pending_attempts
from cassiahead_gateway import queue_ticket
from cassiahead_gateway import request_operation
from cassiahead_gateway import service_call
from cassiahead_gateway import silent_targets
from cassiahead_gateway import target_selection
from cassiahead_wire import clock

__all__ = ["ScatterGather"]

# Longest wait of one shard of many for a target with capacity, as a fraction of
# the latency objective: until the shard's part would be late.
_SHARD_CAPACITY_WAIT_FRACTION = 1.0
# Time for which a hedge waits for an answer whose first bytes have arrived. The
# answer may have been cut off, so the wait is short.
_ARRIVING_ANSWER_WAIT_S = 0.005


@attrs.define(eq=False)
class ScatterGather:
    """A request to one target of each shard, merged into one reply.

    Attributes:
        attempt_summary: Attempts and responses of the request; complete once
            ``run`` has ended.
    """

    _gateway_state: gateway_state_lib.GatewayState
    _route: api.Route
    _scatter: api.Scatter
    _allowed_regions: tuple[str, ...]
    _request: outgoing_request.OutgoingRequest
    _received_at: float
    attempt_summary: request_operation.AttemptSummary = attrs.field(
        factory=request_operation.AttemptSummary
    )
    _calls: list[service_call.ServiceCall] = attrs.field(factory=list)
    _completion: request_operation.Completion = attrs.field(
        factory=request_operation.Completion.create
    )
    _unsettled_calls: set[service_call.ServiceCall] = attrs.field(factory=set)
    _answered_count: int = 0
    _may_run: bool = False
    _soft_deadline: float = math.inf
    _is_past_soft_deadline: bool = False
    _is_ended_by_soft_deadline: bool = False
    _error: Exception | None = None

    async def run(self) -> http_server.Reply:
        """Sends the request to the shards and merges their responses.

        Shards without an available target are left out.

        Returns:
            The merged reply.

        Raises:
            errors.RequestError: If too few shards have a target with capacity,
                or too few answered in time.
        """
        capacity_queue = self._gateway_state.capacity_queue
        capacity_queue.settle()
        targets_of_shards = self._examine_shards()
        self._check_availability(targets_of_shards)
        ticket = self._create_ticket()
        try:
            targets_to_start = capacity_queue.submit(ticket, targets_of_shards)
        except errors.RequestError:
            self._fill_refusal_summary(ticket, is_refused=True)
            raise
        try:
            if targets_to_start is not None:
                self._start_calls(targets_to_start)
            await self._completion.future
        finally:
            capacity_queue.cancel(ticket)
            self._completion.cancel_timers()
            self._may_run = any(call.may_run for call in self._calls)
            for call in self._calls:
                capacity_queue.remove_pending(call.service, call)
                call.cancel()
            if self._calls:
                self._fill_attempt_summary()
            else:
                self._fill_refusal_summary(
                    ticket, is_refused=self._error is not None
                )
        if self._error is not None:
            raise self._error
        reply = self._merged_reply(ticket)
        if self._is_ended_by_soft_deadline:
            self._gateway_state.reply_margin.record(
                clock.monotonic() - self._soft_deadline
            )
        return reply

    def stop(self) -> None:
        """Ends the request with the parts that are in; the gateway stops."""
        self._completion.stop()

    @property
    def _required_shard_count(self) -> int:
        return gathering.required_part_count(
            len(self._scatter.shards), self._scatter.min_coverage
        )

    def _examine_shards(self) -> list[target_selection.ServiceTargets]:
        """Examines the targets of each shard once, in the order of shards."""
        return [
            self._gateway_state.target_selector.examine(
                shard, self._allowed_regions
            )
            for shard in self._scatter.shards
        ]

    def _check_availability(
        self, targets_of_shards: list[target_selection.ServiceTargets]
    ) -> None:
        """Checks that enough shards have an available target.

        Raises:
            errors.RequestError: If they are too few for the required coverage.
        """
        unavailable_shards = [
            shard
            for shard, targets in zip(
                self._scatter.shards, targets_of_shards, strict=True
            )
            if not targets.has_available
        ]
        available_count = len(targets_of_shards) - len(unavailable_shards)
        if available_count >= self._required_shard_count:
            return
        self.attempt_summary.part_count = len(targets_of_shards)
        self.attempt_summary.missing_shards = sorted(unavailable_shards)
        raise errors.RequestError(
            errors.ErrorCode.NO_TARGET,
            f"{len(unavailable_shards)} shards have no available target",
            silent_targets.retry_after_s(
                targets_of_shards,
                self._required_shard_count,
                request_operation.NO_TARGET_RETRY_AFTER_S,
            ),
        )

    def _create_ticket(self) -> queue_ticket.Ticket:
        return queue_ticket.Ticket.create(
            services=self._scatter.shards,
            destination=self._scatter.shard_set,
            required_count=self._required_shard_count,
            outgoing=self._request,
            route=self._route,
            allowed_regions=self._allowed_regions,
            needs_warm_targets=True,
            received_at=self._received_at,
            on_start=self._start_calls,
            on_refusal=self._refuse,
        )

    def _start_calls(
        self, targets_of_shards: list[target_selection.ServiceTargets]
    ) -> None:
        """Sends the first attempts; called once.

        Args:
            targets_of_shards: The targets of the shards, as of now.
        """
        self._calls = [
            service_call.ServiceCall(
                shard,
                self._gateway_state,
                self._route,
                self._allowed_regions,
                self._request,
                _SHARD_CAPACITY_WAIT_FRACTION * self._route.latency_objective_s,
                self._on_attempt_end,
            )
            for shard in self._scatter.shards
        ]
        self._unsettled_calls = set(self._calls)
        for call, targets in zip(self._calls, targets_of_shards, strict=True):
            call.start(targets)
            self._update_progress(call)
        self._set_timers()
        self._check_completion()

    def _refuse(self, error: Exception) -> None:
        self._error = error
        self._completion.finish()

    def _fill_refusal_summary(
        self, ticket: queue_ticket.Ticket, *, is_refused: bool
    ) -> None:
        self.attempt_summary.part_count = len(self._scatter.shards)
        self.attempt_summary.missing_shards = sorted(
            ticket.request.missing_services or ()
        )
        if not is_refused:
            return
        self.attempt_summary.lacked_capacity = (
            sum(targets.has_warm for targets in self._examine_shards())
            >= self._required_shard_count
        )

    def _set_timers(self) -> None:
        now = clock.monotonic()
        route = self._route
        self._soft_deadline = (
            self._received_at
            + route.latency_objective_s
            - self._gateway_state.reply_margin.margin_s
        )
        early_delay_s, late_delay_s = self._gateway_state.hedge_delays(route)
        self._completion.call_later(
            early_delay_s,
            self._hedge_calls,
            self._calls,
            request_operation.EARLY_HEDGE_KEPT_FRACTION,
            True,
        )
        self._completion.call_later(
            late_delay_s,
            self._run_late_hedge_round,
            request_operation.LATE_HEDGE_KEPT_FRACTION,
        )
        self._completion.call_later(
            self._soft_deadline - now, self._on_soft_deadline
        )
        self._completion.call_later(
            self._request.deadline - now, self._completion.finish
        )

    def _run_late_hedge_round(self, kept_fraction: float) -> None:
        """Hedges shards that have not answered, and schedules the next round.

        Past the soft deadline, a search that would fail without more answers
        may spend the whole budget: a target that hangs would otherwise hold it
        until its deadline. Before, some of the budget is left for retries.
        """
        self._hedge_calls(self._calls, kept_fraction, True)
        is_required = (
            self._is_past_soft_deadline
            and self._answered_count < self._required_shard_count
        )
        self._completion.call_later(
            request_operation.HEDGE_ROUND_INTERVAL_FRACTION
            * self._route.latency_objective_s,
            self._run_late_hedge_round,
            request_operation.REQUIRED_HEDGE_KEPT_FRACTION
            if is_required
            else request_operation.LATE_HEDGE_KEPT_FRACTION,
        )

    def _hedge_calls(
        self,
        calls: list[service_call.ServiceCall],
        kept_fraction: float,
        postpones: bool,
    ) -> None:
        """Hedges the calls that are not settled.

        Args:
            calls: The calls.
            kept_fraction: See ``ServiceCall.hedge``.
            postpones: Whether to postpone the hedges of calls whose answer has
                arrived but is not read yet, as on a busy host.
        """
        postponed_calls = []
        for call in calls:
            if call not in self._unsettled_calls:
                continue
            call.observe_wait()
            if not call.can_hedge(kept_fraction):
                continue
            if postpones and call.is_answer_arriving:
                postponed_calls.append(call)
            else:
                call.hedge(kept_fraction)
        if postponed_calls:
            self._completion.call_later(
                _ARRIVING_ANSWER_WAIT_S,
                self._hedge_calls,
                postponed_calls,
                kept_fraction,
                False,
            )

    def _retry_call(self, call: service_call.ServiceCall) -> None:
        call.try_pending_attempt()
        if not call.is_waiting_for_capacity:
            self._gateway_state.capacity_queue.remove_pending(
                call.service, call
            )
        self._update_progress(call)
        self._check_completion()

    def _on_attempt_end(self, call: service_call.ServiceCall) -> None:
        self._update_progress(call)
        self._check_completion()

    def _update_progress(self, call: service_call.ServiceCall) -> None:
        """Counts a call once it is settled; has it woken while it waits."""
        if call.is_settled:
            if call in self._unsettled_calls:
                self._unsettled_calls.discard(call)
                self._answered_count += call.answer is not None
        elif call.is_waiting_for_capacity:
            self._gateway_state.capacity_queue.add_pending(
                pending_attempts.PendingAttempt(
                    call,
                    call.service,
                    self._allowed_regions,
                    self._request.priority,
                    self._required_shard_count,
                    call.wait_ends_at,
                    functools.partial(self._retry_call, call),
                )
            )

    def _on_soft_deadline(self) -> None:
        self._is_past_soft_deadline = True
        self._check_completion()
        self._is_ended_by_soft_deadline = self._completion.future.done()

    def _check_completion(self) -> None:
        settled_count = len(self._calls) - len(self._unsettled_calls)
        decision = gathering.decide(
            total_count=len(self._calls),
            present_count=self._answered_count,
            lost_count=settled_count - self._answered_count,
            required_count=self._required_shard_count,
            is_past_soft_deadline=self._is_past_soft_deadline,
        )
        if decision is not gathering.GatherDecision.WAIT:
            self._completion.finish()

    def _fill_attempt_summary(self) -> None:
        self.attempt_summary.part_count = len(self._calls)
        self.attempt_summary.answered_count = self._answered_count
        self.attempt_summary.attempt_count = sum(
            c.attempt_count for c in self._calls
        )
        self.attempt_summary.missing_shards = [
            c.service for c in self._calls if not c.answer
        ]
        curable_count = sum(
            c.lacked_capacity for c in self._calls if not c.answer
        )
        self.attempt_summary.lacked_capacity = (
            self._answered_count < self._required_shard_count
            and self._answered_count + curable_count
            >= self._required_shard_count
        )
        self.attempt_summary.target_ids = [
            target_id
            for call in self._calls
            for target_id in call.tried_target_ids
        ]

    def _merged_reply(self, ticket: queue_ticket.Ticket) -> http_server.Reply:
        answers = [c.answer for c in self._calls if c.answer is not None]
        if len(answers) < self._required_shard_count:
            raise self._failure(ticket)
        body = gathering.merge(
            (a.response.body for a in answers), self._scatter.top_k
        )
        header_names = self._gateway_state.settings.headers
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/octet-stream",
                header_names.request_id: self._request.request_id,
                header_names.part_stamps: ", ".join(
                    a.signature for a in answers
                ),
                header_names.missing_parts: str(
                    len(self._calls) - len(answers)
                ),
            }
        )
        # Without the parts' bodies, the length that HEAD tells is unknown.
        is_head = self._request.method == "HEAD"
        source = self._request if is_head else None
        return http_server.Reply(200, headers, body, source=source)

    def _failure(self, ticket: queue_ticket.Ticket) -> errors.RequestError:
        detail = (
            f"{self.attempt_summary.answered_count} of "
            f"{self.attempt_summary.part_count} shards answered"
        )
        if not self._may_run:
            if self._completion.is_stopped:
                return request_operation.stopping_error()
            return errors.RequestError(
                errors.ErrorCode.SHED,
                detail,
                silent_targets.retry_after_s(
                    self._examine_shards(),
                    self._required_shard_count,
                    self._gateway_state.capacity_queue.retry_after_s(ticket),
                ),
            )
        if self._completion.is_stopped:
            return request_operation.stopped_error()
        if clock.monotonic() >= self._request.deadline:
            return errors.RequestError(errors.ErrorCode.DEADLINE, detail)
        return errors.RequestError(errors.ErrorCode.COVERAGE_TOO_LOW, detail)
