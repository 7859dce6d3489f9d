"""Choice of the targets that a host sends health checks to in an outage.

While the configuration service does not respond, the records do not tell which
targets turn cold. Health checks tell, but cost the fleet requests, so that a
host sends them only in an outage, and only to targets whose responses were slow
or failed.

Load pattern: an outage of the configuration service in a fleet of any size,
during which one target, or all targets of a failure domain at once, restart and
turn cold.
"""

from __future__ import annotations

import math

import attrs

__all__ = ["HealthCheckSchedule", "are_records_old"]

# Records of this age are not read any more: a read takes at most about 2 s.
_MAX_RECORDS_AGE_S = 2.5
_MIN_INTERVAL_S = 1.0
# A suspicion older than this says little about the target's present state.
_SUSPICION_TIMEOUT_S = 5.0


def are_records_old(records_age_s: float) -> bool:
    """Returns whether the records may miss that targets have turned cold.

    Args:
        records_age_s: Seconds since the records were last known to be current.
    """
    return records_age_s > _MAX_RECORDS_AGE_S


@attrs.define
class HealthCheckSchedule:
    """Decides when this host checks which target.

    All times are seconds on this process's monotonic clock.
    """

    _suspected_at_by_target: dict[str, float] = attrs.field(factory=dict)
    _checked_at_by_target: dict[str, float] = attrs.field(factory=dict)
    _last_check_at: float = -math.inf

    def record_suspicion(
        self, target: str, records_age_s: float, now: float
    ) -> None:
        """Records a slow or failed response of a target.

        Has no effect unless the records are old.

        Args:
            target: Name of the target.
            records_age_s: See ``are_records_old``.
            now: Current time.
        """
        if are_records_old(records_age_s):
            self._suspected_at_by_target[target] = now

    def take_due(self, records_age_s: float, now: float) -> str | None:
        """Chooses the target to check now, if a check is due.

        Of the suspected targets, the one that was checked least recently is
        chosen; each choice counts as a check.

        Args:
            records_age_s: See ``are_records_old``.
            now: Current time.

        Returns:
            The name of the target; None if no check is due.
        """
        self._forget_outdated(records_age_s, now)
        if not self._suspected_at_by_target or now < self._next_check_at:
            return None
        target = min(
            self._suspected_at_by_target,
            key=lambda t: self._checked_at_by_target.get(t, -math.inf),
        )
        del self._suspected_at_by_target[target]
        self._checked_at_by_target[target] = now
        self._last_check_at = now
        return target

    def next_due_in_s(self, now: float) -> float | None:
        """Returns the seconds until a check may be due; None if none is."""
        if not self._suspected_at_by_target:
            return None
        return max(0.0, self._next_check_at - now)

    def forget_target(self, target: str) -> None:
        """Drops the state of a target that is gone."""
        self._suspected_at_by_target.pop(target, None)
        self._checked_at_by_target.pop(target, None)

    @property
    def _next_check_at(self) -> float:
        return self._last_check_at + _MIN_INTERVAL_S

    def _forget_outdated(self, records_age_s: float, now: float) -> None:
        if not are_records_old(records_age_s):
            self._suspected_at_by_target.clear()
            self._checked_at_by_target.clear()
            return
        for target, suspected_at in list(self._suspected_at_by_target.items()):
            if now - suspected_at > _SUSPICION_TIMEOUT_S:
                del self._suspected_at_by_target[target]
