"""Size of the fleet, by which fleet-wide bounds are divided."""

from __future__ import annotations

import math

import attrs

from cassiahead_decisions import peer_table

__all__ = ["FleetSize"]

# Fleet size assumed until heartbeats show a larger one.
_MIN_FLEET_SIZE = 4
# Time for which the size of the fleet is kept for the limits of each request.
_FLEET_SIZE_VALIDITY_S = 0.1


@attrs.define(eq=False)
class FleetSize:
    """The size of the fleet, kept for a short time."""

    _peers: peer_table.PeerTable
    _size: int = _MIN_FLEET_SIZE
    _updated_at: float = -math.inf

    def size(self, now: float) -> int:
        """Returns the number of hosts to divide fleet-wide bounds by.

        Args:
            now: Time in seconds on this process's monotonic clock.
        """
        return max(_MIN_FLEET_SIZE, self._peers.fleet_size(now))

    def recent_size(self, now: float) -> int:
        """Returns ``size`` as of a short time ago.

        The size changes rarely, and each search needs it for every shard.

        Args:
            now: Time in seconds on this process's monotonic clock.
        """
        if now - self._updated_at >= _FLEET_SIZE_VALIDITY_S:
            self._updated_at = now
            self._size = self.size(now)
        return self._size
