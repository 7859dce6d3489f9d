"""Targets that a restored configuration service lists although they had left.

The backup that a service is restored from may hold records of targets that have
announced their end or deleted their records since. Such a target is withheld:
it gets no requests until its record is written in the new era. A target that
has restarted is another instance, with a record of its own.

Load pattern: a service that is restored, once or several times in a row, while
targets start and stop.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["TargetInstance", "WithheldTargets"]

# Time for which a removed target is remembered. It exceeds the age of the
# backup plus the time that the service is away.
_REMOVAL_RETENTION_S = 60.0


@attrs.frozen
class TargetInstance:
    """One run of a target.

    Attributes:
        target_id: Id of the target, which it keeps over restarts.
        started_at_epoch_ms: When the target started, in milliseconds since the
            Unix epoch; 0 if unknown.
    """

    target_id: str
    started_at_epoch_ms: int


@attrs.define
class WithheldTargets:
    """The targets removed lately, and those that are withheld.

    All times are seconds on this process's monotonic clock.
    """

    _removed_at: dict[TargetInstance, float] = attrs.field(factory=dict)
    _withheld: set[TargetInstance] = attrs.field(factory=set)

    @property
    def is_empty(self) -> bool:
        """Whether no target is withheld."""
        return not self._withheld

    def is_withheld(self, instance: TargetInstance) -> bool:
        """Returns whether a target must not get requests."""
        return instance in self._withheld

    def record_removed(self, instance: TargetInstance, now: float) -> None:
        """Records that a target's record was deleted or replaced."""
        self._withheld.discard(instance)
        # Inserted anew, so that the oldest removals come first.
        self._removed_at.pop(instance, None)
        self._removed_at[instance] = now

    def record_written(self, instance: TargetInstance) -> None:
        """Records that a target's record was written in the current era."""
        self._withheld.discard(instance)
        self._removed_at.pop(instance, None)

    def enter_era(self, leaving: Iterable[TargetInstance], now: float) -> None:
        """Withholds the targets that have left; called before the listing.

        Targets that are withheld stay so.

        Args:
            leaving: Targets whose records say that they are leaving.
            now: Current time.
        """
        self.forget_expired(now)
        self._withheld.update(leaving)
        self._withheld.update(self._removed_at)

    def end_listing(self, known: Iterable[TargetInstance]) -> int:
        """Forgets withheld targets without a record in the new era.

        A record of theirs that appears later is written in the new era.

        Args:
            known: Targets after the listing was applied.

        Returns:
            The number of targets that are withheld.
        """
        self._withheld.intersection_update(known)
        return len(self._withheld)

    def forget_expired(self, now: float) -> None:
        """Forgets the targets that were removed too long ago."""
        for instance, removed_at in list(self._removed_at.items()):
            if now - removed_at <= _REMOVAL_RETENTION_S:
                break
            del self._removed_at[instance]
