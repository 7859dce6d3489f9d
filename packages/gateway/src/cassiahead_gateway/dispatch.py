"""Dispatches a caller's request to the targets of the route's destination.

A scatter-gather sends the request to one target of each shard and merges the
responses. It replies when no more responses can arrive or, after the soft
deadline, when enough shards have answered. Any other request is forwarded to
one target of a service.
"""

from __future__ import annotations

import asyncio

import attrs
from tornado import httputil

from cassiahead_decisions import gathering
from cassiahead_gateway import api
from cassiahead_gateway import attempts
from cassiahead_gateway import errors
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import headers as headers_lib
from cassiahead_gateway import http_server
from cassiahead_gateway import service_call
from cassiahead_wire import clock

__all__ = ["Forward", "ScatterGather", "AttemptSummary"]

# Subtracted from the latency objective to get the soft deadline. Covers the
# caller's connect before the request arrives, and merging the parts and sending
# the reply after the soft deadline.
_SOFT_DEADLINE_MARGIN_S = 0.015
# Interval at which a call that found no target with capacity tries again.
_CAPACITY_POLL_INTERVAL_S = 0.01
# Longest wait for a target with capacity, as a fraction of the latency
# objective. One shard of many may wait until its part would be late. A whole
# request waits less, so that a refused caller still has time to retry.
_SHARD_CAPACITY_WAIT_FRACTION = 1.0
_EARLY_REFUSAL_WAIT_FRACTION = 0.25
# Fraction of the extra-load budget's maximum credit that hedges leave unspent.
# Early hedges spend only credit near the maximum, above which no more can be
# earned. Late hedges leave some for retries of attempts that have certainly
# failed.
_EARLY_HEDGE_KEPT_FRACTION = 0.75
_LATE_HEDGE_KEPT_FRACTION = 0.2
# Time between rounds of late hedges, as a fraction of the latency objective.
_HEDGE_ROUND_INTERVAL_FRACTION = 0.15
# Number of rounds of late hedges after the first.
_EXTRA_HEDGE_ROUND_COUNT = 3
_SHED_RETRY_AFTER_S = 0.3
_NO_TARGET_RETRY_AFTER_S = 0.5


