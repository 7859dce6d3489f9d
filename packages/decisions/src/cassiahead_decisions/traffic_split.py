"""Spreads the requests of a route over parts by their weights.

Smooth weighted round robin: each part's share is exact over any run of
requests, not only in the mean.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["TrafficSplit"]


@attrs.define
class TrafficSplit:
    """The running credit of each part of one route."""

    _credits: dict[str, float] = attrs.field(factory=dict)

    def next(self, weights: Mapping[str, float]) -> str:
        """Returns the part that gets the next request.

        Args:
            weights: Positive weights by part; they may change between calls.
        """
        total = sum(weights.values())
        credits = {
            part: self._credits.get(part, 0.0) + weight
            for part, weight in weights.items()
        }
        chosen = max(credits, key=lambda part: credits[part])
        credits[chosen] -= total
        self._credits = credits
        return chosen
