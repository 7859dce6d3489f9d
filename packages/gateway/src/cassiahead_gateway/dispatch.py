"""Requests to targets on behalf of a caller, by the route's destination."""

from __future__ import annotations

import asyncio

import attrs
from tornado import httputil

from cassiahead_decisions import gathering
from cassiahead_gateway import api
from cassiahead_gateway import attempts
from cassiahead_gateway import context as context_lib
from cassiahead_gateway import errors
from cassiahead_gateway import headers as headers_lib
from cassiahead_gateway import http_server
from cassiahead_gateway import service_call
from cassiahead_wire import clock

__all__ = ["Forward", "ScatterGather", "Trace"]

# From the target latency are taken the way back to the caller, the way here of
# a caller that had to connect first, and the merge.
_LATE_MARGIN_S = 0.015
# How often a call that found no target with room looks again.
_LOOK_AGAIN_S = 0.01
# Part of the target latency for which a call waits for a target with room: one
# of many shards until the answer is late, a single one for as long as a refusal
# is still early for the caller.
_SHARD_PATIENCE = 1.0
_SINGLE_PATIENCE = 0.25
# Parts of the reserve for extra requests that hedges leave: the early ones are
# made only from what would otherwise be lost, the later ones leave some for
# answers that were lost for certain.
_KEPT_EARLY = 0.75
_KEPT_LATER = 0.2
# Between rounds of hedges, as a part of the target latency.
_HEDGE_AGAIN = 0.15
_HEDGE_ROUNDS = 3
_SHED_RETRY_AFTER_S = 0.3
_NO_TARGET_RETRY_AFTER_S = 0.5


