"""The published targets as this process knows them."""

from __future__ import annotations

from collections.abc import Callable
import math

import attrs

from cassiahead_decisions import withheld_targets
from cassiahead_gateway import api
from cassiahead_telemetry import events

__all__ = ["ChangeOrigin", "TargetCatalogue"]

# During an outage of the configuration service, records of running targets
# expire; the targets publish them again within this time after the outage. A
# target whose record is deleted within this time may therefore be running and
# lingers: it is kept until ``_LINGER_TIMEOUT_S`` after the outage. An outage
# ends for this process when the process learns of the first read afterwards.
# A restored service may lack records of running targets in the same way.
_REPUBLISH_WINDOW_S = 2.0
# Time after the end of an outage at which lingering targets are removed, unless
# their records have been published again.
_LINGER_TIMEOUT_S = 2.2
# Targets that appear within this time after the first one of their service are
# not new: a process that starts, or a new service, learns of all in this time.
_SERVICE_DISCOVERY_S = 5.0


@attrs.frozen
class ChangeOrigin:
    """Where a change of a record comes from.

    Attributes:
        source: Process or service that sent the change, for the log.
        age_s: Seconds since a read showed that the change was current.
        now: Time in seconds on this process's monotonic clock.
        era: Era of the configuration service that the change belongs to.
        enters_era: Whether the change is from the listing with which this
            process enters the era.
        listing_revision: Revision of the listing with which the era was
            entered. Records with higher revisions were written in the era.
    """

    source: str
    age_s: float
    now: float
    era: int = 0
    enters_era: bool = False
    listing_revision: int = 0


