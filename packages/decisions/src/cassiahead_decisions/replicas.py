"""Client-side load balancing over the replicas of a shard.

The replicas of a shard differ in latency and may fail, shed load or stop
answering. A process sees this only in the results of its own requests, and
chooses the replica for the next request accordingly.
"""

from __future__ import annotations

import random
import types
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import replica_policies
from cassiahead_decisions import target_stats
from cassiahead_notes import capacity

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from cassiahead_notes import api as notes

__all__ = [
    "Policy",
    "ReplicaChooser",
    "ReplicaView",
    "TwoChoices",
    "WeightedRandom",
    "usable_replicas",
]

_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 20.0
# Added to the cost of an ejected replica, in seconds of latency.
_EJECTED_PENALTY_S = 1.0
# Weight of an answer in the moving average of the latencies of all targets.
_USUAL_LATENCY_SMOOTHING = 0.05
# Shortest time between two requests to a target that has not answered since it
# failed: long enough for a request and its late answer.
_PROBE_INTERVAL_S = 0.5
# Lower bound of the latency that a cost is computed from.
_MIN_LATENCY_S = 0.001
# Panic mode begins when more than one target and more than this fraction of the
# targets are ejected.
_PANIC_FRACTION = 0.5


_NO_FACTORS: Mapping[str, float] = types.MappingProxyType({})


def usable_replicas(
    configuration: notes.Configuration, layout: notes.Layout, shard: str
) -> list[str]:
    """Returns the targets of a shard that may get new work."""
    return [
        t for t in layout.shards[shard] if capacity.is_usable(configuration, t)
    ]


TwoChoices = replica_policies.TwoChoices
WeightedRandom = replica_policies.WeightedRandom
Policy = replica_policies.Policy
ReplicaView = target_stats.ReplicaView


@attrs.frozen
class _Candidate:
    """A target to choose from.

    Attributes:
        target: The target.
        is_in_other_domain: Whether its failure domain is not this process's.
        stats: Results of the requests to it.
    """

    target: str
    is_in_other_domain: bool
    stats: target_stats.TargetStats


