"""Client-side load balancing over the replicas of a shard.

The replicas of a shard differ in latency and may fail, shed load or stop
answering. A process sees this only in the results of its own requests, and
chooses the replica for the next request accordingly.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

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

# Weight of a new latency in the moving average of latencies.
_LATENCY_SMOOTHING_FRACTION = 0.2
# Latency assumed of a target that has not answered yet.
_INITIAL_LATENCY_S = 0.005
_CROSS_DOMAIN_PENALTY_S = 0.003
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 20.0
# Added to the cost of an ejected replica, in seconds of latency.
_EJECTED_PENALTY_S = 1.0
# Shortest time between two requests to a target that has not answered since it
# failed: long enough for a request and its late answer.
_PROBE_INTERVAL_S = 0.5
# Lower bound of the latency that a cost is computed from.
_MIN_LATENCY_S = 0.001
# Panic mode begins when more than one target and more than this fraction of the
# targets are ejected.
_PANIC_FRACTION = 0.5
# Half-life of a target's expected latency while no new latency is recorded.
_LATENCY_HALF_LIFE_S = 2.0
# Weight of a new answer, good or bad, in the moving average of the ratio of bad
# answers.
_BAD_ANSWER_SMOOTHING_FRACTION = 0.2
# Half-life of a target's ratio of bad answers while no new answer is recorded.
_BAD_ANSWER_HALF_LIFE_S = 3.0
# Lower bound of the success ratio, so that the cost, which is divided by the
# square of the ratio, stays bounded.
_MIN_SUCCESS_RATIO = 0.05
_MAX_SUCCESS_RATIO = 1.0


def usable_replicas(
    configuration: notes.Configuration, layout: notes.Layout, shard: str
) -> list[str]:
    """Returns the targets of a shard that may get new work."""
    return [
        t for t in layout.shards[shard] if capacity.is_usable(configuration, t)
    ]


@attrs.frozen
class TwoChoices:
    """Power of two choices: takes the cheaper of two replicas drawn at random.

    The cost of a replica, in seconds, is the expected time until a good answer,
    multiplied by one plus the number of outstanding requests, plus penalties.
    """


@attrs.frozen
class WeightedRandom:
    """Draws a replica with a probability that falls with the replica's cost.

    With few replicas, both of two random choices may be bad. Random weights
    also spread the load of hosts that see the same costs: they would otherwise
    all choose the cheapest replica. Costs are those of ``TwoChoices``.

    Attributes:
        cost_exponent: The probability is proportional to
            ``cost ** -cost_exponent``.
        cross_domain_penalty_s: Added to the cost of a replica in another
            failure domain, in seconds of latency: the network path is longer,
            and the traffic is billed.
        bad_answer_penalty_s: Cost of a bad answer, in seconds of latency:
            another attempt is needed and is charged to the extra-load budget. A
            replica's cost includes the penalty times the expected ratio of
            bad answers.
    """

    cost_exponent: float
    cross_domain_penalty_s: float = _CROSS_DOMAIN_PENALTY_S
    bad_answer_penalty_s: float = 0.0


Policy = TwoChoices | WeightedRandom


@attrs.frozen
class ReplicaView:
    """State of one target as seen by this process, for operators.

    Attributes:
        latency: Expected latency, in seconds; decays while no new latency is
            recorded.
        outstanding: Requests sent and not yet answered.
        failures: Failures since the last good answer, at most 10.
        avoided_for: Seconds until the target's ejection ends; 0 if it is not
            ejected.
    """

    latency: float
    outstanding: int
    failures: int
    avoided_for: float


@attrs.define
class _TargetStats:
    """Results of the requests to one target.

    Attributes:
        latency_updated_at: Time of the last update of ``latency_s``.
        latency_s: Moving average of the latencies, as of that time.
        outstanding_count: Requests sent and not yet answered.
        consecutive_failure_count: Failures since the last good answer, at
            most 10.
        ejection_ends_at: Time until which the target is ejected.
        last_answered_at: Time of the last answer, good or bad.
        bad_answer_ratio: Moving average of the ratio of bad answers to all
            answers, as of the last update. Failures are not counted: they eject
            the target.
        bad_answer_ratio_updated_at: Time of the last update of
            ``bad_answer_ratio``.
    """

    latency_updated_at: float
    latency_s: float = _INITIAL_LATENCY_S
    outstanding_count: int = 0
    consecutive_failure_count: int = 0
    ejection_ends_at: float = 0.0
    last_answered_at: float = -math.inf
    bad_answer_ratio: float = 0.0
    bad_answer_ratio_updated_at: float = 0.0

    def success_ratio(self, now: float) -> float:
        """Returns the expected fraction of good answers, above 0 and up to 1.

        The fraction rises while no answers are recorded.
        """
        elapsed_s = max(0.0, now - self.bad_answer_ratio_updated_at)
        bad_answer_ratio = self.bad_answer_ratio * math.exp2(
            -elapsed_s / _BAD_ANSWER_HALF_LIFE_S
        )
        return max(_MIN_SUCCESS_RATIO, _MAX_SUCCESS_RATIO - bad_answer_ratio)

    def record_result(self, is_good: bool, now: float) -> None:
        """Adds one good or bad answer to the ratio of bad answers."""
        result = _MAX_SUCCESS_RATIO if is_good else 0.0
        success_ratio = self.success_ratio(now)
        self.bad_answer_ratio = _MAX_SUCCESS_RATIO - (
            success_ratio
            + _BAD_ANSWER_SMOOTHING_FRACTION * (result - success_ratio)
        )
        self.bad_answer_ratio_updated_at = now

    def expected_latency_s(self, now: float) -> float:
        """Returns the expected latency, which decays without new latencies.

        Without the decay, a replica that was slow once would never be chosen
        again, because the other replicas stay below its last latency.
        """
        elapsed_s = max(0.0, now - self.latency_updated_at)
        return self.latency_s * math.exp2(-elapsed_s / _LATENCY_HALF_LIFE_S)

    def record_latency(self, latency_s: float, now: float) -> None:
        """Adds one latency to the moving average."""
        expected_s = self.expected_latency_s(now)
        self.latency_s = expected_s + _LATENCY_SMOOTHING_FRACTION * (
            latency_s - expected_s
        )
        self.latency_updated_at = now

    def is_ejected(self, now: float) -> bool:
        """Returns whether the target is avoided because of failures."""
        return now < self.ejection_ends_at


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
    _stats_by_target: dict[str, _TargetStats] = attrs.field(factory=dict)
    _ejected_stats_by_target: dict[str, _TargetStats] = attrs.field(
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
        self, domain_by_target: Mapping[str, str], now: float
    ) -> str | None:
        """Returns the replica to send a request to, according to the policy.

        Args:
            domain_by_target: Failure domain of each replica to choose from.
            now: Current time.

        Returns:
            The replica, or None if there are none to choose from.
        """
        candidates = sorted(domain_by_target)
        if not candidates:
            return None
        in_panic_mode = self._is_in_panic_mode(now)
        if not in_panic_mode:
            not_ejected = [
                t for t in candidates if not self._stats(t, now).is_ejected(now)
            ]
            candidates = not_ejected or candidates
        costs_s = self._costs_s(
            candidates, domain_by_target, in_panic_mode, now
        )
        match self._policy:
            case TwoChoices():
                drawn = self._rng.sample(candidates, min(2, len(candidates)))
                return min(sorted(drawn), key=lambda t: costs_s[t])
            case WeightedRandom(cost_exponent):
                weights = [costs_s[t] ** -cost_exponent for t in candidates]
                return self._rng.choices(candidates, weights)[0]

    def is_in_panic_mode(self, now: float) -> bool:
        """Returns whether too many targets are ejected to trust ejections."""
        return self._is_in_panic_mode(now)

    def is_ejected(self, target: str, now: float) -> bool:
        """Returns whether a target is ejected.

        An ejected target gets requests only if all candidates are ejected, or
        in panic mode.
        """
        return self._stats(target, now).is_ejected(now)

    def views(self, now: float) -> dict[str, ReplicaView]:
        """Returns the state of each target that this process has considered."""
        return {
            target: ReplicaView(
                latency=stats.expected_latency_s(now),
                outstanding=stats.outstanding_count,
                failures=stats.consecutive_failure_count,
                avoided_for=max(0.0, stats.ejection_ends_at - now),
            )
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
        stats.record_latency(latency_s, now)
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

    def _stats(self, target: str, now: float) -> _TargetStats:
        stats = self._stats_by_target.get(target)
        if stats is None:
            stats = self._stats_by_target[target] = _TargetStats(now)
        return stats

    def _is_in_panic_mode(self, now: float) -> bool:
        for target, stats in list(self._ejected_stats_by_target.items()):
            if not stats.is_ejected(now):
                del self._ejected_stats_by_target[target]
        ejected_count = len(self._ejected_stats_by_target)
        return ejected_count > max(
            1, _PANIC_FRACTION * len(self._stats_by_target)
        )

    def _costs_s(
        self,
        candidates: list[str],
        domain_by_target: Mapping[str, str],
        in_panic_mode: bool,
        now: float,
    ) -> dict[str, float]:
        """Returns the cost of each candidate in seconds of latency."""
        bad_answer_penalty_s = 0.0
        match self._policy:
            case WeightedRandom(
                cross_domain_penalty_s=cross_domain_penalty_s,
                bad_answer_penalty_s=bad_answer_penalty_s,
            ):
                pass
            case TwoChoices():
                cross_domain_penalty_s = _CROSS_DOMAIN_PENALTY_S
        min_latency_s = min(self._stats(t, now).latency_s for t in candidates)
        costs_s = {}
        for target in candidates:
            stats = self._stats(target, now)
            cost_s = self._answer_time_s(target, min_latency_s, now) * (
                1 + stats.outstanding_count
            )
            cost_s += bad_answer_penalty_s * (
                _MAX_SUCCESS_RATIO - stats.success_ratio(now)
            )
            if domain_by_target[target] != self.failure_domain:
                cost_s += cross_domain_penalty_s
            if not in_panic_mode and stats.is_ejected(now):
                cost_s += _EJECTED_PENALTY_S
            costs_s[target] = cost_s
        return costs_s

    def _answer_time_s(
        self, target: str, min_latency_s: float, now: float
    ) -> float:
        """Returns the expected seconds until a good answer of a target.

        The expected latency decays without new latencies, but not below the
        lowest latency of the candidates: a target that answers nothing must
        not appear fast.

        Args:
            target: The target.
            min_latency_s: Lowest latency of the candidates, without decay.
            now: Current time.
        """
        stats = self._stats(target, now)
        latency_s = max(
            _MIN_LATENCY_S, min_latency_s, stats.expected_latency_s(now)
        )
        return latency_s / stats.success_ratio(now) ** 2
