"""What a target in cold start is given, over the whole fleet.

Load pattern: a failure domain's targets come back together, cold, while every
host is eager to use them. A cold target gets nothing while a warm replica is
left. Where none is, a few hosts that all hosts agree on ask it once a second
each, so that the fleet stays below what it bears.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ColdStartLimiter"]

_INTERVAL_S = 1.1


@attrs.define
class ColdStartLimiter:
    """Allows this process its part of the requests to cold targets.

    Attributes:
        max_rate_per_s: Requests a second that a cold target bears over the
            fleet.
    """

    max_rate_per_s: float
    _process: str
    _asked_at: dict[str, float] = attrs.field(factory=dict)

    def try_admit(self, target: str, peers: Iterable[str], now: float) -> bool:
        """Takes one request to a cold target, or refuses it.

        Args:
            target: The target.
            peers: The other processes of the fleet.
            now: Time on this process's clock.
        """
        asked_at = self._asked_at.get(target)
        if asked_at is not None and now - asked_at < _INTERVAL_S:
            return False
        own = rendezvous.score(self._process, target)
        ahead = sum(1 for p in peers if rendezvous.score(p, target) > own)
        if ahead >= int(self.max_rate_per_s) - 1:
            return False
        self._asked_at[target] = now
        return True

    def forget_target(self, target: str) -> None:
        """Drops what is kept of a target."""
        self._asked_at.pop(target, None)
