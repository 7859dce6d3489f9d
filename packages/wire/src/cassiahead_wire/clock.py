"""The clocks of a daemon."""

from __future__ import annotations

import time

__all__ = ["monotonic", "wall_time"]


def monotonic() -> float:
    """Returns seconds since the host's start, time in suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Returns seconds since the epoch."""
    return time.time()
