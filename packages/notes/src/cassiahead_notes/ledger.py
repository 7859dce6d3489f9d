"""Decides on published notes, and computes the configuration in force.

Records are applied in the order of the configuration service's revisions. The
verdict on a record depends only on the records before it. All daemons therefore
reach the same verdicts without exchanging messages, even if two operators
publish notes with the same number.
"""

from __future__ import annotations

import attrs

from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import errors
from cassiahead_notes import note_application

__all__ = ["Ledger", "NoteRecord", "Verdict", "decode_record"]


@attrs.frozen
class NoteRecord:
    """A published note as the configuration service holds it.

    Attributes:
        revision: Revision of the service at which the record was created.
        digest: SHA-256 digest in hexadecimal, from the name of the record.
            ``decode_record`` compares it with the digest of ``text``.
        text: JSON text of the note.
    """

    revision: int
    digest: str
    text: str


@attrs.frozen
class Verdict:
    """Verdict on one published note.

    Attributes:
        revision: Revision of the note's record.
        number: Number of the note; None if the record couldn't be decoded.
        error: Reason for the refusal; None if the note is accepted.
    """

    revision: int
    number: int | None
    error: errors.NoteError | None = None


@attrs.frozen
class Ledger:
    """Accepted notes, either settled (merged into ``base``) or booked.

    Attributes:
        base: Configuration that results from all settled notes.
        booked: Accepted notes that aren't settled, in effect or not, in the
            order of their numbers.
        number: Number of the last accepted note; 0 if there is none.
        head: Digest of the last accepted note; empty if there is none.
        revision: Revision of the last record applied, accepted or refused.
        settled: Time in seconds since the epoch; notes effective up to this
            time are merged into the base. Only a note with ``settles`` changes
            it, so that every daemon merges the same notes.
    """

    base: api.Configuration = attrs.field(factory=api.Configuration)
    booked: tuple[api.Note, ...] = ()
    number: int = 0
    head: str = ""
    revision: int = 0
    settled: float = 0.0

    def apply_record(self, record: NoteRecord) -> tuple[Ledger, Verdict]:
        """Applies the next record.

        Args:
            record: The record with the lowest revision not yet applied.

        Returns:
            The ledger after the record, and the verdict. A refused note
            changes nothing but the revision.
        """
        next_ledger = attrs.evolve(self, revision=record.revision)
        number = None
        try:
            note = decode_record(record)
            number = note.number
            booked = self._book_note(note)
        except errors.NoteError as error:
            return next_ledger, Verdict(record.revision, number, error)
        next_ledger = attrs.evolve(
            next_ledger, booked=booked, number=note.number, head=record.digest
        )
        if note.settles is not None:
            next_ledger = next_ledger._settle(note.settles)
        return next_ledger, Verdict(record.revision, number)

    def configuration_at(self, wall_time: float) -> api.Configuration:
        """Returns the configuration in force at a wall-clock time.

        Args:
            wall_time: Seconds since the epoch, not before ``settled``.
        """
        return _apply_notes(
            self.base, [n for n in self.booked if n.effective <= wall_time]
        )

    def next_effective_after(self, wall_time: float) -> float | None:
        """Returns when the next booked note takes effect after a time.

        Args:
            wall_time: Seconds since the epoch.

        Returns:
            Seconds since the epoch, or None if no later note is booked.
        """
        later_times = [
            n.effective for n in self.booked if n.effective > wall_time
        ]
        return min(later_times, default=None)

    def _settle(self, until: float) -> Ledger:
        unsettled = tuple(n for n in self.booked if n.effective > until)
        return attrs.evolve(
            self,
            base=self.configuration_at(until),
            booked=unsettled,
            settled=until,
        )

    def _book_note(self, note: api.Note) -> tuple[api.Note, ...]:
        """Checks a note and returns the booked notes with the note added.

        Raises:
            errors.NoteError: If the note is refused.
        """
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
                f"expected the last accepted note's digest {self.head!r}",
            )
        if note.effective <= self.settled:
            raise errors.NoteError(
                errors.NoteErrorCode.CONFLICTS_WITH_BOOKED,
                "$.effective",
                f"must be later than {self.settled}, the time up to which notes"
                " are settled",
            )
        _check_overlap(note, self.booked)
        booked = (*self.booked, note)
        _apply_notes(self.base, booked)
        return booked


def decode_record(record: NoteRecord) -> api.Note:
    """Decodes a record's text and checks its digest.

    Raises:
        errors.NoteError: With code ``MALFORMED`` if the text isn't a valid
            note, or ``DIGEST_MISMATCH`` if its digest isn't the record's.
    """
    note = codec.decode(record.text, api.Note)
    if codec.text_digest(record.text) != record.digest:
        raise errors.NoteError(
            errors.NoteErrorCode.DIGEST_MISMATCH,
            "$",
            "the text does not match the digest in the record's name",
        )
    return note


def _apply_notes(
    base: api.Configuration, notes: list[api.Note] | tuple[api.Note, ...]
) -> api.Configuration:
    """Applies notes in the order of effective times, then of numbers."""
    configuration = base
    for note in sorted(notes, key=lambda n: (n.effective, n.number)):
        configuration = note_application.apply_note(configuration, note)
    return configuration


def _check_overlap(note: api.Note, booked: tuple[api.Note, ...]) -> None:
    """Refuses a note whose items a booked note changes at a later time."""
    changed_items = _changed_items(note)
    for booked_note in booked:
        if booked_note.effective <= note.effective:
            continue
        if common_items := changed_items & _changed_items(booked_note):
            section, name = sorted(common_items)[0]
            raise errors.NoteError(
                errors.NoteErrorCode.CONFLICTS_WITH_BOOKED,
                f"$.{section}.{name}",
                f"booked note {booked_note.number} changes this item at"
                f" {booked_note.effective}",
            )


def _changed_items(note: api.Note) -> set[tuple[str, str]]:
    """Returns section and name of each item that a note changes."""
    changed_items: set[tuple[str, str]] = set()
    for section in api.SECTIONS:
        for part in (note.add, note.change, note.withdraw):
            changed_items.update(
                (section, name) for name in getattr(part, section)
            )
    if note.change.fleet is not None:
        changed_items.add(("fleet", ""))
    return changed_items
