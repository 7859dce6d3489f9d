"""Release notes known to one process, and the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_notes import api as notes
from cassiahead_notes import ledger as ledger_lib

if TYPE_CHECKING:
    from collections.abc import Iterable


__all__ = ["NoteLog"]


@attrs.define
class NoteLog:
    """Published notes in the order of their revisions.

    The log never reverts: a stale read of the configuration service adds
    nothing, and a configuration stays in force when the wall clock is set back.
    """

    _ledger: ledger_lib.Ledger = attrs.field(factory=ledger_lib.Ledger)
    _records: list[ledger_lib.NoteRecord] = attrs.field(factory=list)
    _base_revision: int = 0
    # Latest wall-clock time seen, in seconds since the epoch.
    _latest_wall_time: float = 0.0
    # Configuration in force; None if the ledger has changed since it was
    # computed.
    _configuration: notes.Configuration | None = None
    _configuration_serial: int = 0
    # Wall-clock time at which the next booked note takes effect, if any.
    _next_effective_at: float | None = None

    @property
    def ledger(self) -> ledger_lib.Ledger:
        """Ledger after the last record applied."""
        return self._ledger

    @property
    def revision(self) -> int:
        """Revision of the last record applied; 0 if there is none."""
        return self._ledger.revision

    @property
    def configuration_serial(self) -> int:
        """Serial number of the configuration in force.

        The number grows whenever ``configuration_in_force`` computes the
        configuration anew, after new records or once a booked note takes
        effect. The configuration may then be equal to the one before.
        """
        return self._configuration_serial

    def adopt_base(self, base: ledger_lib.Ledger) -> bool:
        """Replaces the log with a published base, if the base is newer.

        Args:
            base: Ledger published in place of the records that led to it.

        Returns:
            Whether the base was adopted.
        """
        if base.revision <= self._ledger.revision:
            return False
        self._ledger = base
        self._records.clear()
        self._base_revision = base.revision
        self._configuration = None
        return True

    def apply_records(
        self, records: Iterable[ledger_lib.NoteRecord]
    ) -> list[ledger_lib.Verdict]:
        """Applies the records that are newer than the log's revision.

        Args:
            records: All published records after some revision that the log
                has reached, without a gap but in any order.

        Returns:
            A verdict for each new record, by ascending revision.
        """
        verdicts = []
        for record in sorted(records, key=lambda r: r.revision):
            if record.revision <= self._ledger.revision:
                continue
            self._ledger, verdict = self._ledger.apply_record(record)
            self._records.append(record)
            self._configuration = None
            verdicts.append(verdict)
        return verdicts

    def records_after(self, revision: int) -> list[ledger_lib.NoteRecord]:
        """Returns the records that a peer lacks.

        Args:
            revision: Revision that the peer has reached.

        Returns:
            All records after the revision, or an empty list if the log started
            from a base newer than the revision, since records in between are
            missing.
        """
        if revision < self._base_revision:
            return []
        return [r for r in self._records if r.revision > revision]

    def configuration_in_force(self, wall_time: float) -> notes.Configuration:
        """Returns the configuration in force.

        Args:
            wall_time: Wall-clock time in seconds since the epoch. If an earlier
                call gave a later time, that time is used.
        """
        self._latest_wall_time = max(self._latest_wall_time, wall_time)
        is_due = (
            self._next_effective_at is not None
            and self._latest_wall_time >= self._next_effective_at
        )
        if self._configuration is None or is_due:
            previous_configuration = self._configuration
            self._configuration = self._ledger.configuration_at(
                self._latest_wall_time
            )
            self._next_effective_at = self._ledger.next_effective_after(
                self._latest_wall_time
            )
            if self._configuration is not previous_configuration:
                self._configuration_serial += 1
        return self._configuration
