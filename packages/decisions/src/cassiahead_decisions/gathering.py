"""Merging the parts of an answer, and when to stop waiting for more."""

from __future__ import annotations

import enum
import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "RECORD_BYTES",
    "GatherDecision",
    "decide",
    "required_parts",
    "merge",
]

RECORD_BYTES = 16
# Shares such as 0.89 of 100 parts are not exact in binary.
_ROUNDING = 1e-9


class GatherDecision(enum.Enum):
    """What to do with an answer that is not complete."""

    WAIT = "wait"
    ANSWER = "answer"
    GIVE_UP = "give up"


def required_parts(total: int, min_coverage: float) -> int:
    """Returns how many parts an answer needs; at least one."""
    return max(1, math.ceil(min_coverage * total - _ROUNDING))


def decide(
    *,
    total: int,
    present: int,
    lost: int,
    required: int,
    past_soft_deadline: bool,
) -> GatherDecision:
    """Decides whether an answer is given now.

    An answer that can't reach its least number of parts is given up at once,
    so that the caller can come again in time. One that has it is given as
    soon as waiting longer would make it late.

    Args:
        total: Parts of a complete answer.
        present: Parts in hand.
        lost: Parts that no attempt under way can still bring.
        required: Parts that an answer needs.
        past_soft_deadline: Whether the time for which a complete answer is
            waited has run.
    """
    if total - lost < required:
        return GatherDecision.GIVE_UP
    if present + lost == total:
        return GatherDecision.ANSWER
    if past_soft_deadline and present >= required:
        return GatherDecision.ANSWER
    return GatherDecision.WAIT


def merge(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Returns the greatest records of all parts, falling.

    Args:
        bodies: Parts of 16-byte records in no order; what is left over at the
            end of a part is no record.
        top_k: Records wanted.
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(top_k, records))
