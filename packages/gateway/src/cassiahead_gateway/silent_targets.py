"""Refusals while too few services have a target that accepts requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahead_decisions import target_signals
from cassiahead_wire import clock

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cassiahead_gateway import target_selection

__all__ = ["retry_after_s"]

# Shortest time that a refusal asks its caller to wait.
_MIN_RETRY_AFTER_S = 0.05


def retry_after_s(
    targets_of_services: Sequence[target_selection.ServiceTargets],
    required_count: int,
    default_s: float,
) -> float:
    """Returns after how many seconds a refused request may be served.

    Args:
        targets_of_services: Targets of each service of the request, as of now.
        required_count: Number of services that must answer.
        default_s: Seconds to return if the services that lack a target have
            none for other reasons than Retry-After.
    """
    available_count = sum(t.has_available for t in targets_of_services)
    delay_s = target_signals.time_until_enough_s(
        (t.usable_at for t in targets_of_services),
        required_count - available_count,
        clock.monotonic(),
    )
    return default_s if delay_s is None else max(_MIN_RETRY_AFTER_S, delay_s)
