"""Observations of an entry's searches, which later searches use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import hedging
from cassiahead_decisions import replicas
from cassiahead_decisions import snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahead_daemon import request_context

__all__ = ["SearchState"]


@attrs.define
class SearchState:
    """Observations of searches and the budgets for extra load.

    Attributes:
        replica_chooser: Chooses replicas by their observed latency and
            failures.
        version_tracker: Index versions that each target holds, according to its
            last answer.
    """

    replica_chooser: replicas.ReplicaChooser
    version_tracker: snapshot.VersionTracker = attrs.field(
        factory=snapshot.VersionTracker
    )
    _latency_window_by_route_and_shard: dict[str, hedging.LatencyWindow] = (
        attrs.field(factory=dict)
    )
    _budget_by_route: dict[str, hedging.ExtraLoadBudget] = attrs.field(
        factory=dict
    )

    def latency_window(self, route: str, shard: str) -> hedging.LatencyWindow:
        """Returns the recent latencies of a shard on a route.

        Args:
            route: Name of the route.
            shard: Name of the shard.
        """
        return self._latency_window_by_route_and_shard.setdefault(
            f"{route}/{shard}", hedging.LatencyWindow()
        )

    def extra_load_budget(
        self, context: request_context.RequestContext
    ) -> hedging.ExtraLoadBudget:
        """Returns the budget for hedges and retries on the request's route."""
        extra_load_budget = self._budget_by_route.setdefault(
            context.route_name, hedging.ExtraLoadBudget(0.0)
        )
        extra_load_budget.credit_per_first_attempt = (
            context.route.max_extra_load
        )
        return extra_load_budget

    def newest_common_version(
        self, context: request_context.RequestContext, shards: Iterable[str]
    ) -> int | None:
        """Returns the newest version that each shard has on a usable target.

        Args:
            context: The request, whose layout and configuration apply.
            shards: Names of the shards.

        Returns:
            The index version; None if no such version is known.
        """
        return self.version_tracker.newest_common_version(
            [
                replicas.usable_replicas(
                    context.configuration, context.layout, shard
                )
                for shard in shards
            ]
        )
