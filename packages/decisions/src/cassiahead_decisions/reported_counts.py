"""Which counts a report to a peer must contain.

Load pattern: a large fleet with many client accounts, of which each process
admits a few requests a second. Nearly all counts that a peer is told are the
ones that it was told the last time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["ReportNumbers", "ReportedCounts"]

# Names without a count now that are remembered all the same.
_MAX_MISSING_COUNT = 64


@attrs.define
class ReportNumbers:
    """Numbers of the reports to one peer, and its acknowledgements.

    Attributes:
        last: Number of the last report. The numbers begin after a random one,
            so that an acknowledgement of a report of the previous process at
            the same address matches no report.
        acknowledged: Highest number that the peer has acknowledged.
    """

    last: int
    acknowledged: int = attrs.field(init=False)
    _first: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts without an acknowledged report."""
        self.acknowledged = self._first = self.last

    def advance(self) -> int:
        """Begins the next report; returns its number."""
        self.last += 1
        return self.last

    def acknowledge(self, number: int) -> None:
        """Records the highest number of a report that the peer has applied."""
        if self._first < number <= self.last:
            self.acknowledged = max(self.acknowledged, number)


@attrs.define
class _Change:
    """The last change of a count.

    Attributes:
        count: Count since the change.
        report_number: Number of the first report with this count.
    """

    count: int
    report_number: int


@attrs.define
class ReportedCounts:
    """Counts that only rise, as far as one peer has been told.

    A changed count is in each report until the peer acknowledges one that
    contains the change, so that reports may be lost or overtake each other.
    """

    _numbers: ReportNumbers
    _changes: dict[str, _Change] = attrs.field(factory=dict)

    def lacking(
        self, counts: Mapping[str, int], is_full: bool, limit: int | None = None
    ) -> dict[str, int]:
        """Returns the counts for the report that was begun last.

        Args:
            counts: All counts by name, or those that may have changed.
            is_full: Whether the report must contain all of them, since the peer
                has lost what it was told.
            limit: Highest number of counts in the report; the others are left
                for later ones.
        """
        self._forget_missing(counts)
        lacking_counts: dict[str, int] = {}
        for name, count in counts.items():
            if limit is not None and len(lacking_counts) >= limit:
                break
            change = self._changes.get(name)
            if change is None or count > change.count:
                change = _Change(count, self._numbers.last)
                self._changes[name] = change
            if is_full or change.report_number > self._numbers.acknowledged:
                lacking_counts[name] = count
        return lacking_counts

    def _forget_missing(self, counts: Mapping[str, int]) -> None:
        """Forgets names that are no longer counted, once there are many."""
        if len(self._changes) > 2 * len(counts) + _MAX_MISSING_COUNT:
            self._changes = {
                name: change
                for name, change in self._changes.items()
                if name in counts
            }
