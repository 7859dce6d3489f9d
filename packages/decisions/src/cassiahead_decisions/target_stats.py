"""Results of the requests that one process has sent to one target."""

from __future__ import annotations

import math

import attrs

__all__ = [
    "INITIAL_LATENCY_S",
    "MAX_SUCCESS_RATIO",
    "ReplicaView",
    "TargetStats",
]

# Weight of a new latency in the moving average of latencies.
_LATENCY_SMOOTHING_FRACTION = 0.2
# Latency assumed of a target that has not answered yet.
INITIAL_LATENCY_S = 0.005
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
MAX_SUCCESS_RATIO = 1.0


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
class TargetStats:
    """Results of the requests to one target.

    Attributes:
        latency_updated_at: Time of the last update of ``latency_s``.
        latency_s: Moving average of the latencies, as of that time.
        has_latency: Whether a latency was recorded.
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
    latency_s: float = INITIAL_LATENCY_S
    has_latency: bool = False
    outstanding_count: int = 0
    consecutive_failure_count: int = 0
    ejection_ends_at: float = 0.0
    last_answered_at: float = -math.inf
    bad_answer_ratio: float = 0.0
    bad_answer_ratio_updated_at: float = 0.0

    def view(self, now: float) -> ReplicaView:
        """Returns the state for operators."""
        return ReplicaView(
            latency=self.expected_latency_s(now),
            outstanding=self.outstanding_count,
            failures=self.consecutive_failure_count,
            avoided_for=max(0.0, self.ejection_ends_at - now),
        )

    def success_ratio(self, now: float) -> float:
        """Returns the expected fraction of good answers, above 0 and up to 1.

        The fraction rises while no answers are recorded.
        """
        if not self.bad_answer_ratio:
            return MAX_SUCCESS_RATIO
        elapsed_s = max(0.0, now - self.bad_answer_ratio_updated_at)
        bad_answer_ratio = self.bad_answer_ratio * math.exp2(
            -elapsed_s / _BAD_ANSWER_HALF_LIFE_S
        )
        return max(_MIN_SUCCESS_RATIO, MAX_SUCCESS_RATIO - bad_answer_ratio)

    def record_result(self, is_good: bool, now: float) -> None:
        """Adds one good or bad answer to the ratio of bad answers."""
        result = MAX_SUCCESS_RATIO if is_good else 0.0
        success_ratio = self.success_ratio(now)
        self.bad_answer_ratio = MAX_SUCCESS_RATIO - (
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
        self.has_latency = True

    def is_ejected(self, now: float) -> bool:
        """Returns whether the target is avoided because of failures."""
        return now < self.ejection_ends_at
