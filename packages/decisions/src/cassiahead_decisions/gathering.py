"""Gather step of scatter-gather: when to answer, and the merge of the parts.

A search needs a minimum number of parts, one from each shard. Waiting for the
last parts raises coverage but delays the answer.
"""

from __future__ import annotations

import enum
import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "RESULT_BYTES",
    "GatherDecision",
    "decide",
    "required_part_count",
    "merge",
]

RESULT_BYTES = 16
# Tolerance for products such as 0.89 * 100, which are inexact in binary and
# would otherwise be rounded up by one part.
_ROUNDING_TOLERANCE_PARTS = 1e-9


class GatherDecision(enum.Enum):
    """What to do with an answer that may be incomplete.

    Attributes:
        WAIT: Wait for more parts.
        ANSWER: Answer with the parts received so far.
        GIVE_UP: Fail, because the required number of parts can't be reached.
    """

    WAIT = "wait"
    ANSWER = "answer"
    GIVE_UP = "give up"


def required_part_count(total_count: int, min_coverage: float) -> int:
    """Returns the number of parts that an answer needs, at least one.

    Args:
        total_count: Parts of a complete answer.
        min_coverage: Fraction of the parts that an answer needs, 0 to 1.
    """
    return max(
        1, math.ceil(min_coverage * total_count - _ROUNDING_TOLERANCE_PARTS)
    )


def decide(
    *,
    total_count: int,
    present_count: int,
    lost_count: int,
    required_count: int,
    is_past_soft_deadline: bool,
) -> GatherDecision:
    """Decides whether to answer now.

    If the required number of parts can't be reached any more, the decision is
    to give up at once, so that the caller has time to retry. If that number is
    present, the decision is to answer as soon as no more parts can arrive or
    the soft deadline has passed.

    Args:
        total_count: Parts of a complete answer.
        present_count: Parts received.
        lost_count: Parts that will not arrive: all attempts for them have
            failed, and no more will be made.
        required_count: Parts that an answer needs.
        is_past_soft_deadline: Whether the time to wait for a complete answer
            has passed.
    """
    if total_count - lost_count < required_count:
        return GatherDecision.GIVE_UP
    if present_count + lost_count == total_count:
        return GatherDecision.ANSWER
    if is_past_soft_deadline and present_count >= required_count:
        return GatherDecision.ANSWER
    return GatherDecision.WAIT


def merge(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Returns the greatest results of all parts in descending order.

    Results are compared as byte strings.

    Args:
        bodies: One body per part: 16-byte results in any order. An incomplete
            result at the end of a body is ignored.
        top_k: Highest number of results to return.
    """
    results = (
        body[start : start + RESULT_BYTES]
        for body in bodies
        for start in range(0, len(body) - RESULT_BYTES + 1, RESULT_BYTES)
    )
    return b"".join(heapq.nlargest(top_k, results))
