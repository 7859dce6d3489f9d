"""Merges the hits that the targets of a search have found."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["merge_hits"]


def merge_hits(payloads: Iterable[Any], limit: int) -> dict[str, Any]:
    """Merges the hits of all shards, highest score first.

    Among hits with equal scores, the greater id comes first. A hit without a
    finite score ranks as if its score were 0. What is no hit is left out.

    Args:
        payloads: Results of the shards, any JSON values.
        limit: Highest number of hits to return.
    """
    hits = [
        hit
        for payload in payloads
        for hit in _hits_of(payload)
        if isinstance(hit, dict)
    ]
    return {"hits": heapq.nlargest(limit, hits, key=_rank_key)}


def _hits_of(payload: object) -> list[Any]:
    match payload:
        case {"hits": list(hits)}:
            return hits
        case _:
            return []


def _rank_key(hit: dict[str, Any]) -> tuple[float, str]:
    return _finite_score(hit.get("score")), str(hit.get("id", ""))


def _finite_score(score: object) -> float:
    if not isinstance(score, int | float):
        return 0.0
    try:
        number = float(score)
    except OverflowError:
        return 0.0
    return number if math.isfinite(number) else 0.0
