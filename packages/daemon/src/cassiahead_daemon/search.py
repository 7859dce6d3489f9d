"""Runs searches and lookups within the concurrency limits of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import concurrency_limiter
from cassiahead_daemon import node as node_lib
from cassiahead_daemon import relay_client as relay_client_lib
from cassiahead_daemon import scatter_gather
from cassiahead_daemon import search_state as search_state_lib
from cassiahead_decisions import replicas

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahead_daemon import request_context
    from cassiahead_decisions import snapshot

__all__ = ["Searcher"]


@attrs.define
class Searcher:
    """Runs searches and lookups of one entry.

    Attributes:
        search_state: Observations of earlier searches.
    """

    _node: node_lib.Node
    _relay_client: relay_client_lib.RelayClient
    _concurrency_limiter: concurrency_limiter.ConcurrencyLimiter
    search_state: search_state_lib.SearchState

    @classmethod
    def from_node(
        cls, node: node_lib.Node, relay_client: relay_client_lib.RelayClient
    ) -> Searcher:
        """Creates the searcher of an entry.

        Args:
            node: State of the daemon.
            relay_client: Sends the sub-requests.
        """
        chooser = replicas.ReplicaChooser(
            node.settings.failure_domain, node.rng
        )
        limiter = concurrency_limiter.ConcurrencyLimiter(node.telemetry)
        return cls(
            node, relay_client, limiter, search_state_lib.SearchState(chooser)
        )

    async def search(
        self, context: request_context.RequestContext, shards: Iterable[str]
    ) -> snapshot.Snapshot:
        """Asks some shards of the layout that a request is pinned to.

        Args:
            context: The request.
            shards: Names of the shards: all for a search, one for a lookup.

        Returns:
            The snapshot with the highest coverage before the deadline.

        Raises:
            errors.RequestError: If the coverage is below the minimum of the
                route, or the concurrency limit is reached.
        """
        shard_names = tuple(shards)
        async with self._concurrency_limiter.acquire(
            context, len(shard_names)
        ) as limit:
            query = scatter_gather.ScatterGather.from_context(
                context,
                shard_names,
                self._node,
                self._relay_client,
                self.search_state,
            )
            try:
                await query.run()
            finally:
                query.close()
                query.record_timings(limit)
            return query.result()
