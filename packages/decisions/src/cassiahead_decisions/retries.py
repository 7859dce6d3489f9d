"""Whether a sub-request that failed is tried again, and what that costs."""

from __future__ import annotations

import enum

from cassiahead_protocol import api

__all__ = ["MAX_ATTEMPTS_PER_SHARD", "RetryDecision", "decide_retry"]

MAX_ATTEMPTS_PER_SHARD = 3
_MAX_PLACEMENTS = 12
_PLACED_WRONGLY = (
    api.SubStatus.NOT_OWNER,
    api.SubStatus.NO_SLOT,
    api.SubStatus.VERSION_MISMATCH,
)


class RetryDecision(enum.Enum):
    """Verdict on another attempt."""

    NEVER = "never"
    FREE = "free"
    CHARGED = "charged"


def decide_retry(
    failure: api.SubAnswer, attempt_count: int, has_healthy_replica: bool
) -> RetryDecision:
    """Decides on another attempt after a failure.

    Args:
        failure: The failure.
        attempt_count: Attempts made for the shard so far.
        has_healthy_replica: Whether a replica that is not avoided is left to
            ask, so that the attempt moves load and does not pile it on bad
            replicas.

    Returns:
        Whether to try again, and whether the budget for extra load pays.
    """
    if failure.status in _PLACED_WRONGLY:
        return (
            RetryDecision.FREE
            if attempt_count < _MAX_PLACEMENTS
            else RetryDecision.NEVER
        )
    if attempt_count >= MAX_ATTEMPTS_PER_SHARD:
        return RetryDecision.NEVER
    if failure.status is not api.SubStatus.SHED:
        return RetryDecision.CHARGED
    if failure.outcome is api.Outcome.NOT_RUN:
        # Its owner's queue is full: another attempt would add to the load.
        return RetryDecision.NEVER
    return RetryDecision.FREE if has_healthy_replica else RetryDecision.CHARGED
