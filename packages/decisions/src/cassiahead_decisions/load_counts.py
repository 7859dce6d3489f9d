"""Counts of requests by destination and priority, over the whole fleet.

Each process counts its own requests. The partner of each group of peers (see
``peer_groups``) reports the cumulative counts of its group. Only the increase
from one report of a partner to its next one is added, so that a report that is
lost, repeated or late, a partner that is replaced, and a process that restarts
add nothing twice.

Load pattern: hosts restart, freeze and are cut off while the fleet is
overloaded.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Counts", "DestinationCounts", "LoadReport", "PriorityRates"]

# Time over which rates are averaged.
WINDOW_S = 1.5
# After a longer time without a report, the increase lies mostly before the
# window and is left out.
_MAX_REPORT_GAP_S = 3.0
# Longest time between two samples of the totals; after a longer one, the
# process was suspended, and the rates begin anew.
_MAX_SAMPLE_GAP_S = 1.5
# Shortest time that rates are computed over.
_MIN_WINDOW_S = 0.25
# A row of a report: a priority and its three counts.
_ROW_LENGTH = 4


@attrs.frozen
class Counts:
    """Numbers of requests of one priority.

    Attributes:
        requested: Requests for the destination, including those left out.
        started: Requests that targets had capacity for.
        refused: Requests refused for lack of capacity.
    """

    requested: int = 0
    started: int = 0
    refused: int = 0

    def plus(self, other: Counts) -> Counts:
        """Returns the sums."""
        return Counts(
            self.requested + other.requested,
            self.started + other.started,
            self.refused + other.refused,
        )

    def increase_since(self, earlier: Counts) -> Counts:
        """Returns the differences; 0 for a count that is lower than before."""
        return Counts(
            max(0, self.requested - earlier.requested),
            max(0, self.started - earlier.started),
            max(0, self.refused - earlier.refused),
        )


@attrs.frozen
class PriorityRates:
    """Rates of requests of one priority, in requests per second.

    Attributes:
        requested: See ``Counts``.
        started: See ``Counts``.
        refused: See ``Counts``.
    """

    requested: float = 0.0
    started: float = 0.0
    refused: float = 0.0


def _check_rows(_: object, __: object, rows: list[list[int]]) -> None:
    for row in rows:
        if len(row) != _ROW_LENGTH or min(row[1:]) < 0:
            raise ValueError("expected a priority and three counts")


def _check_level(_: object, __: object, level: float | None) -> None:
    if level is not None and level < 0:
        raise ValueError("a level is negative")


@attrs.frozen
class LoadReport:
    """Load of one destination, as one process reports it for its group.

    Attributes:
        destination: Digest of the destination.
        counts: For each priority: the priority and the numbers of requests
            requested, started and refused since the sender's start.
        level: Admission level of the sender; None if it has none to tell.
        capacity_per_s: Requests per second that the sender expects the
            destination to serve, over the fleet; None if it has no estimate.
    """

    destination: str
    counts: list[list[int]] = attrs.field(validator=_check_rows)
    level: float | None = attrs.field(default=None, validator=_check_level)
    capacity_per_s: float | None = attrs.field(
        default=None, validator=_check_level
    )

    def counts_by_priority(self) -> dict[int, Counts]:
        """Returns the counts by priority."""
        return {row[0]: Counts(*row[1:]) for row in self.counts}


@attrs.define
class _GroupCounts:
    """Counts of one group of peers.

    Attributes:
        process_name: Process of the partner that reported last; empty before
            the first report.
        reported_at: Time of the last report.
        reported: Counts of the last report, by priority.
        heard: Increase since this process's start, by priority.
    """

    process_name: str = ""
    reported_at: float = -math.inf
    reported: dict[int, Counts] = attrs.field(factory=dict)
    heard: dict[int, Counts] = attrs.field(factory=dict)


@attrs.define
class DestinationCounts:
    """Counts of one destination, by priority.

    All times are seconds on this process's monotonic clock.

    Attributes:
        last_refused_at: Time at which this process refused a request for lack
            of capacity, or learned that another one did.
    """

    last_refused_at: float = -math.inf
    _own: dict[int, Counts] = attrs.field(factory=dict)
    _groups: dict[int, _GroupCounts] = attrs.field(factory=dict)
    _samples: list[tuple[float, dict[int, Counts]]] = attrs.field(factory=list)

    def add_own(self, priority: int, counts: Counts, now: float) -> None:
        """Counts requests of this process."""
        self._own[priority] = self._own.get(priority, Counts()).plus(counts)
        if counts.refused:
            self.last_refused_at = now

    def merge(
        self,
        group: int,
        process_name: str,
        counts: Mapping[int, Counts],
        now: float,
    ) -> None:
        """Merges the cumulative counts that a group's partner has reported.

        Args:
            group: Number of the group.
            process_name: Name of the partner's process, new at each start.
            counts: Cumulative counts of the group by priority.
            now: Current time.
        """
        state = self._groups.setdefault(group, _GroupCounts())
        is_other_partner = process_name != state.process_name
        is_first_report = not state.process_name
        is_late = now - state.reported_at > _MAX_REPORT_GAP_S
        if is_other_partner:
            state.reported = {}
        for priority, count in counts.items():
            before = state.reported.get(priority, Counts())
            increase = count.increase_since(before)
            if increase.refused and (is_first_report or not is_other_partner):
                self.last_refused_at = now
            # A report may arrive after a newer one, which has higher counts.
            state.reported[priority] = before.plus(increase)
            if not is_other_partner and not is_late:
                state.heard[priority] = state.heard.get(
                    priority, Counts()
                ).plus(increase)
        state.process_name = process_name
        state.reported_at = now

    def totals(self, lowest_group: int = 0) -> dict[int, Counts]:
        """Returns the counts of this process and of some groups, by priority.

        Args:
            lowest_group: Groups with lower numbers are left out.
        """
        totals = dict(self._own)
        for group, state in self._groups.items():
            if group >= lowest_group:
                for priority, counts in state.heard.items():
                    totals[priority] = totals.get(priority, Counts()).plus(
                        counts
                    )
        return totals

    def sample(self, now: float) -> bool:
        """Takes a sample of the fleet's totals for the rates.

        Returns:
            Whether the process was suspended since the last sample.
        """
        was_suspended = (
            bool(self._samples)
            and now - self._samples[-1][0] > _MAX_SAMPLE_GAP_S
        )
        if was_suspended:
            self._samples.clear()
        self._samples.append((now, self.totals()))
        while self._samples[1:] and self._samples[1][0] <= now - WINDOW_S:
            del self._samples[0]
        return was_suspended

    def rates(self, priorities: tuple[int, ...]) -> list[PriorityRates]:
        """Returns the fleet's rates by priority up to the last sample."""
        if not self._samples:
            return [PriorityRates() for _ in priorities]
        first_at, first = self._samples[0]
        last_at, last = self._samples[-1]
        window_s = max(_MIN_WINDOW_S, last_at - first_at)
        rates = []
        for priority in priorities:
            increase = last.get(priority, Counts()).increase_since(
                first.get(priority, Counts())
            )
            rates.append(
                PriorityRates(
                    increase.requested / window_s,
                    increase.started / window_s,
                    increase.refused / window_s,
                )
            )
        return rates