@attrs.define
class Trace:
    """What a request's line in the log tells of its targets."""

    parts: int = 0
    present: int = 0
    sends: int = 0
    missing: list[str] = attrs.field(factory=list)
    targets: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Wait:
    """Timers of one request, and what ends its wait."""

    ended: asyncio.Future[None]
    _timers: list[asyncio.TimerHandle] = attrs.field(factory=list)

    @classmethod
    def begin(cls) -> _Wait:
        """Creates a wait without timers."""
        return cls(asyncio.get_running_loop().create_future())

    def end(self) -> None:
        """Ends the wait."""
        if not self.ended.done():
            self.ended.set_result(None)

    def after(self, seconds: float, action: object, *args: object) -> None:
        """Runs an action later, unless the wait is over by then."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, seconds), action, *args)  # type: ignore[arg-type]
        self._timers.append(timer)

    def close(self) -> None:
        """Cancels all timers."""
        for timer in self._timers:
            timer.cancel()


@attrs.define(eq=False)
class ScatterGather:
    """A request to one target of each shard, merged into one answer."""

    _context: context_lib.Context
    _route: api.Route
    _scatter: api.Scatter
    _homes: tuple[str, ...]
    _request: attempts.OutgoingRequest
    _received_at: float
    trace: Trace = attrs.field(factory=Trace)
    _calls: list[service_call.ServiceCall] = attrs.field(factory=list)
    _wait: _Wait = attrs.field(factory=_Wait.begin)
    _late: bool = False
    _looks_again: bool = False

    async def run(self) -> http_server.Reply:
        """Returns the merged answer.

        Raises:
            errors.RequestError: If too few shards answered in time.
        """
        dark = self._dark_shards()
        await self._until_room()
        self._calls = [
            service_call.ServiceCall(
                shard,
                self._context,
                self._route,
                self._homes,
                self._request,
                _SHARD_PATIENCE * self._route.latency_objective_s,
                self._judge,
            )
            for shard in self._scatter.shards
        ]
        for call in self._calls:
            if call.service in dark:
                call.leave_out()
            else:
                call.begin()
        self._set_timers()
        self._judge()
        try:
            await self._wait.ended
        finally:
            self._wait.close()
            for call in self._calls:
                call.cancel()
            self._fill_trace()
        return self._answer()

    @property
    def _least(self) -> int:
        return gathering.required_parts(
            len(self._scatter.shards), self._scatter.min_coverage
        )

    def _dark_shards(self) -> frozenset[str]:
        """Returns the shards without a target that may well answer.

        Raises:
            errors.RequestError: If an answer may not lack so many.
        """
        shards = self._scatter.shards
        dark = frozenset(
            s for s in shards if not self._context.has_targets(s, self._homes)
        )
        if len(shards) - len(dark) >= self._least:
            return dark
        self.trace.parts = len(shards)
        self.trace.missing = sorted(dark)
        raise errors.RequestError(
            errors.Code.NO_TARGET,
            f"{len(dark)} shards have no target that answers",
            _NO_TARGET_RETRY_AFTER_S,
        )

    async def _until_room(self) -> None:
        """Waits until as many shards as an answer needs have room for it.

        What is begun without would take places of searches that can still be
        answered, and come to nothing.

        Raises:
            errors.RequestError: If there is none while a refusal is early.
        """
        patience = _SINGLE_PATIENCE * self._route.latency_objective_s
        shards = self._scatter.shards
        while len(full := self._full_shards()) > len(shards) - self._least:
            if clock.monotonic() - self._received_at >= patience:
                self.trace.parts = len(shards)
                self.trace.missing = full
                raise errors.RequestError(
                    errors.Code.SHED,
                    "too few shards have room for another search",
                    _SHED_RETRY_AFTER_S,
                )
            await asyncio.sleep(_LOOK_AGAIN_S)

    def _full_shards(self) -> list[str]:
        """Returns the shards without a live target that has room."""
        return [
            shard
            for shard in self._scatter.shards
            if not self._context.has_room(shard, self._homes)
        ]

    def _set_timers(self) -> None:
        now = clock.monotonic()
        route = self._route
        late_at = self._received_at + route.latency_objective_s - _LATE_MARGIN_S
        early, later = self._context.hedge_delays(route)
        self._wait.after(early, self._hedge, _KEPT_EARLY, 0)
        self._wait.after(later, self._hedge, _KEPT_LATER, _HEDGE_ROUNDS)
        self._wait.after(late_at - now, self._become_late)
        self._wait.after(self._request.deadline_at - now, self._wait.end)

    def _hedge(self, kept_share: float, rounds: int) -> None:
        for call in self._calls:
            call.hedge(kept_share)
        if rounds > 0:
            delay = _HEDGE_AGAIN * self._route.latency_objective_s
            self._wait.after(delay, self._hedge, kept_share, rounds - 1)

    def _look_again(self) -> None:
        self._looks_again = False
        for call in self._calls:
            call.try_again()
        self._judge()

    def _become_late(self) -> None:
        self._late = True
        self._judge()

    def _judge(self) -> None:
        verdict = gathering.decide(
            total=len(self._calls),
            present=sum(1 for c in self._calls if c.answer),
            lost=sum(1 for c in self._calls if c.lost),
            required=self._least,
            past_soft_deadline=self._late,
        )
        if verdict is not gathering.GatherDecision.WAIT:
            self._wait.end()
        elif not self._looks_again and any(
            c.waits_for_room for c in self._calls
        ):
            self._looks_again = True
            self._wait.after(_LOOK_AGAIN_S, self._look_again)

    def _fill_trace(self) -> None:
        self.trace.parts = len(self._calls)
        self.trace.present = sum(1 for c in self._calls if c.answer)
        self.trace.sends = sum(c.sends for c in self._calls)
        self.trace.missing = [c.service for c in self._calls if not c.answer]
        self.trace.targets = [t for c in self._calls for t in c.tried]

    def _answer(self) -> http_server.Reply:
        answers = [c.answer for c in self._calls if c.answer is not None]
        if len(answers) < self._least:
            raise self._failure()
        body = gathering.merge(
            (a.response.body for a in answers), self._scatter.top_k
        )
        names = self._context.settings.headers
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/octet-stream",
                names.request_id: self._request.request_id,
                names.part_stamps: ", ".join(a.signature for a in answers),
                names.missing_parts: str(len(self._calls) - len(answers)),
            }
        )
        return http_server.Reply(200, headers, body)

    def _failure(self) -> errors.RequestError:
        detail = f"{self.trace.present} of {self.trace.parts} shards answered"
        if all(not c.may_have_run and c.lost for c in self._calls):
            return errors.RequestError(
                errors.Code.SHED, detail, _SHED_RETRY_AFTER_S
            )
        if clock.monotonic() >= self._request.deadline_at:
            return errors.RequestError(errors.Code.DEADLINE, detail)
        return errors.RequestError(errors.Code.COVERAGE_TOO_LOW, detail)


@attrs.define(eq=False)
class Forward:
    """A request to one target, whose answer is passed on unchanged."""

    _context: context_lib.Context
    _route: api.Route
    _service: str
    _homes: tuple[str, ...]
    _request: attempts.OutgoingRequest
    _received_at: float
    trace: Trace = attrs.field(factory=Trace)
    _wait: _Wait = attrs.field(factory=_Wait.begin)

    async def run(self) -> http_server.Reply:
        """Returns the target's answer.

        Raises:
            errors.RequestError: If there is none.
        """
        call = service_call.ServiceCall(
            self._service,
            self._context,
            self._route,
            self._homes,
            self._request,
            _SINGLE_PATIENCE * self._route.latency_objective_s,
            lambda: self._judge(call),
        )
        call.begin()
        self._set_timers(call)
        self._judge(call)
        try:
            await self._wait.ended
        finally:
            self._wait.close()
            under_way = not call.settled and not call.waits_for_room
            call.cancel()
            self.trace = Trace(
                1, int(call.answer is not None), call.sends, [], call.tried
            )
        answer = call.answer or call.refusal
        if answer is None:
            raise self._failure(call, under_way)
        return self._reply(answer)

    def _judge(self, call: service_call.ServiceCall) -> None:
        if call.settled:
            self._wait.end()
        elif call.waits_for_room:
            self._wait.after(_LOOK_AGAIN_S, self._look_again, call)

    def _set_timers(self, call: service_call.ServiceCall) -> None:
        now = clock.monotonic()
        early, later = self._context.hedge_delays(self._route)
        self._wait.after(early, call.hedge, _KEPT_EARLY)
        self._wait.after(later, call.hedge, _KEPT_LATER)
        self._wait.after(self._request.deadline_at - now, self._wait.end)

    def _look_again(self, call: service_call.ServiceCall) -> None:
        call.try_again()
        self._judge(call)

    def _failure(
        self, call: service_call.ServiceCall, under_way: bool
    ) -> errors.RequestError:
        if under_way:
            return errors.RequestError(
                errors.Code.DEADLINE, "the target did not answer in time"
            )
        if call.may_have_run:
            return errors.RequestError(
                errors.Code.TARGET_LOST, "the target's answer was lost"
            )
        if not call.sends:
            return errors.RequestError(
                errors.Code.NO_TARGET,
                f"no target of {self._service} answers and has room",
                _NO_TARGET_RETRY_AFTER_S,
            )
        return errors.RequestError(
            errors.Code.SHED,
            "all targets asked turned the request away",
            _SHED_RETRY_AFTER_S,
        )

    def _reply(self, answer: attempts.Answered) -> http_server.Reply:
        response = answer.response
        names = self._context.settings.headers
        headers = headers_lib.forwarded(
            response.headers, frozenset({names.request_id.lower(), "date"})
        )
        headers[names.request_id] = self._request.request_id
        return http_server.Reply(response.status, headers, response.body)
