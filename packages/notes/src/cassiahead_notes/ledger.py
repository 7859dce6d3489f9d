"""The ledger of accepted notes, and what is in force at a given time.

Records are read in the order of the service's revisions. Each verdict depends
on the records before it alone, so that all daemons agree without a word, also
when two operators publish the same number.
"""

from __future__ import annotations

import attrs

from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import errors
from cassiahead_notes import folding

__all__ = ["Ledger", "NoteRecord", "Verdict", "decode_record"]


@attrs.frozen
class NoteRecord:
    """A published note as the configuration service holds it.

    Attributes:
        revision: The service's revision at which it was created.
        digest: SHA-256 digest of ``text``, from the name of the record.
        text: JSON text of the note.
    """

    revision: int
    digest: str
    text: str


@attrs.frozen
class Verdict:
    """The outcome for one published note; ``error`` is None if accepted."""

    revision: int
    number: int | None
    error: errors.NoteError | None = None


@attrs.frozen
class Ledger:
    """Accepted notes: those folded into ``base`` and those booked.

    Attributes:
        base: Configuration that ``booked`` stands upon.
        booked: Accepted notes after the base, by number.
        number: Number of the last accepted note.
        head: Digest of the last accepted note; empty if there is none.
        revision: Revision of the last record read, accepted or refused.
        settled: Time up to which notes are folded into the base. It moves
            only by a note, so that each daemon folds the same notes.
    """

    base: api.Configuration = attrs.field(factory=api.Configuration)
    booked: tuple[api.Note, ...] = ()
    number: int = 0
    head: str = ""
    revision: int = 0
    settled: float = 0.0

    def apply_record(self, record: NoteRecord) -> tuple[Ledger, Verdict]:
        """Reads the next record.

        Args:
            record: The record with the lowest revision not yet read.

        Returns:
            The ledger after the record, and the verdict. A refused note
            changes nothing but the revision.
        """
        after = attrs.evolve(self, revision=record.revision)
        number = None
        try:
            note = decode_record(record)
            number = note.number
            booked = self._book(note)
        except errors.NoteError as error:
            return after, Verdict(record.revision, number, error)
        after = attrs.evolve(
            after, booked=booked, number=note.number, head=record.digest
        )
        if note.settles is not None:
            after = after._settle(note.settles)
        return after, Verdict(record.revision, number)

    def configuration_at(self, wall_time: float) -> api.Configuration:
        """Returns the configuration in force at ``at`` (epoch seconds)."""
        return _fold_all(
            self.base, [n for n in self.booked if n.effective <= wall_time]
        )

    def next_effective_after(self, wall_time: float) -> float | None:
        """Returns the next effective time after ``at``, if one is booked."""
        later = [n.effective for n in self.booked if n.effective > wall_time]
        return min(later, default=None)

    def _settle(self, at: float) -> Ledger:
        pending = tuple(n for n in self.booked if n.effective > at)
        return attrs.evolve(
            self, base=self.configuration_at(at), booked=pending, settled=at
        )

    def _book(self, note: api.Note) -> tuple[api.Note, ...]:
        if note.number != self.number + 1:
            raise errors.NoteError(
                errors.NoteErrorCode.NUMBER_OUT_OF_ORDER,
                "$.number",
                f"expected {self.number + 1}, got {note.number}",
            )
        if note.predecessor != self.head:
            raise errors.NoteError(
                errors.NoteErrorCode.PREDECESSOR_MISMATCH,
                "$.predecessor",
                f"the last accepted note has digest {self.head!r}",
            )
        if note.effective <= self.settled:
            raise errors.NoteError(
                errors.NoteErrorCode.CONFLICTS_WITH_BOOKED,
                "$.effective",
                f"notes up to {self.settled} are settled",
            )
        _refuse_overlap(note, self.booked)
        booked = (*self.booked, note)
        _fold_all(self.base, booked)
        return booked


def decode_record(record: NoteRecord) -> api.Note:
    """Decodes a record after it compares its text with its digest.

    Raises:
        errors.NoteError: If the text is not a note or not the one named.
    """
    note = codec.decode(record.text, api.Note)
    if codec.text_digest(record.text) != record.digest:
        raise errors.NoteError(
            errors.NoteErrorCode.DIGEST_MISMATCH,
            "$",
            "the text differs from the digest in the record's name",
        )
    return note


def _fold_all(
    base: api.Configuration, notes: list[api.Note] | tuple[api.Note, ...]
) -> api.Configuration:
    configuration = base
    for note in sorted(notes, key=lambda n: (n.effective, n.number)):
        configuration = folding.fold(configuration, note)
    return configuration


def _refuse_overlap(note: api.Note, booked: tuple[api.Note, ...]) -> None:
    touched = _touched(note)
    for other in booked:
        if other.effective <= note.effective:
            continue
        if common := touched & _touched(other):
            section, name = sorted(common)[0]
            raise errors.NoteError(
                errors.NoteErrorCode.CONFLICTS_WITH_BOOKED,
                f"$.{section}.{name}",
                f"note {other.number} is booked for it at {other.effective}",
            )


def _touched(note: api.Note) -> set[tuple[str, str]]:
    touched: set[tuple[str, str]] = set()
    for section in api.SECTIONS:
        for part in (note.add, note.change, note.withdraw):
            touched.update((section, name) for name in getattr(part, section))
    if note.change.fleet is not None:
        touched.add(("fleet", ""))
    return touched
