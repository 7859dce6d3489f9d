"""Service and queue times of the sub-requests of one search."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_decisions import concurrency_limit

__all__ = ["SearchTimings"]


@attrs.define
class SearchTimings:
    """Times in seconds, in the order in which the answers arrived.

    Attributes:
        service_times_s: Seconds from a request to a target until its complete
            response.
        queue_times_s: Seconds that sub-requests waited for a slot.
    """

    service_times_s: list[float] = attrs.field(factory=list)
    queue_times_s: list[float] = attrs.field(factory=list)

    def report_to(self, limit: concurrency_limit.ConcurrencyLimit) -> None:
        """Reports the mean service and queue times to a concurrency limit.

        Nothing is reported if no queue time is known.

        Args:
            limit: The concurrency limit that allowed the search.
        """
        if not self.queue_times_s:
            return
        mean_service_time_s = (
            statistics.fmean(self.service_times_s)
            if self.service_times_s
            else None
        )
        limit.record_request_times(
            mean_service_time_s,
            statistics.fmean(self.queue_times_s),
            clock.monotonic(),
        )
