"""The baseline: direct round robin over replicas, without hedges or retries."""

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
    """Asks one replica of each shard in turn and waits for all."""

    shards: dict[str, list[int]]
    _turns: itertools.count[int] = attrs.field(factory=itertools.count)
    _idle: dict[int, list[wire.Connection]] = attrs.field(factory=dict)

    @classmethod
    def from_fleet(cls, fleet: fleet_lib.Fleet) -> RoundRobin:
        """Creates a baseline over a fleet's targets."""
        ports = iter(fleet.target_ports)
        replicas = fleet.shape.replicas
        return cls(
            {
                f"s{shard:02}": [next(ports) for _ in range(replicas)]
                for shard in range(fleet.shape.shards)
            }
        )

    async def call(self) -> load.Result:
        """Makes one search."""
        turn = next(self._turns)
        answered = await asyncio.gather(
            *(
                self._ask(shard, ports[turn % len(ports)])
                for shard, ports in self.shards.items()
            )
        )
        return load.Result("ok", sum(answered) / len(answered))

    async def ask_one(self) -> load.Result:
        """Makes one lookup straight at a target."""
        shard, ports = next(iter(self.shards.items()))
        answered = await self._ask(shard, ports[0])
        return load.Result("ok" if answered else "failed", float(answered))

    async def _ask(self, shard: str, port: int) -> bool:
        idle = self._idle.setdefault(port, [])
        connection = None
        try:
            connection = (
                idle.pop()
                if idle
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
            idle.append(connection)
        return response.status == 200
