"""Signals that targets send with their responses: leaving, and Retry-After.

Load pattern: targets leave one after the other in a deployment, or refuse the
requests of some hosts for a time, while the published records are late or never
say so. A host sends one target a request about once in four seconds, so that
each response has to count, also a late one. Responses may be read out of order:
one without a signal may have been sent before one with it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

__all__ = ["TargetSignals", "parse_retry_after", "time_until_enough_s"]

# Fraction of the drain time for which a leaving target is used if its service
# has no other one. The rest is for requests that are already on their way.
_LAST_RESORT_FRACTION = 0.5


@attrs.define
class TargetSignals:
    """What targets have asked this process for in their responses.

    A leaving target is excluded at once if others can take its requests, and
    otherwise after half of the drain time. A target that sent Retry-After is
    excluded until that time has passed. Both hold until then or until the
    target is forgotten, whatever later responses say.

    All times are seconds on this process's monotonic clock.

    Attributes:
        drain_s: Seconds from the first response that says that a target is
            leaving to the time from which the target must get no requests.
    """

    drain_s: float
    _leaving_since_by_target: dict[str, float] = attrs.field(factory=dict)
    _silence_ends_at_by_target: dict[str, float] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no target is leaving or excluded, so that all are usable."""
        return not (
            self._leaving_since_by_target or self._silence_ends_at_by_target
        )

    @property
    def leaving_count(self) -> int:
        """Number of targets that have said that they are leaving."""
        return len(self._leaving_since_by_target)

    def silent_count(self, now: float) -> int:
        """Returns how many targets are excluded for Retry-After."""
        return sum(
            ends_at > now
            for ends_at in self._silence_ends_at_by_target.values()
        )

    def record_leaving(self, target: str, now: float) -> bool:
        """Records a response that says that its target is leaving.

        Returns:
            Whether it is the first one of the target.
        """
        if target in self._leaving_since_by_target:
            return False
        self._leaving_since_by_target[target] = now
        return True

    def record_retry_after(
        self, target: str, delay_s: float, now: float
    ) -> bool:
        """Records a refusal that asks for no requests for a time.

        A shorter time than one recorded before has no effect.

        Args:
            target: The target.
            delay_s: Seconds without requests, finite and at least 0.
            now: Time at which the response was read.

        Returns:
            Whether the target is excluded for longer than before.
        """
        ends_at = now + delay_s
        previous_ends_at = self._silence_ends_at_by_target.get(target, now)
        if ends_at <= previous_ends_at:
            return False
        self._silence_ends_at_by_target[target] = ends_at
        return True

    def may_send(self, target: str, now: float) -> bool:
        """Returns whether a target may get a request at all."""
        if self.silent_until(target, now) is not None:
            return False
        leaving_since = self._leaving_since_by_target.get(target, math.inf)
        return now - leaving_since < _LAST_RESORT_FRACTION * self.drain_s

    def is_leaving(self, target: str) -> bool:
        """Returns whether a target has said that it is leaving."""
        return target in self._leaving_since_by_target

    def silent_until(self, target: str, now: float) -> float | None:
        """Returns when a target may get requests again after Retry-After.

        Returns:
            The time; None if the target is not excluded for that reason.
        """
        ends_at = self._silence_ends_at_by_target.get(target)
        if ends_at is None:
            return None
        if ends_at <= now:
            del self._silence_ends_at_by_target[target]
            return None
        return ends_at

    def usable_targets(
        self, targets: Collection[str], healthy: Collection[str], now: float
    ) -> list[str]:
        """Returns the targets of a service that may get a request.

        Args:
            targets: Targets of the service that may get new work according to
                the published records.
            healthy: Those that are neither cold nor ejected for failures: one
                of them suffices to replace a leaving target.
            now: Current time.
        """
        allowed = [t for t in targets if self.may_send(t, now)]
        staying = [t for t in allowed if not self.is_leaving(t)]
        return staying if any(t in healthy for t in staying) else allowed

    def first_silence_end(
        self, targets: Iterable[str], now: float
    ) -> float | None:
        """Returns when the first of some targets may be used again.

        Leaving targets are not counted.

        Returns:
            The time; None if no target is excluded for Retry-After alone.
        """
        return min(
            (
                ends_at
                for target in targets
                if (ends_at := self.silent_until(target, now)) is not None
                and not self.is_leaving(target)
            ),
            default=None,
        )

    def forget_target(self, target: str) -> None:
        """Drops the signals of a target that was replaced or has gone."""
        self._leaving_since_by_target.pop(target, None)
        self._silence_ends_at_by_target.pop(target, None)


def parse_retry_after(value: str) -> float | None:
    """Returns the seconds of a Retry-After header.

    Args:
        value: Value of the header.

    Returns:
        Seconds, at least 0; None if the value is not a finite decimal number of
        at least 0, such as a date.
    """
    if not value.isascii() or "_" in value:
        return None
    try:
        delay_s = float(value)
    except ValueError:
        return None
    return delay_s if math.isfinite(delay_s) and delay_s >= 0 else None


def time_until_enough_s(
    usable_at: Iterable[float | None], missing_count: int, now: float
) -> float | None:
    """Returns the time until enough unavailable services may be used again.

    Args:
        usable_at: When each unavailable service may be used again; None if that
            is unknown.
        missing_count: How many of them are needed.
        now: Current time.

    Returns:
        Seconds; None if too few times are known, or none is needed.
    """
    known = sorted(t for t in usable_at if t is not None)
    if not 0 < missing_count <= len(known):
        return None
    return max(0.0, known[missing_count - 1] - now)
