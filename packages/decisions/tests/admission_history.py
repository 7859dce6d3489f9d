"""Checks of merged histories."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahead_decisions import rate_limiter as limiter_lib

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["first_excess", "ideal_admissions"]

_EPSILON = 1e-6


def first_excess(
    times: list[float],
    limit_at: Callable[[float], tuple[float, float]],
    drift: float,
) -> float | None:
    """Finds the first admission above burst + rate x interval.

    A bucket that is drained by the merged history goes below zero exactly if
    some interval holds too many admissions. The tolerance is the one derived
    in the design note: an admission may be used ``PERMIT_LIFETIME_S`` after
    it was granted, and clocks may run fast by ``drift``.

    Args:
        times: True times at which requests ran.
        limit_at: Returns rate and burst at a true time.
        drift: Relative clock error.

    Returns:
        The time of the first admission above the limit, or None.
    """
    level = None
    last = 0.0
    for time in sorted(times):
        rate, burst = limit_at(time)
        rate *= 1 + drift
        cap = burst + rate * limiter_lib.ADMISSION_LIFETIME_S
        level = cap if level is None else level + rate * (time - last)
        level = min(level, cap) - 1
        last = time
        if level < -_EPSILON:
            return time
    return None


def ideal_admissions(times: list[float], rate: float, burst: float) -> int:
    """Returns how many arrivals one central bucket admits."""
    level = burst
    last = 0.0
    admitted = 0
    for time in sorted(times):
        level = min(burst, level + rate * (time - last))
        last = time
        if level >= 1 - _EPSILON:
            level -= 1
            admitted += 1
    return admitted
