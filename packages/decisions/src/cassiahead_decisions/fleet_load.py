"""Load of destinations over the fleet, and which requests are admitted.

Every process counts its requests by destination and priority, learns the counts
of the other processes from reports (see ``load_counts``), and derives from the
sums the level of each destination (see ``admission_level``). The levels of the
processes are drawn together by the reports, so that all leave out the same
requests. Nothing is reported of a destination without refusals for lack of
capacity in the last seconds.

Load pattern: several times the load that targets serve, at all hosts or at some
of them, for one destination of several.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import admission_level
from cassiahead_decisions import load_counts

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

__all__ = ["FleetLoad", "LevelChange", "Refusal", "destination_digest"]

MAX_DESTINATION_COUNT = 8
MAX_PRIORITY_COUNT = 4
# Destinations with a refusal within this time are reported.
_ACTIVITY_WINDOW_S = 5.0
# Interval between updates of the levels.
_UPDATE_INTERVAL_S = 0.1
# A change of a level is notable from this amount on, once in the interval.
_NOTABLE_CHANGE = 0.25
_CHANGE_INTERVAL_S = 1.0
# A left-out request may return in the half second after the next one begins.
_RETRY_PERIOD_S = 0.5
_MIN_RETRY_AFTER_S = 0.05
# Hexadecimal digits of a fingerprint for the position and for the spread of
# retries; those for the sampling of accounts are others.
_POSITION_DIGITS = slice(8, 16)
_SPREAD_DIGITS = slice(16, 24)
_DIGEST_BYTES = 4


@attrs.frozen
class Refusal:
    """Why a request was left out.

    Attributes:
        level: Admission level of the destination.
        admitted_fraction: Fraction of the priority's requests that is admitted.
        retry_after_s: Seconds until a retry may be admitted.
    """

    level: float
    admitted_fraction: float
    retry_after_s: float


@attrs.frozen
class LevelChange:
    """A notable change of a level, with its inputs.

    Attributes:
        destination: Digest of the destination.
        previous_level: Level at the last notable change.
        level: Level now.
        capacity_per_s: Requests per second that the destination is expected to
            serve; infinite if unknown.
        rates: Rates of each priority over the fleet, the highest priority
            first.
    """

    destination: str
    previous_level: float
    level: float
    capacity_per_s: float
    rates: tuple[load_counts.PriorityRates, ...]


@attrs.define
class _Destination:
    """State of one destination.

    Attributes:
        priorities: Its priorities, the highest first.
        counts: Its counts.
        level: Its level.
        noted_level: Level at the last notable change.
        noted_at: Time of the last notable change.
        active_since: Time at which it became active; negative infinity while
            it is not.
    """

    priorities: tuple[int, ...]
    counts: load_counts.DestinationCounts
    level: admission_level.AdmissionLevel
    noted_level: float
    noted_at: float = -math.inf
    active_since: float = -math.inf

    def is_active(self, now: float) -> bool:
        """Returns whether a request was refused lately."""
        return now - self.counts.last_refused_at < _ACTIVITY_WINDOW_S

    def note_activity(self, now: float) -> None:
        """Updates whether the destination is active."""
        if not self.is_active(now):
            self.active_since = -math.inf
        elif math.isinf(self.active_since):
            self.active_since = now
            self.level.activate(now)

    def rank(self, priority: int) -> int:
        """Returns the rank of a priority; unknown ones as the next higher."""
        return max(
            0, sum(1 for known in self.priorities if known <= priority) - 1
        )


def destination_digest(services: Iterable[str]) -> str:
    """Returns the digest of a set of services, the same in all processes."""
    text = "\n".join(sorted(set(services)))
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()


@attrs.define
class FleetLoad:
    """Counts and levels of all destinations with several priorities.

    All times are seconds on this process's monotonic clock.
    """

    _started_at: float
    _destinations: dict[str, _Destination] = attrs.field(factory=dict)
    _updated_at: float = -math.inf

    def set_priorities(
        self, priorities: Mapping[str, Iterable[int]], now: float
    ) -> None:
        """Replaces the destinations.

        A destination that keeps its priorities keeps its state. One with fewer
        than two priorities has no level and is not counted.

        Args:
            priorities: Priorities that requests may have, by digest of the
                destination. Those after the fourth count as the fourth.
            now: Current time.
        """
        previous = self._destinations
        self._destinations = {}
        is_settled = now - self._started_at > _ACTIVITY_WINDOW_S
        for digest, values in priorities.items():
            ordered = tuple(sorted(set(values)))[:MAX_PRIORITY_COUNT]
            if len(ordered) < 2:  # noqa: PLR2004
                continue
            kept = previous.get(digest)
            if kept is not None and kept.priorities == ordered:
                self._destinations[digest] = kept
                continue
            self._destinations[digest] = _Destination(
                ordered,
                kept.counts if kept else load_counts.DestinationCounts(),
                admission_level.AdmissionLevel.at_start(
                    len(ordered), now, is_settled=is_settled
                ),
                float(len(ordered)),
            )

    def try_admit(
        self,
        digest: str,
        priority: int,
        fingerprint: str,
        now: float,
        unix_time_s: float,
    ) -> Refusal | None:
        """Counts a request and decides whether it is admitted.

        Args:
            digest: Digest of the destination.
            priority: Priority of the request.
            fingerprint: Hexadecimal digest of the request's content, the same
                for all its repetitions.
            now: Current time.
            unix_time_s: Seconds since 1970.

        Returns:
            None if the request is admitted; else why it is left out.
        """
        destination = self._destinations.get(digest)
        if destination is None:
            return None
        self._count(destination, priority, load_counts.Counts(requested=1), now)
        level = destination.level
        rank = destination.rank(priority)
        if level.admits(rank, _unit_value(fingerprint, _POSITION_DIGITS)):
            return None
        return Refusal(
            level.level,
            level.admitted_fraction(rank),
            _retry_after_s(fingerprint, unix_time_s),
        )

    def record_start(self, digest: str, priority: int, now: float) -> None:
        """Counts a request that targets had capacity for."""
        destination = self._destinations.get(digest)
        if destination is not None:
            counts = load_counts.Counts(started=1)
            self._count(destination, priority, counts, now)

    def record_refusal(self, digest: str, priority: int, now: float) -> None:
        """Counts a request that was refused for lack of capacity."""
        destination = self._destinations.get(digest)
        if destination is not None:
            counts = load_counts.Counts(refused=1)
            self._count(destination, priority, counts, now)

    def update(self, now: float) -> None:
        """Updates the levels of the destinations; does nothing too soon."""
        if now - self._updated_at < _UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        for destination in self._destinations.values():
            level = destination.level
            if destination.counts.sample(now):
                level.unsettle(now)
            destination.note_activity(now)
            if destination.is_active(now) or level.is_restrictive:
                level.update(
                    destination.counts.rates(destination.priorities), now
                )
            else:
                level.forget_capacity()

    def level(self, digest: str) -> float | None:
        """Returns the level of a destination; None for one without a level."""
        destination = self._destinations.get(digest)
        return destination.level.level if destination else None

    def levels(self) -> dict[str, float]:
        """Returns the levels of all destinations that have one."""
        return {
            digest: destination.level.level
            for digest, destination in self._destinations.items()
        }

    def is_active(self, now: float) -> bool:
        """Returns whether there is something to report."""
        return any(d.is_active(now) for d in self._destinations.values())

    def active_since(self) -> float:
        """Returns when the last overload began that lasts; -inf without one."""
        return max(
            (d.active_since for d in self._destinations.values()),
            default=-math.inf,
        )

    def versions(self, lowest_group: int, now: float) -> dict[str, int]:
        """Returns a number of each destination that grows with its counts.

        Args:
            lowest_group: Groups with lower numbers are left out.
            now: Current time.
        """
        return {
            digest: sum(
                counts.requested + counts.started + counts.refused
                for counts in destination.counts.totals(lowest_group).values()
            )
            for digest, destination in self._active_destinations(now)
        }

    def reports(
        self, digests: Sequence[str], lowest_group: int, now: float
    ) -> list[load_counts.LoadReport]:
        """Returns the reports of some destinations for a peer.

        Args:
            digests: Digests of the destinations.
            lowest_group: The counts of this process and of the groups with this
                and higher numbers are reported.
            now: Current time.
        """
        return [
            _report(digest, self._destinations[digest], lowest_group, now)
            for digest in digests
            if digest in self._destinations
        ]

    def merge_reports(
        self,
        group: int,
        process_name: str,
        reports: Iterable[load_counts.LoadReport],
        now: float,
    ) -> None:
        """Merges the reports of a group's partner.

        Args:
            group: Number of the group.
            process_name: Name of the partner's process, new at each start.
            reports: Its reports. Those of unknown destinations are ignored.
            now: Current time.
        """
        for report in reports:
            destination = self._destinations.get(report.destination)
            if destination is None:
                continue
            destination.counts.merge(
                group, process_name, report.counts_by_priority(), now
            )
            destination.note_activity(now)
            if report.level is not None:
                destination.level.merge_peer(
                    report.level, report.capacity_per_s, now
                )

    def take_changes(self, now: float) -> list[LevelChange]:
        """Returns the notable changes of levels since the last call."""
        changes = []
        for digest, destination in self._destinations.items():
            level = destination.level
            difference = abs(level.level - destination.noted_level)
            is_end = difference > 0 and not level.is_restrictive
            if difference < _NOTABLE_CHANGE and not is_end:
                continue
            if now - destination.noted_at < _CHANGE_INTERVAL_S:
                continue
            changes.append(
                LevelChange(
                    digest,
                    destination.noted_level,
                    level.level,
                    level.capacity_per_s,
                    tuple(destination.counts.rates(destination.priorities)),
                )
            )
            destination.noted_level = level.level
            destination.noted_at = now
        return changes

    def _count(
        self,
        destination: _Destination,
        priority: int,
        counts: load_counts.Counts,
        now: float,
    ) -> None:
        known = destination.priorities[destination.rank(priority)]
        destination.counts.add_own(known, counts, now)

    def _active_destinations(
        self, now: float
    ) -> list[tuple[str, _Destination]]:
        active = [
            (digest, destination)
            for digest, destination in self._destinations.items()
            if destination.is_active(now)
        ]
        return sorted(active, key=lambda item: item[0])[:MAX_DESTINATION_COUNT]


def _report(
    digest: str, destination: _Destination, lowest_group: int, now: float
) -> load_counts.LoadReport:
    level = destination.level
    capacity_per_s = level.capacity_per_s
    is_settled = level.is_settled(now)
    return load_counts.LoadReport(
        digest,
        [
            [priority, counts.requested, counts.started, counts.refused]
            for priority, counts in sorted(
                destination.counts.totals(lowest_group).items()
            )
        ],
        round(level.level, 2) if is_settled else None,
        round(capacity_per_s, 1)
        if is_settled and math.isfinite(capacity_per_s)
        else None,
    )


def _unit_value(fingerprint: str, digits: slice) -> float:
    """Returns a number from 0 to below 1 from digits of a fingerprint."""
    text = fingerprint[digits]
    return int(text, 16) / float(1 << 4 * len(text))


def _retry_after_s(fingerprint: str, unix_time_s: float) -> float:
    """Returns the seconds until a left-out request may return.

    Requests return in the half second after the current one, at a time that
    depends on the fingerprint, so that not all callers return at once.
    """
    until_next_s = _RETRY_PERIOD_S - unix_time_s % _RETRY_PERIOD_S
    spread_s = _RETRY_PERIOD_S * _unit_value(fingerprint, _SPREAD_DIGITS)
    return max(_MIN_RETRY_AFTER_S, until_next_s + spread_s)
