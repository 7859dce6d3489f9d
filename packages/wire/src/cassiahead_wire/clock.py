"""The monotonic clock and the wall clock of this host."""

from __future__ import annotations

import time

__all__ = ["monotonic", "wall_time"]


def monotonic() -> float:
    """Returns seconds since the host booted, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Returns seconds since the Unix epoch, 1970-01-01 UTC."""
    return time.time()
