"""Runs one request against one service: first attempt, hedges and retries."""

from __future__ import annotations

from collections.abc import Callable
import enum

import attrs

from cassiahead_gateway import api
from cassiahead_gateway import attempt_outcomes
from cassiahead_gateway import attempts
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import outgoing_request
from cassiahead_gateway import target_selection
from cassiahead_telemetry import events
from cassiahead_wire import clock

__all__ = ["Cause", "ServiceCall"]

# Limit on the attempts of a call that reached a target. The route's own limit
# counts only attempts that a target may have run, so refused attempts need a
# limit as well. Attempts without a connection are limited by the back-off of
# the connection table and by the request's deadline.
_MAX_ATTEMPT_COUNT = 5
_MIN_SERVER_ERROR_STATUS = 500


class Cause(enum.StrEnum):
    """Why an attempt is made; the values are metric labels and log fields."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


@attrs.define(eq=False)
class ServiceCall:
    """Sends attempts to targets of one service until the call is settled.

    A call is settled when an attempt has succeeded or no more may be made.

    Attributes:
        service: Name of the service.
        answer: The successful response; None until one arrives.
        error_answer: The latest signed response without a 2xx status, which is
            passed on to the caller if no attempt succeeds; None if there is
            none.
        has_failed: Whether all attempts have failed and no more will be made.
        may_have_run: Whether a target may have run the request in an attempt
            that did not succeed.
        attempt_count: Number of attempts sent.
        lacked_capacity: Whether the last attempt was refused by its target for
            lack of capacity, or was not sent because no target had any.
    """

    service: str
    _gateway_state: gateway_state_lib.GatewayState
    _route: api.Route
    _allowed_regions: tuple[str, ...]
    _request: outgoing_request.OutgoingRequest
    _capacity_wait_limit_s: float
    _on_attempt_end: Callable[[ServiceCall], None]
    answer: attempt_outcomes.Answered | None = None
    error_answer: attempt_outcomes.Answered | None = None
    has_failed: bool = False
    may_have_run: bool = False
    attempt_count: int = 0
    lacked_capacity: bool = False
    _possible_run_count: int = 0
    _unconnected_count: int = 0
    _wait_started_at: float | None = None
    _tried_target_ids: list[str] = attrs.field(factory=list)
    _attempts_in_flight: list[attempts.Attempt] = attrs.field(factory=list)

    @property
    def tried_target_ids(self) -> list[str]:
        """Ids of the targets that attempts were sent to, in order."""
        return self._tried_target_ids

    @property
    def is_settled(self) -> bool:
        """Whether the call has succeeded or failed."""
        return self.answer is not None or self.has_failed

    @property
    def is_waiting_for_capacity(self) -> bool:
        """Whether the next attempt waits for a target with capacity."""
        return not self.is_settled and not self._attempts_in_flight

    @property
    def wait_ends_at(self) -> float:
        """When a wait for capacity that has begun ends, on the clock."""
        if self._wait_started_at is None:
            return clock.monotonic() + self._capacity_wait_limit_s
        return self._wait_started_at + self._capacity_wait_limit_s

    @property
    def is_answer_arriving(self) -> bool:
        """Whether bytes of a response, or a close, wait to be handled."""
        return any(a.is_answer_arriving for a in self._attempts_in_flight)

    @property
    def may_run(self) -> bool:
        """Whether a target may have run the request, or may still do so."""
        return self.may_have_run or any(
            a.is_sent for a in self._attempts_in_flight
        )

    def start(self, targets: target_selection.ServiceTargets) -> None:
        """Makes the first attempt, or waits if no target has capacity.

        Args:
            targets: The service's targets, examined without a wait since.
        """
        self._gateway_state.budget_for(self.service).record_first_attempts(1)
        self._try_pending_attempt(targets)

    def try_pending_attempt(self) -> None:
        """Makes the attempt that waits for capacity, or fails the call.

        The call fails if the wait has reached its limit or the service has no
        available target left. Does nothing if no attempt is waiting.
        """
        if self.is_waiting_for_capacity:
            self._try_pending_attempt(self._examine_targets())

    def can_hedge(self, kept_fraction: float) -> bool:
        """Returns whether a second attempt is allowed.

        The route must be idempotent and allow another attempt, exactly one
        attempt must be in flight, and the extra-load budget must have credit.

        Args:
            kept_fraction: Fraction of the budget's maximum credit, 0 to 1,
                that must be left after the attempt.
        """
        return (
            not self.is_settled
            and self._route.is_idempotent
            and len(self._attempts_in_flight) == 1
            and self._has_attempts_left()
            and self._gateway_state.budget_for(self.service).has_credit_above(
                kept_fraction
            )
        )

    def observe_wait(self) -> None:
        """Notes targets that take long, before their answers come.

        Other hosts learn of a slow target sooner than by its late answer.
        """
        for attempt in self._attempts_in_flight:
            attempt.observe_wait()

    def hedge(self, kept_fraction: float) -> None:
        """Sends a second attempt if allowed and an untried target has capacity.

        Args:
            kept_fraction: See ``can_hedge``.
        """
        if not self.can_hedge(kept_fraction):
            return
        target = self._gateway_state.target_selector.choose(
            self.service, self._tried_target_ids, self._allowed_regions
        )
        budget = self._gateway_state.budget_for(self.service)
        if target is not None and budget.try_spend_above(kept_fraction):
            self._send_attempt(target, Cause.HEDGE)

    def cancel(self) -> None:
        """Cancels the attempts in flight; records the time each has taken."""
        for attempt in self._attempts_in_flight:
            self._record_latency(attempt)
            attempt.cancel()
        self._attempts_in_flight.clear()

    def _examine_targets(self) -> target_selection.ServiceTargets:
        return self._gateway_state.target_selector.examine(
            self.service, self._allowed_regions
        )

    def _try_pending_attempt(
        self, targets: target_selection.ServiceTargets
    ) -> None:
        self.lacked_capacity = targets.has_warm
        if self._is_wait_over(targets, clock.monotonic()):
            self.has_failed = True
            return
        self._start_attempt(
            targets, Cause.RETRY if self._tried_target_ids else Cause.FIRST
        )

    def _is_wait_over(
        self, targets: target_selection.ServiceTargets, now: float
    ) -> bool:
        """Returns whether the wait for capacity must end.

        Starts the wait if it has not begun.
        """
        if self._wait_started_at is None:
            self._wait_started_at = now
        if now - self._wait_started_at >= self._capacity_wait_limit_s:
            return True
        return not targets.has_available

    def _has_attempts_left(self) -> bool:
        # An attempt in flight counts as one that a target may have run.
        possible_run_count = self._possible_run_count + len(
            self._attempts_in_flight
        )
        connected_count = self.attempt_count - self._unconnected_count
        return (
            possible_run_count < self._route.max_attempts
            and connected_count < _MAX_ATTEMPT_COUNT
        )

    def _start_attempt(
        self, targets: target_selection.ServiceTargets, cause: Cause
    ) -> None:
        selector = self._gateway_state.target_selector
        target = selector.choose_among(targets, self._tried_target_ids)
        # Only an idempotent request may be sent to the same target again.
        if (
            target is None
            and self._tried_target_ids
            and self._route.is_idempotent
        ):
            target = selector.choose_among(targets, ())
        if target is not None:
            self._send_attempt(target, cause)
        elif self._wait_started_at is None:
            self._wait_started_at = clock.monotonic()

    def _send_attempt(self, target: api.Target, cause: Cause) -> None:
        gateway_state = self._gateway_state
        self.attempt_count += 1
        self.lacked_capacity = False
        self._wait_started_at = None
        self._tried_target_ids.append(target.id)
        gateway_state.metrics.attempts.add(cause.value)
        if cause is not Cause.FIRST:
            events.log(
                events.Event.ATTEMPT_ADDED,
                ordinary=True,
                request_id=self._request.request_id,
                cause=cause.value,
                service=self.service,
                target=target.id,
                budget=round(gateway_state.budget_for(self.service).credit, 1),
                tried=self._tried_target_ids[:-1],
            )
        self._attempts_in_flight.append(
            gateway_state.attempt_sender.send(
                target, self._request, self._on_outcome
            )
        )

    def _on_outcome(
        self,
        attempt: attempts.Attempt,
        outcome: attempt_outcomes.AttemptOutcome,
    ) -> None:
        self._attempts_in_flight.remove(attempt)
        self._record_latency(attempt)
        self._handle_outcome(outcome, attempt.target.id)
        if self.answer is not None:
            self.cancel()
        self._on_attempt_end(self)

    def _record_latency(self, attempt: attempts.Attempt) -> None:
        """Records the time since an attempt was sent.

        For a cancelled attempt this is a lower bound of the latency.
        """
        elapsed_s = clock.monotonic() - attempt.started_at
        self._gateway_state.latency_window_for(self._route.name).record(
            elapsed_s
        )

    def _handle_outcome(
        self, outcome: attempt_outcomes.AttemptOutcome, target_id: str
    ) -> None:
        if self.is_settled:
            if isinstance(outcome, attempt_outcomes.Answered):
                outcome.discard()
            return
        is_retriable = False
        self.lacked_capacity = False
        reason = ""
        needs_credit = True
        match outcome:
            case attempt_outcomes.Answered() if outcome.is_success:
                self.answer = outcome
                self._gateway_state.metrics.outcomes.add("good")
                return
            case attempt_outcomes.Answered(response, signature):
                self._possible_run_count += 1
                self.may_have_run = True
                reason = f"status {response.status}"
                if signature:
                    self.error_answer = outcome
                is_retriable = (
                    self._route.is_idempotent
                    and response.status >= _MIN_SERVER_ERROR_STATUS
                )
            case attempt_outcomes.NotRun(reason, was_received):
                self.lacked_capacity = outcome.is_overload
                needs_credit = was_received
                self._unconnected_count += not was_received
                is_retriable = True
            case attempt_outcomes.OutcomeUnknown(reason):
                self._possible_run_count += 1
                self.may_have_run = True
                is_retriable = self._route.is_idempotent
        self._gateway_state.metrics.outcomes.add("bad")
        events.log(
            events.Event.ATTEMPT_FAILED,
            ordinary=True,
            request_id=self._request.request_id,
            service=self.service,
            target=target_id,
            reason=reason,
            retry=is_retriable,
            age_s=round(
                self._gateway_state.catalogue.age_s(clock.monotonic()), 2
            ),
        )
        if self._attempts_in_flight:
            return
        if is_retriable and self._try_reserve_retry(needs_credit):
            # If no target has capacity now, the call waits for one.
            self._start_attempt(self._examine_targets(), Cause.RETRY)
        else:
            self.has_failed = True

    def _try_reserve_retry(self, needs_credit: bool) -> bool:
        """Returns whether a retry is allowed; if so, spends credit for it.

        Args:
            needs_credit: Whether the retry needs credit of the extra-load
                budget.
        """
        if (
            not self._has_attempts_left()
            or self._request.deadline <= clock.monotonic()
        ):
            return False
        return (
            not needs_credit
            or self._gateway_state.budget_for(self.service).try_spend()
        )
