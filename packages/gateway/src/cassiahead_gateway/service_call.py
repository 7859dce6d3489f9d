"""One request to one service: its attempts, hedges and retries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import enum

import attrs

from cassiahead_gateway import api
from cassiahead_gateway import attempts
from cassiahead_gateway import context as context_lib
from cassiahead_telemetry import events
from cassiahead_wire import clock

__all__ = ["Cause", "ServiceCall"]

# Attempts that a target turned away without running them are not counted as
# attempts of the route, but they end somewhere.
_MAX_SENDS = 5
_SERVER_ERROR = 500


class Cause(enum.StrEnum):
    """Why an attempt is made."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


@attrs.frozen
class _Attempt:
    target: str
    started: float


@attrs.define(eq=False)
class ServiceCall:
    """Asks targets of one service until one answers well.

    Attributes:
        service: The service.
        answer: The good answer; None so far.
        refusal: A target's own bad answer, to pass on if no better one comes.
        lost: Whether no attempt is under way and none can follow.
        may_have_run: Whether a target may have run the request.
        sends: Attempts made.
    """

    service: str
    _context: context_lib.Context
    _route: api.Route
    _homes: tuple[str, ...]
    _request: attempts.OutgoingRequest
    _room_patience_s: float
    _on_change: Callable[[], None]
    answer: attempts.Answered | None = None
    refusal: attempts.Answered | None = None
    lost: bool = False
    may_have_run: bool = False
    sends: int = 0
    _runs: int = 0
    _waits_since: float | None = None
    _tried: list[str] = attrs.field(factory=list)
    _under_way: dict[asyncio.Task[attempts.Outcome], _Attempt] = attrs.field(
        factory=dict
    )

    @property
    def tried(self) -> list[str]:
        """Targets asked, in order."""
        return self._tried

    @property
    def settled(self) -> bool:
        """Whether there is nothing more to wait for."""
        return self.answer is not None or self.lost

    @property
    def waits_for_room(self) -> bool:
        """Whether no target could take the request so far."""
        return not self.settled and not self._under_way

    def begin(self) -> None:
        """Makes the first attempt, if a target can take it."""
        self._context.budget(self.service).record_first_attempts(1)
        self.try_again()

    def leave_out(self) -> None:
        """Makes no attempt at all."""
        self._context.budget(self.service).record_first_attempts(1)
        self.lost = True

    def try_again(self) -> None:
        """Makes the attempt for which no target had room, or gives it up."""
        if not self.waits_for_room:
            return
        if self._waited_in_vain(clock.monotonic()):
            self.lost = True
            return
        self._launch(Cause.RETRY if self._tried else Cause.FIRST)

    def hedge(self, kept_share: float) -> None:
        """Asks a second replica, if the first is slow and that is allowed.

        Args:
            kept_share: Part of the reserve that must be left for others.
        """
        if self.settled or not self._route.idempotent:
            return
        if len(self._under_way) != 1 or not self._may_send():
            return
        target = self._context.choose(self.service, self._tried, self._homes)
        if target is None:
            return
        if self._context.budget(self.service).try_spend_above(kept_share):
            self._send(target, Cause.HEDGE)

    def cancel(self) -> None:
        """Ends all attempts under way."""
        for task, attempt in self._under_way.items():
            self._record(attempt)
            task.cancel()
        self._under_way.clear()

    def _waited_in_vain(self, now: float) -> bool:
        if self._waits_since is None:
            self._waits_since = now
        if now - self._waits_since >= self._room_patience_s:
            return True
        return not self._context.has_targets(self.service, self._homes)

    def _may_send(self) -> bool:
        # An attempt under way counts as one that runs.
        runs = self._runs + len(self._under_way)
        return runs < self._route.max_attempts and self.sends < _MAX_SENDS

    def _launch(self, cause: Cause) -> None:
        context = self._context
        target = context.choose(self.service, self._tried, self._homes)
        if target is None and self._tried and self._route.idempotent:
            target = context.choose(self.service, (), self._homes)
        if target is not None:
            self._send(target, cause)

    def _send(self, target: api.Target, cause: Cause) -> None:
        context = self._context
        self.sends += 1
        self._waits_since = None
        self._tried.append(target.id)
        context.metrics.attempts.add(cause.value)
        if cause is not Cause.FIRST:
            events.log(
                events.Event.ATTEMPT_ADDED,
                ordinary=True,
                request_id=self._request.request_id,
                cause=cause.value,
                service=self.service,
                target=target.id,
                budget=round(context.budget(self.service).credit, 1),
                tried=self._tried[:-1],
            )
        left = self._request.deadline_at - clock.monotonic()
        task = context.sender.send(target, self._request, left)
        self._under_way[task] = _Attempt(target.id, clock.monotonic())
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[attempts.Outcome]) -> None:
        attempt = self._under_way.pop(task, None)
        if attempt is None or task.cancelled():
            return
        self._record(attempt)
        self._take(task.result(), attempt.target)
        if self.answer is not None:
            self.cancel()
        self._on_change()

    def _record(self, attempt: _Attempt) -> None:
        """Takes the time of an attempt, or the least it would have taken."""
        elapsed = clock.monotonic() - attempt.started
        self._context.window(self._route.name).record(elapsed)

    def _take(self, outcome: attempts.Outcome, target: str) -> None:
        if self.settled:
            return
        retry = False
        reason = ""
        charged = True
        match outcome:
            case attempts.Answered() if outcome.is_success:
                self.answer = outcome
                self._context.metrics.outcomes.add("good")
                return
            case attempts.Answered(response, signature):
                self._runs += 1
                self.may_have_run = True
                reason = f"status {response.status}"
                if signature:
                    self.refusal = outcome
                retry = (
                    self._route.idempotent and response.status >= _SERVER_ERROR
                )
            case attempts.NotRun(reason, was_received):
                charged = was_received
                retry = True
            case attempts.OutcomeUnknown(reason):
                self._runs += 1
                self.may_have_run = True
                retry = self._route.idempotent
        self._context.metrics.outcomes.add("bad")
        events.log(
            events.Event.ATTEMPT_FAILED,
            ordinary=True,
            request_id=self._request.request_id,
            service=self.service,
            target=target,
            reason=reason,
            retry=retry,
            age_s=round(self._context.catalogue.age(clock.monotonic()), 2),
        )
        if self._under_way:
            return
        if retry and self._may_retry(charged):
            # If no target has room now, the call waits for one.
            self._launch(Cause.RETRY)
        else:
            self.lost = True

    def _may_retry(self, charged: bool) -> bool:
        if (
            not self._may_send()
            or self._request.deadline_at <= clock.monotonic()
        ):
            return False
        return not charged or self._context.budget(self.service).try_spend()
