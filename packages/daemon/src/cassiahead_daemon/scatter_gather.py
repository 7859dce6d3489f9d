"""One search under way: asks replicas and gathers one snapshot."""

from __future__ import annotations

import asyncio
import collections
import statistics
from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import errors
from cassiahead_daemon import node as node_lib
from cassiahead_daemon import relay_client as scatter_lib
from cassiahead_daemon import request_context as context_lib
from cassiahead_daemon import search_state as knowledge_lib
from cassiahead_decisions import replicas as replicas_lib
from cassiahead_decisions import retries
from cassiahead_decisions import snapshot as snapshot_lib
from cassiahead_protocol import api
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_decisions import concurrency_limit

__all__ = ["Query"]

_MERGE_MARGIN_S = 0.004
_RETRY_PAUSE_S = 0.03


@attrs.define
class _Shard:
    """Progress of one shard within a query."""

    name: str
    tried: list[str] = attrs.field(factory=list)
    outstanding: set[str] = attrs.field(factory=set)
    asked_at: float = 0.0
    hedge_at: float = float("inf")
    retry_at: float = float("inf")


@attrs.define
class Query:
    """One search under way."""

    _node: node_lib.Node
    _scatterer: scatter_lib.Scatterer
    _knowledge: knowledge_lib.Knowledge
    _context: context_lib.RequestContext
    _shards: dict[str, _Shard]
    _collector: snapshot_lib.AnswerCollector
    _version: int | None
    _answers: asyncio.Queue[api.SubAnswer] = attrs.field(factory=asyncio.Queue)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _work: list[float] = attrs.field(factory=list)
    _waiting: list[float] = attrs.field(factory=list)

    @classmethod
    def from_context(
        cls,
        context: context_lib.RequestContext,
        shards: tuple[str, ...],
        node: node_lib.Node,
        scatterer: scatter_lib.Scatterer,
        knowledge: knowledge_lib.Knowledge,
    ) -> Query:
        """Pins a query to a layout, and to a version if one is known."""
        usable = [
            replicas_lib.usable_replicas(
                context.configuration, context.layout, shard
            )
            for shard in shards
        ]
        return cls(
            node,
            scatterer,
            knowledge,
            context,
            {shard: _Shard(shard) for shard in shards},
            snapshot_lib.AnswerCollector(
                context.layout.generation, frozenset(shards)
            ),
            knowledge.versions.newest_common_version(usable),
        )

    async def run(self) -> None:
        """Asks until the snapshot is complete or time is up."""
        self._knowledge.budget(self._context).record_first_attempts(
            len(self._shards)
        )
        self._ask([(s, "first") for s in self._shards.values()])
        deadline = self._context.deadline - _MERGE_MARGIN_S
        while not self._finished():
            now = clock.monotonic()
            if now >= deadline:
                return
            wake_at = min(deadline, self._next_timer(), self._soft_deadline())
            await self._take_answers(max(0.0, wake_at - now))
            self._fire_timers()

    def result(self) -> snapshot_lib.Snapshot:
        """Returns the best snapshot.

        Raises:
            errors.RequestError: If its coverage is below the route's.
        """
        best = self._collector.best_snapshot()
        telemetry = self._node.telemetry
        telemetry.require(
            best.payloads.keys() <= self._shards.keys()
            and best.shard_count == len(self._shards),
            "coverage",
            f"{len(best.payloads)} shards of {best.shard_count}",
        )
        if self._collector.discarded_count:
            telemetry.metrics.discarded.add(self._collector.discarded_count)
        if best.coverage < self._context.route.min_coverage:
            raise errors.RequestError(
                errors.Code.COVERAGE_TOO_LOW,
                api.Outcome.UNKNOWN,
                f"{len(best.payloads)} of {best.shard_count} shards answered",
            )
        return best

    def close(self) -> None:
        """Cancels what is still under way; relays cancel at the targets."""
        now = clock.monotonic()
        for task in self._tasks:
            task.cancel()
        for shard in self._shards.values():
            for target in shard.outstanding:
                if self._collector.has_answer(shard.name):
                    self._knowledge.chooser.record_inconclusive(target, now)
                else:
                    self._knowledge.chooser.record_failure(target, now)

    def teach(self, limit: concurrency_limit.ConcurrencyLimit) -> None:
        """Tells the limit how long targets worked and requests waited."""
        if not self._waiting:
            return
        work = statistics.fmean(self._work) if self._work else None
        limit.observe(work, statistics.fmean(self._waiting), clock.monotonic())

    def _finished(self) -> bool:
        if self._collector.is_complete():
            return True
        if clock.monotonic() >= self._soft_deadline():
            best = self._collector.best_snapshot()
            if best.coverage >= self._context.route.min_coverage:
                return True
        return not any(
            shard.outstanding or shard.retry_at < float("inf")
            for shard in self._shards.values()
        )

    def _soft_deadline(self) -> float:
        soft = self._context.route.soft_deadline_ms
        if soft is None:
            return float("inf")
        at = self._context.started + soft / 1000
        coverage = self._collector.best_snapshot().coverage
        reached = coverage >= self._context.route.min_coverage
        return at if reached or clock.monotonic() < at else float("inf")

    def _next_timer(self) -> float:
        return min(
            min(shard.hedge_at, shard.retry_at)
            for shard in self._shards.values()
        )

    async def _take_answers(self, timeout: float) -> None:
        try:
            answer = await asyncio.wait_for(self._answers.get(), timeout)
        except TimeoutError:
            return
        self._take(answer)
        while not self._answers.empty():
            self._take(self._answers.get_nowait())

    def _take(self, answer: api.SubAnswer) -> None:
        shard = self._shards[answer.shard]
        shard.outstanding.discard(answer.target)
        self._knowledge.versions.record_versions(
            answer.target, answer.versions, clock.monotonic()
        )
        if answer.status is api.SubStatus.OK:
            self._take_good(shard, answer)
        else:
            self._take_failure(shard, answer)

    def _take_good(self, shard: _Shard, answer: api.SubAnswer) -> None:
        now = clock.monotonic()
        total = answer.latency + answer.queued
        self._work.append(answer.latency)
        self._waiting.append(answer.queued)
        self._node.peering.poison.record_success(self._context.fingerprint)
        if not self._collector.add(answer):
            self._knowledge.chooser.record_failure(answer.target, now)
            self._log_discarded(answer)
            self._schedule_retry(shard, answer)
            return
        self._knowledge.chooser.record_answer(answer.target, total, now)
        window = self._knowledge.latency(self._context.route_name, shard.name)
        window.record(total)
        shard.hedge_at = float("inf")
        shard.retry_at = float("inf")
        if not self._collector.is_complete():
            self._ask_again_at_best_version()

    def _take_failure(self, shard: _Shard, answer: api.SubAnswer) -> None:
        now = clock.monotonic()
        if answer.status in (api.SubStatus.NOT_OWNER, api.SubStatus.NO_SLOT):
            self._knowledge.chooser.record_inconclusive(answer.target, now)
        else:
            self._knowledge.chooser.record_failure(answer.target, now)
        if answer.outcome is api.Outcome.NOT_RUN and answer.queued:
            self._waiting.append(answer.queued)
        if answer.status is api.SubStatus.CRASHED:
            self._node.peering.poison.record_crash(
                self._context.fingerprint, now
            )
        if answer.status is api.SubStatus.VERSION_MISMATCH:
            self._version = self._pick_version()
        if not shard.outstanding and not self._collector.has_answer(shard.name):
            self._schedule_retry(shard, answer)

    def _schedule_retry(self, shard: _Shard, answer: api.SubAnswer) -> None:
        """Plans another attempt, unless the failure says not to."""
        now = clock.monotonic()
        untried = self._untried(shard)
        chooser = self._knowledge.chooser
        verdict = retries.decide_retry(
            answer,
            len(shard.tried),
            has_healthy_replica=any(
                not chooser.is_ejected(t, now) for t in untried
            ),
        )
        if verdict is retries.RetryDecision.NEVER:
            return
        poison = self._node.peering.poison
        if poison.is_poisoned(self._context.fingerprint, now):
            return
        budget = self._knowledge.budget(self._context)
        if verdict is retries.RetryDecision.CHARGED and not budget.try_spend():
            return
        shard.retry_at = now + (0.0 if untried else _RETRY_PAUSE_S)

    def _fire_timers(self) -> None:
        now = clock.monotonic()
        due: list[tuple[_Shard, str]] = []
        for shard in self._shards.values():
            if shard.retry_at <= now:
                shard.retry_at = float("inf")
                due.append((shard, "retry"))
            elif shard.hedge_at <= now and self._may_hedge(shard, now):
                due.append((shard, "hedge"))
        if due:
            self._ask(due)

    def _may_hedge(self, shard: _Shard, now: float) -> bool:
        """Decides on a hedge; puts it off if only the reserve is left."""
        window = self._knowledge.latency(self._context.route_name, shard.name)
        overdue_at = shard.asked_at + window.overdue_delay_s
        overdue = now >= overdue_at
        shard.hedge_at = float("inf") if overdue else overdue_at
        if (
            not self._untried(shard)
            or len(shard.tried) >= retries.MAX_ATTEMPTS_PER_SHARD
        ):
            return False
        poison = self._node.peering.poison
        if poison.crash_count(self._context.fingerprint, now):
            return False
        return self._knowledge.budget(self._context).try_spend(
            is_required=overdue
        )

    def _ask_again_at_best_version(self) -> None:
        """Asks shards again whose answers are of another version."""
        if not all(self._collector.has_answer(s) for s in self._shards):
            return
        self._version = self._pick_version()
        if self._version is None:
            return
        behind = [
            self._shards[name]
            for name in self._collector.unanswered_shards(self._version)
            if not self._shards[name].outstanding
            and len(self._shards[name].tried) < retries.MAX_ATTEMPTS_PER_SHARD
        ]
        self._ask([(shard, "retry") for shard in behind])

    def _pick_version(self) -> int | None:
        """Returns the version with most coverage in hand and in reach."""
        context = self._context
        usable = [
            replicas_lib.usable_replicas(
                context.configuration, context.layout, shard
            )
            for shard in self._shards
        ]
        common = self._knowledge.versions.newest_common_version(usable)
        return common or self._collector.best_snapshot().version or None

    def _untried(self, shard: _Shard) -> list[str]:
        return [t for t in self._candidates(shard) if t not in shard.tried]

    def _candidates(self, shard: _Shard) -> list[str]:
        usable = self._usable(shard)
        holding = [
            target
            for target in usable
            if self._knowledge.versions.may_hold(
                target, self._version, clock.monotonic()
            )
        ]
        return holding or usable

    def _usable(self, shard: _Shard) -> list[str]:
        return replicas_lib.usable_replicas(
            self._context.configuration, self._context.layout, shard.name
        )

    def _ask(self, shards: list[tuple[_Shard, str]]) -> None:
        by_relay: dict[str, list[api.SubRequest]] = collections.defaultdict(
            list
        )
        kinds: dict[str, str] = {}
        for shard, kind in shards:
            placed = self._place(shard)
            if placed is None:
                continue
            target, relay = placed
            by_relay[relay].append(api.SubRequest(shard.name, target))
            kinds[shard.name] = kind
        for relay, items in by_relay.items():
            self._send(relay, tuple(items), kinds)

    def _place(self, shard: _Shard) -> tuple[str, str] | None:
        """Chooses a replica and finds its relay; None if there is none."""
        now = clock.monotonic()
        pool = self._untried(shard) or self._candidates(shard)
        if set(pool) <= set(shard.tried):
            pool = self._usable(shard)
        window = self._knowledge.latency(self._context.route_name, shard.name)
        reachable = self._scatterer.reachable(pool, window.overdue_delay_s)
        target = self._knowledge.chooser.choose(
            reachable, self._context.configuration, now
        )
        if target is None:
            return None
        shard.tried.append(target)
        shard.outstanding.add(target)
        shard.asked_at = now
        shard.hedge_at = now + window.hedge_delay_s
        self._knowledge.chooser.record_sent(target, now)
        return target, reachable[target]

    def _send(
        self,
        relay: str,
        items: tuple[api.SubRequest, ...],
        kinds: dict[str, str],
    ) -> None:
        for kind, event in (
            ("first", events.Event.ROUTED),
            ("hedge", events.Event.HEDGED),
            ("retry", events.Event.RETRIED),
        ):
            chosen = {
                i.shard: i.target for i in items if kinds[i.shard] == kind
            }
            if chosen:
                self._node.telemetry.metrics.sub_requests.add(
                    len(chosen), {"kind": kind}
                )
                self._node.telemetry.decide(
                    event,
                    self._context.request_id,
                    relay=relay,
                    version=self._version,
                    targets=chosen,
                )
        request = self._context.scatter_request(
            self._node.process,
            items,
            self._version,
            self._context.remaining() - _MERGE_MARGIN_S,
        )
        task = asyncio.ensure_future(
            self._scatterer.send(relay, request, self._answers)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log_discarded(self, answer: api.SubAnswer) -> None:
        self._node.telemetry.decide(
            events.Event.ANSWER_DISCARDED,
            self._context.request_id,
            target=answer.target,
            shard=answer.shard,
            generation=answer.generation,
            version=answer.version,
        )
