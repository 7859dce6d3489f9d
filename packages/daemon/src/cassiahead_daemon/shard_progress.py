"""Attempts made and planned for one shard of a search or lookup."""

from __future__ import annotations

import attrs

__all__ = ["ShardProgress"]


@attrs.define
class ShardProgress:
    """Attempts made and planned for one shard.

    Attributes:
        shard: Name of the shard.
        tried_targets: Target of each attempt so far, in order; a target that
            was asked twice is listed twice.
        outstanding_targets: Targets that were asked and have not answered yet.
        latest_attempt_at: Start of the latest attempt, in seconds of
            ``clock.monotonic``, as are the other instants.
        hedge_at: Instant at which a hedge is considered next; infinite if no
            hedge is to be sent.
        retry_at: Instant of the planned retry; infinite if none is planned.
    """

    shard: str
    tried_targets: list[str] = attrs.field(factory=list)
    outstanding_targets: set[str] = attrs.field(factory=set)
    latest_attempt_at: float = 0.0
    hedge_at: float = float("inf")
    retry_at: float = float("inf")