@attrs.define
class ReplicaChooser:
    """Chooses replicas by latency, outstanding requests and failures.

    A target is ejected (avoided for a time) after a failure. When most targets
    are ejected, this process itself is more likely to be at fault: in this
    panic mode ejections are ignored.

    All times are seconds on this process's monotonic clock.

    Attributes:
        failure_domain: Failure domain of this process's host.
    """

    failure_domain: str
    _rng: random.Random
    _max_ejection_s: float = _MAX_EJECTION_S
    _policy: Policy = attrs.field(factory=TwoChoices)
    # Moving average over the answers of all targets.
    _usual_latency_s: float = target_stats.INITIAL_LATENCY_S
    _stats_by_target: dict[str, target_stats.TargetStats] = attrs.field(
        factory=dict
    )
    _ejected_stats_by_target: dict[str, target_stats.TargetStats] = attrs.field(
        factory=dict
    )

    def choose(
        self,
        targets: Collection[str],
        configuration: notes.Configuration,
        now: float,
    ) -> str | None:
        """Returns the replica to send a request to, according to the policy.

        Args:
            targets: The replicas to choose from.
            configuration: Configuration with the targets' failure domains.
            now: Current time.

        Returns:
            The replica, or None if there are none to choose from.
        """
        domain_by_target = {
            t: configuration.targets[t].failure_domain for t in targets
        }
        return self.choose_among(domain_by_target, now)

    def choose_among(
        self,
        domain_by_target: Mapping[str, str],
        now: float,
        cost_factor_by_target: Mapping[str, float] = _NO_FACTORS,
        share_by_target: Mapping[str, float] = _NO_FACTORS,
    ) -> str | None:
        """Returns the replica to send a request to, according to the policy.

        Args:
            domain_by_target: Failure domain of each replica to choose from.
            now: Current time.
            cost_factor_by_target: Factors of the costs of replicas, for reasons
                that their own results do not show; 1 by default.
            share_by_target: Shares of their usual load that replicas should
                get instead of what their own results permit; 1 by default.

        Returns:
            The replica, or None if there are none to choose from.
        """
        names = sorted(domain_by_target)
        if not names:
            return None
        in_panic_mode = self.is_in_panic_mode(now)
        candidates = [self._candidate(t, domain_by_target, now) for t in names]
        if not in_panic_mode:
            not_ejected = [c for c in candidates if not c.stats.is_ejected(now)]
            candidates = not_ejected or candidates
        costs_s = [
            cost_s * cost_factor_by_target.get(candidate.target, 1.0)
            for candidate, cost_s in zip(
                candidates,
                self._costs_s(candidates, in_panic_mode, now),
                strict=True,
            )
        ]
        if share_by_target:
            costs_s = self._paced_costs_s(candidates, costs_s, share_by_target)
        match self._policy:
            case TwoChoices():
                drawn = self._rng.sample(
                    range(len(candidates)), min(2, len(candidates))
                )
                index = min(sorted(drawn), key=lambda i: costs_s[i])
            case WeightedRandom(cost_exponent):
                weights = [cost_s**-cost_exponent for cost_s in costs_s]
                index = replica_policies.draw_index(weights, self._rng)
        return candidates[index].target

    def is_in_panic_mode(self, now: float) -> bool:
        """Returns whether too many targets are ejected to trust ejections."""
        for target, stats in list(self._ejected_stats_by_target.items()):
            if not stats.is_ejected(now):
                del self._ejected_stats_by_target[target]
        ejected_count = len(self._ejected_stats_by_target)
        return ejected_count > max(
            1, _PANIC_FRACTION * len(self._stats_by_target)
        )

    def is_ejected(self, target: str, now: float) -> bool:
        """Returns whether a target is ejected.

        An ejected target gets requests only if all candidates are ejected, or
        in panic mode.
        """
        return self._stats(target, now).is_ejected(now)

    def ejection_ends_at(self, target: str, now: float) -> float:
        """Returns when the ejection of a target ends; may be in the past."""
        return self._stats(target, now).ejection_ends_at

    def views(self, now: float) -> dict[str, ReplicaView]:
        """Returns the state of each target that this process has considered."""
        return {
            target: stats.view(now)
            for target, stats in sorted(self._stats_by_target.items())
        }

    def record_sent(self, target: str, now: float) -> None:
        """Records a request sent to a target.

        A target that failed and has not answered since is ejected for the
        probe interval: it gets one request at a time, so that a dead target
        delays few of the searches that could be answered without it.
        """
        stats = self._stats(target, now)
        stats.outstanding_count += 1
        if stats.consecutive_failure_count:
            stats.ejection_ends_at = max(
                stats.ejection_ends_at, now + _PROBE_INTERVAL_S
            )
            self._ejected_stats_by_target[target] = stats

    def record_answer(self, target: str, latency_s: float, now: float) -> None:
        """Records a good answer, which ends the target's ejection."""
        stats = self._stats(target, now)
        stats.outstanding_count = max(0, stats.outstanding_count - 1)
        if not stats.has_latency:
            stats.latency_s = self._usual_latency_s
            stats.latency_updated_at = now
        stats.record_latency(latency_s, now)
        self._usual_latency_s += _USUAL_LATENCY_SMOOTHING * (
            latency_s - self._usual_latency_s
        )
        stats.record_result(True, now)
        stats.last_answered_at = now
        stats.consecutive_failure_count = 0
        stats.ejection_ends_at = 0.0

    def record_failure(self, target: str, now: float) -> None:
        """Records a failure.

        The caller decides whether a missed deadline counts as a failure.
        The target is ejected for a time that doubles with each consecutive
        failure, so that a bad target costs few extra attempts.
        """
        stats = self._stats(target, now)
        stats.outstanding_count = max(0, stats.outstanding_count - 1)
        ejection_s = _FIRST_EJECTION_S * 2**stats.consecutive_failure_count
        stats.consecutive_failure_count = min(
            stats.consecutive_failure_count + 1, 10
        )
        stats.ejection_ends_at = now + min(ejection_s, self._max_ejection_s)
        self._ejected_stats_by_target[target] = stats

    def record_bad_answer(self, target: str, now: float) -> None:
        """Records a refusal, or an answer that is invalid, an error or lost.

        An answer is lost when its connection closes. The target is alive and
        therefore not ejected, but is chosen less often as its ratio of bad
        answers rises.
        """
        stats = self._stats(target, now)
        stats.outstanding_count = max(0, stats.outstanding_count - 1)
        stats.record_result(False, now)
        stats.last_answered_at = now

    def record_silence(self, target: str, sent_at: float, now: float) -> None:
        """Records that an abandoned request was never answered.

        Counts as a failure of the target, unless the target has answered
        another request since this one was sent: then only the connection
        failed.

        Args:
            target: The target.
            sent_at: Time when the request was sent.
            now: Current time.
        """
        stats = self._stats(target, now)
        if stats.last_answered_at < sent_at:
            # The abandoned request is not counted as outstanding any more:
            # offsets the decrement in ``record_failure``.
            stats.outstanding_count += 1
            self.record_failure(target, now)

    def record_timeout(self, target: str, elapsed_s: float, now: float) -> None:
        """Records a missing answer that does not count as a failure.

        The request has timed out, or was cancelled before its connection was
        open.

        Args:
            target: The target.
            elapsed_s: Seconds since the request was sent, a lower bound of its
                latency.
            now: Current time.
        """
        stats = self._stats(target, now)
        stats.outstanding_count = max(0, stats.outstanding_count - 1)
        self.record_late_answer(target, elapsed_s, now)

    def record_late_answer(
        self, target: str, latency_s: float, now: float
    ) -> None:
        """Records the latency of an answer to an abandoned request.

        A latency below the expected one is ignored.

        Args:
            target: The target.
            latency_s: Seconds until the answer came, or a lower bound.
            now: Current time.
        """
        stats = self._stats(target, now)
        if latency_s > stats.expected_latency_s(now):
            stats.record_latency(latency_s, now)

    def forget_target(self, target: str) -> None:
        """Drops the state of a target that no longer exists."""
        self._stats_by_target.pop(target, None)
        self._ejected_stats_by_target.pop(target, None)

    def record_inconclusive(self, target: str, now: float) -> None:
        """Records the end of a request without evidence about the target."""
        stats = self._stats(target, now)
        stats.outstanding_count = max(0, stats.outstanding_count - 1)

    def _stats(self, target: str, now: float) -> target_stats.TargetStats:
        stats = self._stats_by_target.get(target)
        if stats is None:
            stats = self._stats_by_target[target] = target_stats.TargetStats(
                now
            )
        return stats

    def _candidate(
        self, target: str, domain_by_target: Mapping[str, str], now: float
    ) -> _Candidate:
        return _Candidate(
            target,
            domain_by_target[target] != self.failure_domain,
            self._stats(target, now),
        )

    def _paced_costs_s(
        self,
        candidates: list[_Candidate],
        costs_s: list[float],
        share_by_target: Mapping[str, float],
    ) -> list[float]:
        penalty_s, _ = replica_policies.penalties_s(self._policy)
        return replica_policies.paced_costs_s(
            costs_s,
            [penalty_s * c.is_in_other_domain for c in candidates],
            [share_by_target.get(c.target, 1.0) for c in candidates],
            self._policy,
        )

    def _costs_s(
        self, candidates: list[_Candidate], in_panic_mode: bool, now: float
    ) -> list[float]:
        """Returns the cost of each candidate in seconds of latency."""
        cross_domain_penalty_s, bad_answer_penalty_s = (
            replica_policies.penalties_s(self._policy)
        )
        # The expected latency decays without new latencies, but not below the
        # lowest latency of the candidates: a target that answers nothing must
        # not appear fast.
        min_latency_s = min(
            c.stats.latency_s if c.stats.has_latency else self._usual_latency_s
            for c in candidates
        )
        min_latency_s = max(_MIN_LATENCY_S, min_latency_s)
        costs_s = []
        for candidate in candidates:
            stats = candidate.stats
            success_ratio = stats.success_ratio(now)
            # A target that has not answered yet is taken for a usual one.
            latency_s = (
                max(min_latency_s, stats.expected_latency_s(now))
                if stats.has_latency
                else self._usual_latency_s
            )
            cost_s = latency_s / success_ratio**2
            cost_s *= 1 + stats.outstanding_count
            cost_s += bad_answer_penalty_s * (
                target_stats.MAX_SUCCESS_RATIO - success_ratio
            )
            if candidate.is_in_other_domain:
                cost_s += cross_domain_penalty_s
            if not in_panic_mode and stats.is_ejected(now):
                cost_s += _EJECTED_PENALTY_S
            costs_s.append(cost_s)
        return costs_s
