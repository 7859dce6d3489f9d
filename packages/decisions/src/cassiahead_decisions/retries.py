"""Retry policy for failed sub-requests.

Retries after failures that are caused by overload add load and can sustain the
overload. Retries are therefore bounded in number and charged to the extra-load
budget. Two kinds of retries are free: after an attempt that failed because of
where it was sent, and after one that the target shed while a healthy replica is
left.
"""

from __future__ import annotations

import enum

from cassiahead_protocol import api

__all__ = ["MAX_ATTEMPTS_PER_SHARD", "RetryDecision", "decide_retry"]

MAX_ATTEMPTS_PER_SHARD = 3
# Applies after ``_PLACEMENT_FAILURES``; these retries are free.
_MAX_PLACEMENT_ATTEMPTS_PER_SHARD = 12
# The attempt failed because of where it was sent: the relay does not own the
# target, the target is unavailable or has no free slot, or the target does not
# hold the index version asked for.
_PLACEMENT_FAILURES = (
    api.SubStatus.NOT_OWNER,
    api.SubStatus.NO_SLOT,
    api.SubStatus.VERSION_MISMATCH,
)


class RetryDecision(enum.Enum):
    """Whether a failed sub-request is retried.

    Attributes:
        NEVER: The sub-request is not retried.
        FREE: The sub-request is retried without a charge.
        CHARGED: The sub-request is retried if the extra-load budget allows it.
    """

    NEVER = "never"
    FREE = "free"
    CHARGED = "charged"


def decide_retry(
    failure: api.SubAnswer, attempt_count: int, has_healthy_replica: bool
) -> RetryDecision:
    """Decides whether a failed sub-request is retried.

    Args:
        failure: Answer of the attempt that failed.
        attempt_count: Attempts made for the shard so far.
        has_healthy_replica: Whether an untried replica is left that is not
            ejected. With one, a retry moves load to that replica; without, a
            retry adds to the load of bad replicas.

    Returns:
        Whether the sub-request is retried, and whether the retry is charged to
        the extra-load budget.
    """
    if failure.status in _PLACEMENT_FAILURES:
        return (
            RetryDecision.FREE
            if attempt_count < _MAX_PLACEMENT_ATTEMPTS_PER_SHARD
            else RetryDecision.NEVER
        )
    if attempt_count >= MAX_ATTEMPTS_PER_SHARD:
        return RetryDecision.NEVER
    if failure.status is not api.SubStatus.SHED:
        return RetryDecision.CHARGED
    if failure.outcome is api.Outcome.NOT_RUN:
        # The queue of the relay that owns the target is full: a retry would
        # add to the load.
        return RetryDecision.NEVER
    return RetryDecision.FREE if has_healthy_replica else RetryDecision.CHARGED
