"""Chooses the replica of a shard that a query asks."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

from cassiahead_notes import capacity

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from cassiahead_notes import api

__all__ = [
    "Policy",
    "ReplicaChooser",
    "ReplicaView",
    "TwoChoices",
    "WeightedRandom",
    "usable_replicas",
]

_SMOOTHING = 0.2
_UNKNOWN_LATENCY_S = 0.005
_OTHER_DOMAIN_S = 0.003
_EJECTION_FIRST_S = 1.0
_EJECTION_MAX_S = 20.0
_EJECTED_COST_S = 1.0
# Time between two requests to a target that failed and has not answered since:
# a request and the wait for its late answer.
_PROBE_S = 0.5
_LEAST_COST_S = 0.001
_PANIC_FRACTION = 0.5
_ESTIMATE_HALF_LIFE_S = 2.0
# Part of the good answers that is forgotten with each outcome, and the time in
# which a target that is not asked is trusted half as much again.
_FAULT_SMOOTHING = 0.2
_TRUST_HALF_LIFE_S = 3.0
_LEAST_TRUST = 0.05
_FULL_TRUST = 1.0


def usable_replicas(
    configuration: api.Configuration, layout: api.Layout, shard: str
) -> list[str]:
    """Returns the targets of a shard that may get new work."""
    return [
        t for t in layout.shards[shard] if capacity.is_usable(configuration, t)
    ]


@attrs.frozen
class TwoChoices:
    """Takes the better of two replicas drawn at random."""


@attrs.frozen
class WeightedRandom:
    """Draws a replica with a probability that falls with its cost.

    With few replicas two draws may both be bad ones. This spreads the load of
    hosts that see the same, instead of all choosing the best one.

    Attributes:
        cost_exponent: How steeply the probability falls with the cost.
        cross_domain_penalty_s: What a replica of another failure domain costs
            more, in seconds of latency: its way is longer, and paid for.
        fault_penalty_s: What an attempt that comes to nothing costs, in seconds
            of
            latency: another one, and the budget for it.
    """

    cost_exponent: float
    cross_domain_penalty_s: float = _OTHER_DOMAIN_S
    fault_penalty_s: float = 0.0


Policy = TwoChoices | WeightedRandom


@attrs.frozen
class ReplicaView:
    """What an entry believes of one target.

    Attributes:
        latency: Latency expected, in seconds; fades while it is not asked.
        outstanding: Requests sent and not yet answered.
        failures: Failures in a row.
        avoided_for: Seconds for which it still gets no work.
    """

    latency: float
    outstanding: int
    failures: int
    avoided_for: float


@attrs.define
class _Seen:
    estimated_at: float
    latency: float = _UNKNOWN_LATENCY_S
    outstanding: int = 0
    failures: int = 0
    ejected_until: float = 0.0
    answered_at: float = -math.inf
    distrust: float = 0.0
    judged_at: float = 0.0

    def trust(self, now: float) -> float:
        """Returns the part of requests expected to be answered well."""
        age = max(0.0, now - self.judged_at)
        distrust = self.distrust * math.exp2(-age / _TRUST_HALF_LIFE_S)
        return max(_LEAST_TRUST, _FULL_TRUST - distrust)

    def judge(self, good: bool, now: float) -> None:
        """Takes one outcome into the trust."""
        outcome = _FULL_TRUST if good else 0.0
        trust = self.trust(now)
        self.distrust = _FULL_TRUST - (
            trust + _FAULT_SMOOTHING * (outcome - trust)
        )
        self.judged_at = now

    def estimate(self, now: float) -> float:
        """Returns the latency expected, which fades until it is seen anew.

        A replica that was slow once would else never be asked again, as the
        others stay below its last estimate.
        """
        age = max(0.0, now - self.estimated_at)
        return self.latency * math.exp2(-age / _ESTIMATE_HALF_LIFE_S)

    def observe(self, latency: float, now: float) -> None:
        """Takes one latency into the estimate."""
        expected = self.estimate(now)
        self.latency = expected + _SMOOTHING * (latency - expected)
        self.estimated_at = now

    def ejected(self, now: float) -> bool:
        """Returns whether the target is avoided after failures in a row."""
        return now < self.ejected_until


@attrs.define
class ReplicaChooser:
    """Ranks replicas by observed latency, work outstanding and failures.

    When most replicas of a fleet look bad the observer itself is suspect, and
    penalties are left out of account.
    """

    failure_domain: str
    _rng: random.Random
    _longest_ejection_s: float = _EJECTION_MAX_S
    _policy: Policy = attrs.field(factory=TwoChoices)
    _seen: dict[str, _Seen] = attrs.field(factory=dict)
    _ejected: dict[str, _Seen] = attrs.field(factory=dict)

    def choose(
        self,
        targets: Collection[str],
        configuration: api.Configuration,
        now: float,
    ) -> str | None:
        """Returns the better of two replicas drawn at random.

        Args:
            targets: The replicas to choose from.
            configuration: What is in force.
            now: Time on this process's clock.
        """
        domains = {t: configuration.targets[t].failure_domain for t in targets}
        return self.choose_among(domains, now)

    def choose_among(
        self, domains: Mapping[str, str], now: float
    ) -> str | None:
        """Returns the replica that is asked, by the policy.

        Args:
            domains: Failure domain of each replica to choose from.
            now: Time on this process's clock.
        """
        pool = sorted(domains)
        if not pool:
            return None
        panic = self._panics(now)
        if not panic:
            kept = [t for t in pool if not self._entry(t, now).ejected(now)]
            pool = kept or pool
        costs = self._costs(pool, domains, panic, now)
        match self._policy:
            case TwoChoices():
                drawn = self._rng.sample(pool, min(2, len(pool)))
                return min(sorted(drawn), key=lambda t: costs[t])
            case WeightedRandom(power):
                weights = [costs[t] ** -power for t in pool]
                return self._rng.choices(pool, weights)[0]

    def in_panic_mode(self, now: float) -> bool:
        """Returns whether so many targets look bad that the observer may be."""
        return self._panics(now)

    def is_ejected(self, target: str, now: float) -> bool:
        """Returns whether a target gets no work while others are left."""
        return self._entry(target, now).ejected(now)

    def views(self, now: float) -> dict[str, ReplicaView]:
        """Returns what is believed of each target ever asked."""
        return {
            target: ReplicaView(
                latency=seen.estimate(now),
                outstanding=seen.outstanding,
                failures=seen.failures,
                avoided_for=max(0.0, seen.ejected_until - now),
            )
            for target, seen in sorted(self._seen.items())
        }

    def record_sent(self, target: str, now: float) -> None:
        """Notes a request sent to a target.

        One that failed and has not answered since gets one request at a time,
        so that a dead target holds up few of those that could do without it.
        """
        seen = self._entry(target, now)
        seen.outstanding += 1
        if seen.failures:
            seen.ejected_until = max(seen.ejected_until, now + _PROBE_S)
            self._ejected[target] = seen

    def record_answer(self, target: str, latency_s: float, now: float) -> None:
        """Notes a good answer and its latency in seconds."""
        seen = self._entry(target, now)
        seen.outstanding = max(0, seen.outstanding - 1)
        seen.observe(latency_s, now)
        seen.judge(True, now)
        seen.answered_at = now
        seen.failures = 0
        seen.ejected_until = 0.0

    def record_failure(self, target: str, now: float) -> None:
        """Notes a failure or an answer that did not come in time.

        The target is avoided for a while that doubles with each failure in a
        row, so that a bad one costs few extra attempts.
        """
        seen = self._entry(target, now)
        seen.outstanding = max(0, seen.outstanding - 1)
        pause = _EJECTION_FIRST_S * 2**seen.failures
        seen.failures = min(seen.failures + 1, 10)
        seen.ejected_until = now + min(pause, self._longest_ejection_s)
        self._ejected[target] = seen

    def record_bad_answer(self, target: str, now: float) -> None:
        """Notes an answer that was refused, lost or wrong.

        The target lives, so it is not avoided, but asked the less the more of
        its requests end so.
        """
        seen = self._entry(target, now)
        seen.outstanding = max(0, seen.outstanding - 1)
        seen.judge(False, now)
        seen.answered_at = now

    def record_silence(self, target: str, sent_at: float, now: float) -> None:
        """Notes that nothing came of a request that had long been given up.

        If another request was answered meanwhile, only its connection is
        silent.

        Args:
            target: The target.
            sent_at: When the request was sent.
            now: Time on this process's clock.
        """
        seen = self._entry(target, now)
        if seen.answered_at < sent_at:
            seen.outstanding += 1
            self.record_failure(target, now)

    def record_timeout(self, target: str, elapsed_s: float, now: float) -> None:
        """Notes a request that was cancelled without an answer so far.

        Its latency would have been longer than the time that it had.
        """
        seen = self._entry(target, now)
        seen.outstanding = max(0, seen.outstanding - 1)
        self.record_late_answer(target, elapsed_s, now)

    def record_late_answer(
        self, target: str, latency_s: float, now: float
    ) -> None:
        """Notes the latency of an answer that nobody waited for any more.

        Args:
            target: The target.
            latency_s: Seconds until it came, or at least until it was given up.
            now: Time on this process's clock.
        """
        seen = self._entry(target, now)
        if latency_s > seen.estimate(now):
            seen.observe(latency_s, now)

    def forget_target(self, target: str) -> None:
        """Drops what is held of a target that is gone."""
        self._seen.pop(target, None)
        self._ejected.pop(target, None)

    def record_inconclusive(self, target: str, now: float) -> None:
        """Notes a request that was cancelled, without blame."""
        seen = self._entry(target, now)
        seen.outstanding = max(0, seen.outstanding - 1)

    def _entry(self, target: str, now: float) -> _Seen:
        seen = self._seen.get(target)
        if seen is None:
            seen = self._seen[target] = _Seen(now)
        return seen

    def _panics(self, now: float) -> bool:
        for target, seen in list(self._ejected.items()):
            if not seen.ejected(now):
                del self._ejected[target]
        bad = len(self._ejected)
        return bad > max(1, _PANIC_FRACTION * len(self._seen))

    def _costs(
        self,
        pool: list[str],
        domains: Mapping[str, str],
        panic: bool,
        now: float,
    ) -> dict[str, float]:
        fault_s = 0.0
        match self._policy:
            case WeightedRandom(
                cross_domain_penalty_s=other_domain_s, fault_penalty_s=fault_s
            ):
                pass
            case TwoChoices():
                other_domain_s = _OTHER_DOMAIN_S
        best = min(self._entry(t, now).latency for t in pool)
        costs = {}
        for target in pool:
            seen = self._entry(target, now)
            cost = self._expected(target, best, now) * (1 + seen.outstanding)
            cost += fault_s * (_FULL_TRUST - seen.trust(now))
            if domains[target] != self.failure_domain:
                cost += other_domain_s
            if not panic and seen.ejected(now):
                cost += _EJECTED_COST_S
            costs[target] = cost
        return costs

    def _expected(self, target: str, best: float, now: float) -> float:
        """Returns the seconds expected until a target's good answer.

        An estimate that was not renewed fades, but not below that of the
        best replica: a target that answers nothing must not look fast.
        """
        seen = self._entry(target, now)
        estimate = max(_LEAST_COST_S, best, seen.estimate(now))
        return estimate / seen.trust(now) ** 2
