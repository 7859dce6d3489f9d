"""How fast the requests of a destination start while others wait.

Load pattern: short overloads with calm times between them. In calm times, the
starts per second show the offered load and not what the targets can take, so
only the time in which requests wait is counted.
"""

from __future__ import annotations

import math

import attrs

__all__ = ["StartRate"]

# Time constant of the moving average.
_AVERAGING_TIME_S = 4.0
# Time with waiting requests from which on the rate is known.
_MIN_BUSY_S = 0.03
# Starts, less those forgotten, from which on the rate is known.
_MIN_START_COUNT = 1.5


@attrs.define
class StartRate:
    """Moving average of the starts per second while requests wait.

    All times are seconds on this process's monotonic clock.
    """

    _busy_s: float = 0.0
    _start_count: float = 0.0
    _updated_at: float | None = None

    @property
    def per_s(self) -> float | None:
        """Starts per second; None while too little is known."""
        if self._busy_s < _MIN_BUSY_S or self._start_count < _MIN_START_COUNT:
            return None
        return self._start_count / self._busy_s

    def advance(self, is_busy: bool, now: float) -> None:
        """Adds the time since the last call.

        Args:
            is_busy: Whether requests have been waiting since the last call.
            now: Current time.
        """
        if self._updated_at is not None:
            elapsed_s = max(0.0, now - self._updated_at)
            kept_fraction = math.exp(-elapsed_s / _AVERAGING_TIME_S)
            self._start_count *= kept_fraction
            self._busy_s *= kept_fraction
            if is_busy:
                self._busy_s += _AVERAGING_TIME_S * (1 - kept_fraction)
        self._updated_at = now

    def record_start(self) -> None:
        """Counts a start while requests wait, at the time of ``advance``."""
        self._start_count += 1
