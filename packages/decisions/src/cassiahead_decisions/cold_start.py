"""Fleet-wide rate limit on requests to targets in cold start.

Load pattern: all targets of a failure domain come back at the same time in cold
start, while every host tries to use them. A cold target gets no requests while
a warm replica is left. Where none is left, only a few hosts send requests to
the cold target, each about one a second, so that the fleet stays below the rate
that the target can serve. These hosts are chosen by rendezvous hashing, so that
hosts that know the same addresses agree on the choice.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

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
    _last_admitted_at_by_target: dict[str, float] = attrs.field(factory=dict)

    def try_admit(
        self, target: str, get_rank: Callable[[str], int], now: float
    ) -> bool:
        """Admits one request to a cold target, or refuses the request.

        Only the processes with the highest rendezvous scores for the target
        admit requests, each of them one per ``_MIN_INTERVAL_S``. The number of
        these processes is one less than ``max_rate_per_s``.

        Args:
            target: Name of the target.
            get_rank: Returns the rank of this process for a target; 0 is the
                highest.
            now: Current time on this process's monotonic clock, in seconds.
        """
        if now < self.next_admission_at(target, get_rank):
            return False
        self._last_admitted_at_by_target[target] = now
        return True

    def next_admission_at(
        self, target: str, get_rank: Callable[[str], int]
    ) -> float:
        """Returns from when on a request to a cold target is admitted.

        Args:
            target: Name of the target.
            get_rank: See ``try_admit``.

        Returns:
            Seconds on this process's monotonic clock; infinite if this process
            admits none.
        """
        if get_rank(target) >= int(self.max_rate_per_s) - 1:
            return math.inf
        last_admitted_at = self._last_admitted_at_by_target.get(target)
        if last_admitted_at is None:
            return -math.inf
        return last_admitted_at + _MIN_INTERVAL_S

    def forget_target(self, target: str) -> None:
        """Drops the time of the last request to a target."""
        self._last_admitted_at_by_target.pop(target, None)
