"""Detects that the event loop is late for long.

A loop that is late has more work than processor time: timeouts of requests to
other processes then expire although the answer has arrived.
"""

from __future__ import annotations

import math

import attrs

from cassiahead_telemetry import events

__all__ = ["LoopDelayMonitor"]

# A search that waits this long for the event loop has lost most of the time in
# which its answer is on time.
_SLOW_THRESHOLD_S = 0.05
# Single delays are expected, such as those of a large configuration.
_MIN_SLOW_DURATION_S = 1.0
_MIN_REPORT_INTERVAL_S = 5.0


@attrs.define
class LoopDelayMonitor:
    """Logs ``EVENT_LOOP_SLOW`` while all delays exceed a threshold.

    All times are seconds on this process's monotonic clock.
    """

    _slow_since: float = math.inf
    _max_delay_s: float = 0.0
    _last_report_at: float = -math.inf

    def record(self, delay_s: float, now: float) -> None:
        """Records a delay; logs an event if the loop has been late for 1 s.

        The event is logged at most every 5 s.

        Args:
            delay_s: Seconds by which periodic work started late.
            now: Current time.
        """
        if delay_s <= _SLOW_THRESHOLD_S:
            self._slow_since = math.inf
            self._max_delay_s = 0.0
            return
        self._slow_since = min(self._slow_since, now)
        self._max_delay_s = max(self._max_delay_s, delay_s)
        is_report_due = now - self._last_report_at >= _MIN_REPORT_INTERVAL_S
        if now - self._slow_since >= _MIN_SLOW_DURATION_S and is_report_due:
            self._last_report_at = now
            events.log(
                events.Event.EVENT_LOOP_SLOW,
                seconds=round(now - self._slow_since, 2),
                max_delay_s=round(self._max_delay_s, 3),
            )
