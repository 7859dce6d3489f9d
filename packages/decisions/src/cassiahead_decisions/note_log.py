"""The notes that one process knows, and the configuration it has in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_notes import api
from cassiahead_notes import ledger as ledger_lib

if TYPE_CHECKING:
    from collections.abc import Iterable


__all__ = ["NoteLog"]


@attrs.define
class NoteLog:
    """Published notes in the order of their revisions.

    The book only grows. A read that shows an older state adds nothing, and a
    wall clock that goes back does not take a configuration out of force.
    """

    _ledger: ledger_lib.Ledger = attrs.field(factory=ledger_lib.Ledger)
    _records: list[ledger_lib.NoteRecord] = attrs.field(factory=list)
    _first_revision: int = 0
    _wall: float = 0.0
    _current: api.Configuration | None = None
    _current_number: int = 0
    _due: float | None = None

    @property
    def ledger(self) -> ledger_lib.Ledger:
        """The ledger of all notes read."""
        return self._ledger

    @property
    def revision(self) -> int:
        """Revision of the last record read."""
        return self._ledger.revision

    @property
    def configuration_serial(self) -> int:
        """Grows by one each time the configuration in force changes."""
        return self._current_number

    def adopt_base(self, base: ledger_lib.Ledger) -> bool:
        """Starts from a published base, if the book is behind it.

        Returns:
            Whether the base was taken.
        """
        if base.revision <= self._ledger.revision:
            return False
        self._ledger = base
        self._records.clear()
        self._first_revision = base.revision
        self._current = None
        return True

    def ingest(
        self, records: Iterable[ledger_lib.NoteRecord]
    ) -> list[ledger_lib.Verdict]:
        """Reads records that lie past the book's revision.

        Args:
            records: All published records after some revision that the book
                has reached, in any order.

        Returns:
            A verdict for each record that was new.
        """
        verdicts = []
        for record in sorted(records, key=lambda r: r.revision):
            if record.revision <= self._ledger.revision:
                continue
            self._ledger, verdict = self._ledger.apply_record(record)
            self._records.append(record)
            self._current = None
            verdicts.append(verdict)
        return verdicts

    def records_after(self, revision: int) -> list[ledger_lib.NoteRecord]:
        """Returns the records past a revision, for a peer that has reached it.

        Returns:
            Nothing if the book started from a base that is newer than the
            revision, since it would leave a gap.
        """
        if revision < self._first_revision:
            return []
        return [r for r in self._records if r.revision > revision]

    def configuration_in_force(self, wall_time: float) -> api.Configuration:
        """Returns the configuration in force.

        Args:
            wall_time: Wall-clock time in seconds since the epoch.
        """
        self._wall = max(self._wall, wall_time)
        due = self._due is not None and self._wall >= self._due
        if self._current is None or due:
            before = self._current
            self._current = self._ledger.configuration_at(self._wall)
            self._due = self._ledger.next_effective_after(self._wall)
            if self._current is not before:
                self._current_number += 1
        return self._current
