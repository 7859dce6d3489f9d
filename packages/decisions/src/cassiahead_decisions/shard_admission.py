"""Which shards of a search are asked when some of them are overloaded.

Load pattern: a shard has lost replicas, and those that are left get more than
they serve, so that every search waits for it and comes late. A search that may
lack some shards leaves the overloaded ones out, so that their load falls to
what they serve; where more shards are overloaded than it may lack, it is
refused before any target has worked for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping
    import random

__all__ = ["Plan", "plan", "send_probability"]

# Expected time, as a part of the time that there is, up to which a shard is
# always asked, and from which it is asked as seldom as possible.
_CALM = 0.6
_OVERLOADED = 1.2
# An overloaded shard is still asked by some, to see when it recovers.
_LEAST_PROBABILITY = 0.15


@attrs.frozen
class Plan:
    """What a search does.

    Attributes:
        left_out: Shards that it does not ask.
        admitted: Whether it goes on at all.
    """

    left_out: frozenset[str]
    admitted: bool


def send_probability(expected: float, allowed: float) -> float:
    """Returns how often a shard is asked.

    Args:
        expected: Seconds until its best replica would answer.
        allowed: Seconds within which the answer is needed.
    """
    load = expected / max(allowed, 1e-3)
    if load <= _CALM:
        return 1.0
    falling = (_OVERLOADED - load) / (_OVERLOADED - _CALM)
    return max(_LEAST_PROBABILITY, falling)


def plan(
    expected: Mapping[str, float],
    allowed: float,
    may_lack: int,
    rng: random.Random,
) -> Plan:
    """Decides which shards a search asks, and whether it is admitted.

    Args:
        expected: Seconds until the best replica would answer, by shard.
        allowed: Seconds within which the answers are needed.
        may_lack: Shards that the answer may lack.
        rng: Random numbers.
    """
    skipped = [
        shard
        for shard, seconds in expected.items()
        if rng.random() >= send_probability(seconds, allowed)
    ]
    skipped.sort(key=lambda shard: expected[shard], reverse=True)
    return Plan(frozenset(skipped[:may_lack]), len(skipped) <= may_lack)
