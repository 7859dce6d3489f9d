"""Splits the requests of a route between services by weight.

Uses smooth weighted round robin: in any run of consecutive requests, each
service's share is exact to about one request. A random choice would give exact
shares only on average.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["TrafficSplit"]


@attrs.define
class TrafficSplit:
    """Smooth weighted round robin between the services of one route."""

    # Credit of each service, in units of weight.
    _credits: dict[str, float] = attrs.field(factory=dict)

    def next_service(self, weights: Mapping[str, float]) -> str:
        """Returns the service that gets the next request.

        Args:
            weights: Positive weights by service. Weights and services may
                change between calls.
        """
        total_weight = sum(weights.values())
        credits = {
            service: self._credits.get(service, 0.0) + weight
            for service, weight in weights.items()
        }
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total_weight
        self._credits = credits
        return chosen
