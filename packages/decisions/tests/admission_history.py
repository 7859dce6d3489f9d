"""Checks the admissions of all processes together against limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahead_decisions import rate_limiter

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["first_excess", "ideal_admissions"]

_TOKEN_TOLERANCE = 1e-6


def first_excess(
    times: list[float],
    limit_at: Callable[[float], tuple[float, float]],
    clock_drift_ratio: float,
) -> float | None:
    """Finds the first admission above burst + rate x interval.

    A token bucket drained by all admissions falls below zero exactly if some
    interval holds too many of them. The rate is raised by
    ``clock_drift_ratio``, since clocks may run that much too fast, and the
    burst by the tokens of ``ADMISSION_LIFETIME_S``, since an admission may be
    used up to that long after it was granted.

    Args:
        times: True times in seconds at which requests ran, in any order.
        limit_at: Returns rate (per second) and burst at a true time.
        clock_drift_ratio: Relative error of the speed of clocks.

    Returns:
        The true time of the first admission above the limit, or None.
    """
    tokens = None
    last_at = 0.0
    for time in sorted(times):
        rate_per_s, burst = limit_at(time)
        rate_per_s *= 1 + clock_drift_ratio
        capacity = burst + rate_per_s * rate_limiter.ADMISSION_LIFETIME_S
        tokens = (
            capacity
            if tokens is None
            else tokens + rate_per_s * (time - last_at)
        )
        tokens = min(tokens, capacity) - 1
        last_at = time
        if tokens < -_TOKEN_TOLERANCE:
            return time
    return None


def ideal_admissions(
    times: list[float], rate_per_s: float, burst: float
) -> int:
    """Returns how many requests one central token bucket admits.

    Args:
        times: Times in seconds at which requests arrive, in any order.
        rate_per_s: Tokens per second.
        burst: Capacity in tokens; the bucket starts full.
    """
    tokens = burst
    last_at = 0.0
    admitted_count = 0
    for time in sorted(times):
        tokens = min(burst, tokens + rate_per_s * (time - last_at))
        last_at = time
        if tokens >= 1 - _TOKEN_TOLERANCE:
            tokens -= 1
            admitted_count += 1
    return admitted_count