@attrs.define(eq=False)
class TargetCatalogue:
    """The targets, and which of them may get requests.

    Attributes:
        on_target_gone: Called with the id of each target that is removed or
            replaced by another one of the same id.
        on_target_started: Called with the id of each target that has just
            started, and the time at which its cold start ends or has ended.
    """

    on_target_gone: Callable[[str], None]
    on_target_started: Callable[[str, float], None]
    _first_target_at_by_service: dict[str, float] = attrs.field(factory=dict)
    _target_by_id: dict[str, api.Target] = attrs.field(factory=dict)
    _targets_by_service: dict[str, dict[str, api.Target]] = attrs.field(
        factory=dict
    )
    _cold_start_ends_at_by_target_id: dict[str, float] = attrs.field(
        factory=dict
    )
    _linger_ends_at_by_target_id: dict[str, float] = attrs.field(factory=dict)
    _withheld: withheld_targets.WithheldTargets = attrs.field(
        factory=withheld_targets.WithheldTargets
    )
    _outage_ended_at: float = -math.inf

    @property
    def count(self) -> int:
        """Number of targets known, including those that get no new work."""
        return len(self._target_by_id)

    def knows(self, target_id: str) -> bool:
        """Returns whether a target is known, usable or not."""
        return target_id in self._target_by_id

    def find(self, target_id: str) -> api.Target | None:
        """Returns a target that is known, usable or not."""
        return self._target_by_id.get(target_id)

    def knows_incarnation(self, target: api.Target) -> bool:
        """Returns whether a target is known and has not been replaced."""
        known_target = self._target_by_id.get(target.id)
        return known_target is not None and not _is_replacement(
            known_target, target
        )

    def usable(self, service: str) -> list[api.Target]:
        """Returns the targets of a service that may get new work.

        Excludes targets that are leaving or withheld.
        """
        targets = [
            target
            for target in self._targets_by_service.get(service, {}).values()
            if not target.is_leaving
        ]
        if self._withheld.is_empty:
            return targets
        return [target for target in targets if not self._is_withheld(target)]

    def is_cold(self, target_id: str, now: float) -> bool:
        """Returns whether a target is in cold start."""
        return (
            self._cold_start_ends_at_by_target_id.get(target_id, -math.inf)
            > now
        )

    def cold_start_ends_at(self, target_id: str) -> float:
        """Returns when a target's cold start ends; may be in the past."""
        return self._cold_start_ends_at_by_target_id.get(target_id, -math.inf)

    def mark_cold(
        self, target: api.Target, duration_s: float, now: float
    ) -> bool:
        """Treats a target as in cold start; see ``Catalogue.mark_cold``."""
        if not self.knows_incarnation(target):
            return False
        ends_at = now + duration_s
        known_ends_at = self._cold_start_ends_at_by_target_id.get(
            target.id, -math.inf
        )
        if ends_at <= known_ends_at:
            return False
        self._cold_start_ends_at_by_target_id[target.id] = ends_at
        return True

    def record_outage_end(self, now: float) -> None:
        """Records that records of running targets may be missing until now."""
        self._outage_ended_at = now

    def enter_era(self, now: float) -> None:
        """Prepares for the listing of a newer era.

        Targets that have left are withheld, and running ones that the listing
        lacks linger as after an outage.
        """
        self._withheld.enter_era(
            [_instance(t) for t in self._target_by_id.values() if t.is_leaving],
            now,
        )
        self.record_outage_end(now)

    def end_listing(self) -> int:
        """Ends the listing of a newer era.

        Returns:
            The number of targets that are withheld.
        """
        return self._withheld.end_listing(
            _instance(target) for target in self._target_by_id.values()
        )

    def apply(
        self, target: api.Target, revision: int, origin: ChangeOrigin
    ) -> None:
        """Applies the record of a target.

        Args:
            target: The target as published.
            revision: Revision of the record.
            origin: Where the record comes from.
        """
        was_withheld = self._is_withheld(target)
        stays_withheld = was_withheld and revision <= origin.listing_revision
        known_target = self._target_by_id.get(target.id)
        if known_target is not None and _is_replacement(known_target, target):
            if stays_withheld:
                # The backup has an earlier instance of the target.
                self.remove(known_target, revision, origin)
                return
            self._forget(target.id, origin.now)
            known_target = None
        if not stays_withheld:
            self._withheld.record_written(_instance(target))
        self._linger_ends_at_by_target_id.pop(target.id, None)
        self._target_by_id[target.id] = target
        self._targets_by_service.setdefault(target.service, {})[target.id] = (
            target
        )
        if target.cold_start_remaining_s > 0:
            self._cold_start_ends_at_by_target_id[target.id] = (
                origin.now + target.cold_start_remaining_s
            )
        if not stays_withheld:
            self._report_start(target, known_target is None, origin.now)
        if target.is_leaving:
            self._log(events.Event.TARGET_LEAVING, target, revision, origin)
        elif stays_withheld:
            self._log(events.Event.TARGET_WITHHELD, target, revision, origin)
        elif known_target is None or was_withheld:
            self._log(events.Event.TARGET_APPEARED, target, revision, origin)

    def _report_start(
        self, target: api.Target, is_unknown: bool, now: float
    ) -> None:
        """Reports a target that is cold, or new in a service known before.

        Args:
            target: Target as in the newest record.
            is_unknown: Whether the target has appeared or was replaced.
            now: Current time.
        """
        first_target_at = self._first_target_at_by_service.setdefault(
            target.service, now
        )
        if target.is_leaving:
            return
        if target.cold_start_remaining_s > 0:
            self.on_target_started(
                target.id, now + target.cold_start_remaining_s
            )
        elif is_unknown and now - first_target_at >= _SERVICE_DISCOVERY_S:
            self.on_target_started(target.id, now)

    def remove(
        self, target: api.Target, revision: int, origin: ChangeOrigin
    ) -> None:
        """Removes a target without a record, at once or after a while.

        Args:
            target: The target.
            revision: Revision of the deletion.
            origin: Where the deletion comes from.
        """
        if target.id not in self._target_by_id:
            return
        if (
            origin.now - self._outage_ended_at < _REPUBLISH_WINDOW_S
            and not target.is_leaving
            and not self._is_withheld(target)
        ):
            self._linger_ends_at_by_target_id[target.id] = (
                self._outage_ended_at + _LINGER_TIMEOUT_S
            )
            event = events.Event.TARGET_LINGERS
        else:
            self._forget(target.id, origin.now)
            event = events.Event.TARGET_GONE
        events.log(
            event,
            target=target.id,
            service=target.service,
            revision=revision,
            source=origin.source,
        )

    def forget_expired(self, now: float) -> None:
        """Removes targets that linger past the timeout, and ended cold starts.

        Args:
            now: Time in seconds on this process's monotonic clock.
        """
        for target_id, ends_at in list(
            self._linger_ends_at_by_target_id.items()
        ):
            if now >= ends_at:
                del self._linger_ends_at_by_target_id[target_id]
                self._forget(target_id, now)
        for target_id, ends_at in list(
            self._cold_start_ends_at_by_target_id.items()
        ):
            if now >= ends_at:
                del self._cold_start_ends_at_by_target_id[target_id]
        self._withheld.forget_expired(now)

    def _is_withheld(self, target: api.Target) -> bool:
        return self._withheld.is_withheld(_instance(target))

    def _forget(self, target_id: str, now: float) -> None:
        target = self._target_by_id.pop(target_id, None)
        if target is None:
            return
        self._withheld.record_removed(_instance(target), now)
        self._targets_by_service[target.service].pop(target_id, None)
        self._cold_start_ends_at_by_target_id.pop(target_id, None)
        self.on_target_gone(target_id)

    def _log(
        self,
        event: events.Event,
        target: api.Target,
        revision: int,
        origin: ChangeOrigin,
    ) -> None:
        events.log(
            event,
            target=target.id,
            service=target.service,
            failure_domain=target.failure_domain,
            cold_s=target.cold_start_remaining_s,
            revision=revision,
            source=origin.source,
        )


def _instance(target: api.Target) -> withheld_targets.TargetInstance:
    return withheld_targets.TargetInstance(
        target.id, target.started_at_epoch_ms
    )


def _is_replacement(known_target: api.Target, target: api.Target) -> bool:
    """Returns whether a target restarted or changed its address or service.

    Args:
        known_target: Target as known so far.
        target: Target with the same id in a newer record.
    """
    return (
        known_target.started_at_epoch_ms != target.started_at_epoch_ms
        or known_target.address != target.address
        or known_target.service != target.service
    )
