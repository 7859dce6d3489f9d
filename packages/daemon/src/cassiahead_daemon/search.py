"""Searches the shards of a layout, as many at once as its targets serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import concurrency_limiter as gate_lib
from cassiahead_daemon import node as node_lib
from cassiahead_daemon import relay_client as scatter_lib
from cassiahead_daemon import scatter_gather as query_lib
from cassiahead_daemon import search_state as knowledge_lib
from cassiahead_decisions import replicas as replicas_lib

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahead_daemon import request_context as context_lib
    from cassiahead_decisions import snapshot as snapshot_lib

__all__ = ["Searcher"]


@attrs.define
class Searcher:
    """Runs searches and lookups.

    Attributes:
        knowledge: What has been learnt from them.
    """

    _node: node_lib.Node
    _scatterer: scatter_lib.Scatterer
    _gate: gate_lib.Gate
    knowledge: knowledge_lib.Knowledge

    @classmethod
    def from_node(
        cls, node: node_lib.Node, scatterer: scatter_lib.Scatterer
    ) -> Searcher:
        """Creates the searcher of an entry."""
        chooser = replicas_lib.ReplicaChooser(
            node.settings.failure_domain, node.rng
        )
        gate = gate_lib.Gate(node.telemetry)
        return cls(node, scatterer, gate, knowledge_lib.Knowledge(chooser))

    async def search(
        self, context: context_lib.RequestContext, shards: Iterable[str]
    ) -> snapshot_lib.Snapshot:
        """Asks some shards of the pinned layout.

        Args:
            context: The request.
            shards: Names of the shards: all for a search, one for a lookup.

        Returns:
            The snapshot with most coverage that came before the deadline.

        Raises:
            errors.RequestError: If the coverage is below the route's, or the
                targets have too much work already.
        """
        asked = tuple(shards)
        async with self._gate.entered(context, len(asked)) as limit:
            query = query_lib.Query.from_context(
                context, asked, self._node, self._scatterer, self.knowledge
            )
            try:
                await query.run()
            finally:
                query.close()
                query.teach(limit)
            return query.result()
