"""What an entry has learnt from its queries, for the next ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import hedging
from cassiahead_decisions import replicas as replicas_lib
from cassiahead_decisions import snapshot as snapshot_lib

if TYPE_CHECKING:
    from cassiahead_daemon import request_context as context_lib

__all__ = ["Knowledge"]


@attrs.define
class Knowledge:
    """Replicas, versions, latencies and budgets.

    Attributes:
        chooser: What is believed of each replica.
        versions: Which target holds which index version.
    """

    chooser: replicas_lib.ReplicaChooser
    versions: snapshot_lib.VersionTracker = attrs.field(
        factory=snapshot_lib.VersionTracker
    )
    _latencies: dict[str, hedging.LatencyWindow] = attrs.field(factory=dict)
    _budgets: dict[str, hedging.ExtraLoadBudget] = attrs.field(factory=dict)

    def latency(self, route: str, shard: str) -> hedging.LatencyWindow:
        """Returns the recent latencies of a shard."""
        return self._latencies.setdefault(
            f"{route}/{shard}", hedging.LatencyWindow()
        )

    def budget(
        self, context: context_lib.RequestContext
    ) -> hedging.ExtraLoadBudget:
        """Returns the budget for extra attempts of a route."""
        budget = self._budgets.setdefault(
            context.route_name, hedging.ExtraLoadBudget(0.0)
        )
        budget.ratio = context.route.max_extra_load
        return budget
