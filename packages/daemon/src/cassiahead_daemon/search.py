"""Runs searches and lookups within the concurrency limits of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import concurrency_limiter
from cassiahead_daemon import daemon_state as daemon_state_lib
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

    _daemon_state: daemon_state_lib.DaemonState
    _relay_client: relay_client_lib.RelayClient
    _concurrency_limiter: concurrency_limiter.ConcurrencyLimiter
    search_state: search_state_lib.SearchState

    @classmethod
    def from_daemon_state(
        cls,
        daemon_state: daemon_state_lib.DaemonState,
        relay_client: relay_client_lib.RelayClient,
    ) -> Searcher:
        """Creates the searcher of an entry.

        Args:
            daemon_state: State of the daemon.
            relay_client: Sends the sub-requests.
        """
        replica_chooser = replicas.ReplicaChooser(
            daemon_state.settings.failure_domain, daemon_state.rng
        )
        limiter = concurrency_limiter.ConcurrencyLimiter(daemon_state.telemetry)
        return cls(
            daemon_state,
            relay_client,
            limiter,
            search_state_lib.SearchState(replica_chooser),
        )

    async def search(
        self, context: request_context.RequestContext, shards: Iterable[str]
    ) -> snapshot.Snapshot:
        """Runs a search or lookup on some shards of the request's layout.

        Args:
            context: The request.
            shards: Names of the shards: all for a search, one for a lookup.

        Returns:
            The snapshot with the highest coverage before the deadline.

        Raises:
            errors.RequestError: If the coverage is below the minimum of the
                route, or the concurrency limit does not allow the request in
                time.
        """
        shard_names = tuple(shards)
        async with self._concurrency_limiter.acquire(
            context, len(shard_names)
        ) as limit:
            scatter = scatter_gather.ScatterGather.from_context(
                context,
                shard_names,
                self._daemon_state,
                self._relay_client,
                self.search_state,
            )
            try:
                await scatter.run()
            finally:
                scatter.close()
                scatter.timings.report_to(limit)
            return scatter.result()
