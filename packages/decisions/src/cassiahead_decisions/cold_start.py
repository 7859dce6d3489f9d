"""Fleet-wide rate limit on requests to targets in cold start.

Load pattern: all targets of a failure domain come back at the same time in cold
start, while every host tries to use them. A cold target gets no requests while
a warm replica is left. Where none is left, only a few hosts send requests to
the cold target, each about one a second, so that the fleet stays below the rate
that the target can serve. These hosts are chosen by rendezvous hashing, so that
hosts that reach the same peers agree on the choice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ColdStartLimiter"]

# Shortest time between two requests of one process to one cold target; above
# 1 s, so that no period of one second contains both.
_MIN_INTERVAL_S = 1.1


@attrs.define
class ColdStartLimiter:
    """Admits this process's share of the requests to cold targets.

    Attributes:
        max_rate_per_s: Highest rate of requests of the whole fleet to one cold
            target. Fractions are ignored; below 2, no request is admitted.
    """

    max_rate_per_s: float
    _process_name: str
    _last_admitted_at_by_target: dict[str, float] = attrs.field(factory=dict)

    def try_admit(self, target: str, peers: Iterable[str], now: float) -> bool:
        """Admits one request to a cold target, or refuses the request.

        Only the processes with the highest rendezvous scores for the target
        admit requests, each of them one per ``_MIN_INTERVAL_S``. The number of
        these processes is one less than ``max_rate_per_s``.

        Args:
            target: Name of the target.
            peers: Names of the other processes of the fleet that are reachable.
            now: Current time on this process's monotonic clock, in seconds.
        """
        last_admitted_at = self._last_admitted_at_by_target.get(target)
        if (
            last_admitted_at is not None
            and now - last_admitted_at < _MIN_INTERVAL_S
        ):
            return False
        own_score = rendezvous.score(self._process_name, target)
        rank = sum(1 for p in peers if rendezvous.score(p, target) > own_score)
        if rank >= int(self.max_rate_per_s) - 1:
            return False
        self._last_admitted_at_by_target[target] = now
        return True

    def forget_target(self, target: str) -> None:
        """Drops the time of the last request to a target."""
        self._last_admitted_at_by_target.pop(target, None)
