"""What an entry has learnt from its queries, for the next ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import hedging
from cassiahead_decisions import replicas
from cassiahead_decisions import snapshot

if TYPE_CHECKING:
    from cassiahead_daemon import request_context

__all__ = ["SearchState"]


@attrs.define
class SearchState:
    """Replicas, versions, latencies and budgets.

    Attributes:
        chooser: What is believed of each replica.
        versions: Which target holds which index version.
    """

    chooser: replicas.ReplicaChooser
    versions: snapshot.VersionTracker = attrs.field(
        factory=snapshot.VersionTracker
    )
    _latencies: dict[str, hedging.LatencyWindow] = attrs.field(factory=dict)
    _budgets: dict[str, hedging.ExtraLoadBudget] = attrs.field(factory=dict)

    def latency_window(self, route: str, shard: str) -> hedging.LatencyWindow:
        """Returns the recent latencies of a shard."""
        return self._latencies.setdefault(
            f"{route}/{shard}", hedging.LatencyWindow()
        )

    def extra_load_budget(
        self, context: request_context.RequestContext
    ) -> hedging.ExtraLoadBudget:
        """Returns the budget for extra attempts of a route."""
        extra_load_budget = self._budgets.setdefault(
            context.route_name, hedging.ExtraLoadBudget(0.0)
        )
        extra_load_budget.ratio = context.route.max_extra_load
        return extra_load_budget
