"""Baseline of the benchmarks: round-robin load balancing over replicas.

The baseline sends requests directly to targets, without hedges or retries.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs

from cassiahead_wire import connection as wire
from standins import load

if TYPE_CHECKING:
    from standins import fleet as fleet_lib

__all__ = ["RoundRobin"]

_HEADERS = {
    "X-Request-Id": "baseline",
    "X-Account": "misr",
    "X-Layout-Generation": "1",
    "X-Deadline-Ms": "1000",
}


@attrs.define(eq=False)
class RoundRobin:
    """Sends searches to the replicas of each shard in turn.

    Attributes:
        ports_by_shard: Loopback ports of each shard's replicas, by shard name.
    """

    ports_by_shard: dict[str, list[int]]
    _search_indices: itertools.count[int] = attrs.field(factory=itertools.count)
    _idle_connections_by_port: dict[int, list[wire.Connection]] = attrs.field(
        factory=dict
    )

    @classmethod
    def from_fleet(cls, fleet: fleet_lib.Fleet) -> RoundRobin:
        """Creates a baseline that uses a fleet's targets."""
        ports = iter(fleet.target_ports)
        replica_count = fleet.spec.replicas_per_shard
        return cls(
            {
                f"s{shard:02}": [next(ports) for _ in range(replica_count)]
                for shard in range(fleet.spec.shard_count)
            }
        )

    async def search(self) -> load.Result:
        """Sends a request to one replica per shard and waits for all answers.

        Returns:
            A result of kind ``ok``, whose coverage is the fraction of shards
            that answered.
        """
        search_index = next(self._search_indices)
        are_answered = await asyncio.gather(
            *(
                self._send_sub_request(shard, ports[search_index % len(ports)])
                for shard, ports in self.ports_by_shard.items()
            )
        )
        return load.Result("ok", sum(are_answered) / len(are_answered))

    async def lookup(self) -> load.Result:
        """Sends a request to the first replica of the first shard.

        Returns:
            A result of kind ``ok`` or ``failed``.
        """
        shard, ports = next(iter(self.ports_by_shard.items()))
        is_answered = await self._send_sub_request(shard, ports[0])
        return load.Result(
            "ok" if is_answered else "failed", float(is_answered)
        )

    async def _send_sub_request(self, shard: str, port: int) -> bool:
        idle_connections = self._idle_connections_by_port.setdefault(port, [])
        connection = None
        try:
            connection = (
                idle_connections.pop()
                if idle_connections
                else await wire.Connection.open(f"127.0.0.1:{port}", 1.0)
            )
            response = await connection.request(
                "POST", f"/v1/shards/{shard}/board", b"{}", 1.0, _HEADERS
            )
        except wire.TransportError:
            if connection is not None:
                connection.close()
            return False
        if connection.is_usable:
            idle_connections.append(connection)
        return response.status == 200