@attrs.define
class AttemptSummary:
    """Attempts and responses of one request, for the log.

    Attributes:
        part_count: Number of parts of a complete answer; 1 for a forwarded
            request.
        answered_count: Number of parts for which a successful response arrived.
        attempt_count: Number of attempts sent.
        missing_shards: Names of the shards without a successful response; of a
            refused request, those without an available target or capacity.
        target_ids: Id of the target of each attempt; in order of sending for
            each shard.
    """

    part_count: int = 0
    answered_count: int = 0
    attempt_count: int = 0
    missing_shards: list[str] = attrs.field(factory=list)
    target_ids: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Completion:
    """Future for the end of one request, and the timers that run until then.

    Attributes:
        future: Resolved when the request has nothing more to wait for.
    """

    future: asyncio.Future[None]
    _timers: list[asyncio.TimerHandle] = attrs.field(factory=list)

    @classmethod
    def create(cls) -> _Completion:
        """Creates a pending completion without timers."""
        return cls(asyncio.get_running_loop().create_future())

    def finish(self) -> None:
        """Resolves ``future``; further calls have no effect."""
        if not self.future.done():
            self.future.set_result(None)

    def call_later(
        self, delay_s: float, callback: object, *args: object
    ) -> None:
        """Calls a function after a delay, unless ``cancel_timers`` comes first.

        Args:
            delay_s: Delay in seconds; a negative one counts as 0.
            callback: Function to call.
            *args: Arguments of the function.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, delay_s), callback, *args)  # type: ignore[arg-type]
        self._timers.append(timer)

    def cancel_timers(self) -> None:
        """Cancels all timers."""
        for timer in self._timers:
            timer.cancel()


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
    _request: attempts.OutgoingRequest
    _received_at: float
    attempt_summary: AttemptSummary = attrs.field(factory=AttemptSummary)
    _calls: list[service_call.ServiceCall] = attrs.field(factory=list)
    _completion: _Completion = attrs.field(factory=_Completion.create)
    _is_past_soft_deadline: bool = False
    _is_poll_scheduled: bool = False

    async def run(self) -> http_server.Reply:
        """Sends the request to the shards and merges their responses.

        Shards without an available target are left out.

        Returns:
            The merged reply.

        Raises:
            errors.RequestError: If too few shards have a target with capacity,
                or too few answered in time.
        """
        unavailable_shards = self._unavailable_shards()
        await self._wait_for_capacity()
        self._calls = [
            service_call.ServiceCall(
                shard,
                self._gateway_state,
                self._route,
                self._allowed_regions,
                self._request,
                _SHARD_CAPACITY_WAIT_FRACTION * self._route.latency_objective_s,
                self._check_completion,
            )
            for shard in self._scatter.shards
        ]
        for call in self._calls:
            if call.service in unavailable_shards:
                call.skip()
            else:
                call.start()
        self._set_timers()
        self._check_completion()
        try:
            await self._completion.future
        finally:
            self._completion.cancel_timers()
            for call in self._calls:
                call.cancel()
            self._fill_attempt_summary()
        return self._merged_reply()

    @property
    def _required_shard_count(self) -> int:
        return gathering.required_part_count(
            len(self._scatter.shards), self._scatter.min_coverage
        )

    def _unavailable_shards(self) -> frozenset[str]:
        """Returns the shards without an available target.

        Raises:
            errors.RequestError: If too few other shards are left for the
                required coverage.
        """
        shards = self._scatter.shards
        unavailable_shards = frozenset(
            s
            for s in shards
            if not self._gateway_state.has_available_target(
                s, self._allowed_regions
            )
        )
        if len(shards) - len(unavailable_shards) >= self._required_shard_count:
            return unavailable_shards
        self.attempt_summary.part_count = len(shards)
        self.attempt_summary.missing_shards = sorted(unavailable_shards)
        raise errors.RequestError(
            errors.ErrorCode.NO_TARGET,
            f"{len(unavailable_shards)} shards have no available target",
            _NO_TARGET_RETRY_AFTER_S,
        )

    async def _wait_for_capacity(self) -> None:
        """Waits until the required number of shards have capacity.

        A search that started with too few shards would fail in the end, and
        until then use capacity that searches with enough shards need.

        Raises:
            errors.RequestError: If too few shards have capacity when the wait
                reaches its limit.
        """
        wait_limit_s = (
            _EARLY_REFUSAL_WAIT_FRACTION * self._route.latency_objective_s
        )
        shards = self._scatter.shards
        while (
            len(saturated_shards := self._saturated_shards())
            > len(shards) - self._required_shard_count
        ):
            if clock.monotonic() - self._received_at >= wait_limit_s:
                self.attempt_summary.part_count = len(shards)
                self.attempt_summary.missing_shards = saturated_shards
                raise errors.RequestError(
                    errors.ErrorCode.SHED,
                    "too few shards have capacity for another search",
                    _SHED_RETRY_AFTER_S,
                )
            await asyncio.sleep(_CAPACITY_POLL_INTERVAL_S)

    def _saturated_shards(self) -> list[str]:
        """Returns the shards that fail ``GatewayState.has_capacity``."""
        return [
            shard
            for shard in self._scatter.shards
            if not self._gateway_state.has_capacity(
                shard, self._allowed_regions
            )
        ]

    def _set_timers(self) -> None:
        now = clock.monotonic()
        route = self._route
        soft_deadline = (
            self._received_at
            + route.latency_objective_s
            - _SOFT_DEADLINE_MARGIN_S
        )
        early_delay_s, late_delay_s = self._gateway_state.hedge_delays(route)
        self._completion.call_later(
            early_delay_s, self._hedge_shards, _EARLY_HEDGE_KEPT_FRACTION, 0
        )
        self._completion.call_later(
            late_delay_s,
            self._hedge_shards,
            _LATE_HEDGE_KEPT_FRACTION,
            _EXTRA_HEDGE_ROUND_COUNT,
        )
        self._completion.call_later(soft_deadline - now, self._on_soft_deadline)
        self._completion.call_later(
            self._request.deadline - now, self._completion.finish
        )

    def _hedge_shards(
        self, kept_fraction: float, remaining_round_count: int
    ) -> None:
        for call in self._calls:
            call.hedge(kept_fraction)
        if remaining_round_count > 0:
            delay_s = (
                _HEDGE_ROUND_INTERVAL_FRACTION * self._route.latency_objective_s
            )
            self._completion.call_later(
                delay_s,
                self._hedge_shards,
                kept_fraction,
                remaining_round_count - 1,
            )

    def _poll_capacity(self) -> None:
        self._is_poll_scheduled = False
        for call in self._calls:
            call.try_pending_attempt()
        self._check_completion()

    def _on_soft_deadline(self) -> None:
        self._is_past_soft_deadline = True
        self._check_completion()

    def _check_completion(self) -> None:
        decision = gathering.decide(
            total_count=len(self._calls),
            present_count=sum(1 for c in self._calls if c.answer),
            lost_count=sum(1 for c in self._calls if c.has_failed),
            required_count=self._required_shard_count,
            is_past_soft_deadline=self._is_past_soft_deadline,
        )
        if decision is not gathering.GatherDecision.WAIT:
            self._completion.finish()
        elif not self._is_poll_scheduled and any(
            c.is_waiting_for_capacity for c in self._calls
        ):
            self._is_poll_scheduled = True
            self._completion.call_later(
                _CAPACITY_POLL_INTERVAL_S, self._poll_capacity
            )

    def _fill_attempt_summary(self) -> None:
        self.attempt_summary.part_count = len(self._calls)
        self.attempt_summary.answered_count = sum(
            1 for c in self._calls if c.answer
        )
        self.attempt_summary.attempt_count = sum(
            c.attempt_count for c in self._calls
        )
        self.attempt_summary.missing_shards = [
            c.service for c in self._calls if not c.answer
        ]
        self.attempt_summary.target_ids = [
            target_id
            for call in self._calls
            for target_id in call.tried_target_ids
        ]

    def _merged_reply(self) -> http_server.Reply:
        answers = [c.answer for c in self._calls if c.answer is not None]
        if len(answers) < self._required_shard_count:
            raise self._failure()
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
        return http_server.Reply(200, headers, body)

    def _failure(self) -> errors.RequestError:
        detail = (
            f"{self.attempt_summary.answered_count} of "
            f"{self.attempt_summary.part_count} shards answered"
        )
        if all(not c.may_have_run and c.has_failed for c in self._calls):
            return errors.RequestError(
                errors.ErrorCode.SHED, detail, _SHED_RETRY_AFTER_S
            )
        if clock.monotonic() >= self._request.deadline:
            return errors.RequestError(errors.ErrorCode.DEADLINE, detail)
        return errors.RequestError(errors.ErrorCode.COVERAGE_TOO_LOW, detail)


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
    _request: attempts.OutgoingRequest
    _received_at: float
    attempt_summary: AttemptSummary = attrs.field(factory=AttemptSummary)
    _completion: _Completion = attrs.field(factory=_Completion.create)

    async def run(self) -> http_server.Reply:
        """Returns the target's response as a reply to the caller.

        Raises:
            errors.RequestError: If no target sent a signed response in time.
        """
        call = service_call.ServiceCall(
            self._service,
            self._gateway_state,
            self._route,
            self._allowed_regions,
            self._request,
            _EARLY_REFUSAL_WAIT_FRACTION * self._route.latency_objective_s,
            lambda: self._check_completion(call),
        )
        call.start()
        self._set_timers(call)
        self._check_completion(call)
        try:
            await self._completion.future
        finally:
            self._completion.cancel_timers()
            has_attempt_in_flight = (
                not call.is_settled and not call.is_waiting_for_capacity
            )
            call.cancel()
            self.attempt_summary = AttemptSummary(
                1,
                int(call.answer is not None),
                call.attempt_count,
                [],
                call.tried_target_ids,
            )
        answer = call.answer or call.error_answer
        if answer is None:
            raise self._failure(call, has_attempt_in_flight)
        return self._reply(answer)

    def _check_completion(self, call: service_call.ServiceCall) -> None:
        if call.is_settled:
            self._completion.finish()
        elif call.is_waiting_for_capacity:
            self._completion.call_later(
                _CAPACITY_POLL_INTERVAL_S, self._poll_capacity, call
            )

    def _set_timers(self, call: service_call.ServiceCall) -> None:
        now = clock.monotonic()
        early_delay_s, late_delay_s = self._gateway_state.hedge_delays(
            self._route
        )
        self._completion.call_later(
            early_delay_s, call.hedge, _EARLY_HEDGE_KEPT_FRACTION
        )
        self._completion.call_later(
            late_delay_s, call.hedge, _LATE_HEDGE_KEPT_FRACTION
        )
        self._completion.call_later(
            self._request.deadline - now, self._completion.finish
        )

    def _poll_capacity(self, call: service_call.ServiceCall) -> None:
        call.try_pending_attempt()
        self._check_completion(call)

    def _failure(
        self, call: service_call.ServiceCall, has_attempt_in_flight: bool
    ) -> errors.RequestError:
        if has_attempt_in_flight:
            return errors.RequestError(
                errors.ErrorCode.DEADLINE,
                "the target did not answer before the deadline",
            )
        if call.may_have_run:
            return errors.RequestError(
                errors.ErrorCode.TARGET_LOST,
                "no usable response; a target may have run the request",
            )
        if not call.attempt_count:
            return errors.RequestError(
                errors.ErrorCode.NO_TARGET,
                f"no available target of {self._service} has capacity",
                _NO_TARGET_RETRY_AFTER_S,
            )
        return errors.RequestError(
            errors.ErrorCode.SHED,
            "every target tried was unreachable or refused the request",
            _SHED_RETRY_AFTER_S,
        )

    def _reply(self, answer: attempts.Answered) -> http_server.Reply:
        response = answer.response
        header_names = self._gateway_state.settings.headers
        headers = headers_lib.forwardable_headers(
            response.headers,
            frozenset({header_names.request_id.lower(), "date"}),
        )
        headers[header_names.request_id] = self._request.request_id
        return http_server.Reply(response.status, headers, response.body)
