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

__all__ = ["CountReport", "ReportedCounts"]


@attrs.frozen
class CountReport:
    """Counts for one peer.

    Attributes:
        number: Number of the report, which the peer acknowledges.
        counts: Cumulative counts by account, as far as the peer may lack them.
    """

    number: int
    counts: dict[str, int]


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
    """The cumulative counts that one peer has been told.

    A changed count is in each report until the peer acknowledges one that
    contains the change, so that reports may be lost or overtake each other.

    Attributes:
        last_number: Number of the last report. The numbers begin after a random
            one, so that an acknowledgement of a report of the previous process
            at the same address matches no report.
    """

    last_number: int
    _acknowledged_number: int = attrs.field(init=False)
    _first_number: int = attrs.field(init=False)
    _changes: dict[str, _Change] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Starts without an acknowledged report."""
        self._acknowledged_number = self._first_number = self.last_number

    def report(self, counts: Mapping[str, int], is_full: bool) -> CountReport:
        """Returns the next report.

        Args:
            counts: All counts, or those that may have changed.
            is_full: Whether the report must contain all of them, since the peer
                has lost what it was told.
        """
        self.last_number += 1
        lacking_counts: dict[str, int] = {}
        for account, count in counts.items():
            change = self._changes.get(account)
            if change is None or count > change.count:
                change = _Change(count, self.last_number)
                self._changes[account] = change
            if is_full or change.report_number > self._acknowledged_number:
                lacking_counts[account] = count
        return CountReport(self.last_number, lacking_counts)

    def acknowledge(self, number: int) -> None:
        """Records the highest number of a report that the peer has applied."""
        if self._first_number < number <= self.last_number:
            self._acknowledged_number = max(self._acknowledged_number, number)
