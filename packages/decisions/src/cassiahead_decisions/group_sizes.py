"""Number of members of a group of peers, as its partner reports it.

Load pattern: a part of the fleet is out of reach for a time, and goes on using
its share of the fleet-wide limits.
"""

from __future__ import annotations

import attrs

__all__ = ["REACHABLE_TIMEOUT_S", "GroupSize"]

# A peer without a heartbeat for this long is unreachable: it has missed two
# heartbeats of an idle fleet.
REACHABLE_TIMEOUT_S = 2.5
# The largest size of a group within about this time counts as its size: a part
# of the fleet that is out of reach goes on using its share of the limits.
_SIZE_RETENTION_S = 30.0


@attrs.define
class _RetainedCount:
    """Highest value of a count within about the last 30 s.

    Attributes:
        count: The last value.
        recorded_at: Time of the last value.
        window_started_at: Start of the current window.
        max_count: Highest value of the current window.
        previous_max_count: Highest value of the window before.
    """

    count: int
    recorded_at: float
    window_started_at: float
    max_count: int
    previous_max_count: int = 0

    @classmethod
    def at_start(cls, count: int, now: float) -> _RetainedCount:
        """Creates the count with its first value."""
        return cls(count, now, now, count)

    def record(self, count: int, now: float) -> None:
        """Records a value."""
        self._rotate(now)
        self.count = count
        self.recorded_at = now
        self.max_count = max(self.max_count, count)

    def lower(self, difference: int) -> None:
        """Lowers the retained values."""
        self.max_count -= difference
        self.previous_max_count -= difference

    def highest(self, now: float) -> int:
        """Returns the highest value of about the last 30 s."""
        self._rotate(now)
        return max(self.max_count, self.previous_max_count)

    def _rotate(self, now: float) -> None:
        window_s = _SIZE_RETENTION_S / 2
        elapsed_s = now - self.window_started_at
        if elapsed_s < window_s:
            return
        is_recent = now - self.recorded_at < window_s
        current_count = self.count if is_recent else 0
        self.previous_max_count = (
            self.max_count if elapsed_s < 2 * window_s else current_count
        )
        self.max_count = current_count
        self.window_started_at = now


@attrs.define
class GroupSize:
    """Number of members of a group.

    Attributes:
        reported_at: Time of the last report.
        leaving_count: Members that were shutting down then.
        members: All members, also those that were shutting down.
        staying: Members that were not shutting down. Those that shut down in an
            orderly way are not retained.
    """

    reported_at: float
    leaving_count: int
    members: _RetainedCount
    staying: _RetainedCount

    @classmethod
    def from_report(
        cls, staying_count: int, leaving_count: int, now: float
    ) -> GroupSize:
        """Creates the size with its first report."""
        return cls(
            now,
            leaving_count,
            _RetainedCount.at_start(staying_count + leaving_count, now),
            _RetainedCount.at_start(staying_count, now),
        )

    def record(
        self, staying_count: int, leaving_count: int, now: float
    ) -> None:
        """Records a report."""
        self.reported_at = now
        self.members.record(staying_count + leaving_count, now)
        newly_leaving_count = max(0, leaving_count - self.leaving_count)
        self.leaving_count = leaving_count
        self.staying.lower(newly_leaving_count)
        self.staying.record(staying_count, now)

    def is_reachable(self, now: float) -> bool:
        """Returns whether there was a report lately."""
        return now - self.reported_at < REACHABLE_TIMEOUT_S
