"""Replicated table of the published records.

The records are read from the configuration service or received from peers. A
record is opaque here: a key, the revision of its last change and its text. All
processes that know the records up to a position hold the same records, so a
process can send a peer exactly the changes that the peer lacks. A newer era of
the configuration service is entered only with all its records.
"""

from __future__ import annotations

import attrs

from cassiahead_decisions import record_position

__all__ = ["Change", "Update", "RecordTable"]

# Number of deletions kept for peers that do not know them yet. Older ones are
# dropped; a peer that may lack a dropped deletion gets all records.
_MAX_DELETION_COUNT = 2000


@attrs.frozen
class Change:
    """A write or a deletion of one record.

    Attributes:
        key: Name of the record.
        revision: Revision of the change, in the era of the update or table.
        value: Text of the record; None for a deletion.
    """

    key: str
    revision: int
    value: str | None


@attrs.frozen
class Update:
    """Changes that bring a table of records up to a position.

    Attributes:
        revision: Revision up to which the records are known afterwards.
        changes: Records that changed, in no order.
        is_complete: Whether ``changes`` are all existing records.
        era: Era of the configuration service that the revisions belong to.
        listing_revision: Revision of the listing of the configuration service
            with which the sender's era was entered; 0 if ``revision`` is it.
    """

    revision: int
    changes: tuple[Change, ...]
    is_complete: bool = False
    era: int = 0
    listing_revision: int = 0

    @property
    def position(self) -> record_position.RecordPosition:
        """Position up to which the records are known afterwards."""
        return record_position.RecordPosition(self.era, self.revision)


@attrs.define
class RecordTable:
    """The records known to this process, up to a position that only rises.

    All records are of the era of the position.
    """

    _position: record_position.RecordPosition = record_position.UNKNOWN
    _records: dict[str, Change] = attrs.field(factory=dict)
    _deletions: dict[str, Change] = attrs.field(factory=dict)
    _deletions_kept_after_revision: int = 0
    _listing_revision: int = 0

    @property
    def position(self) -> record_position.RecordPosition:
        """Position up to which the records are known."""
        return self._position

    @property
    def listing_revision(self) -> int:
        """Revision of the listing with which the era was entered; 0 in era 0.

        Records with higher revisions were written in the era for certain;
        others may be from the backup.
        """
        return self._listing_revision

    def accepts(self, update: Update) -> bool:
        """Returns whether an update is not older than the table.

        An update of a newer era must be complete: it is not known which of the
        table's records still exist, nor at which revisions.
        """
        if update.era > self._position.era:
            return update.is_complete
        return update.position >= self._position

    def enters_era(self, update: Update) -> bool:
        """Returns whether an update brings the table to a newer era."""
        return update.era > self._position.era and update.is_complete

    def apply(self, update: Update) -> list[Change]:
        """Applies an update.

        Ignores an update that the table does not accept, and a change that is
        not newer than the last known change of its record. In an update of a
        newer era, all records replace the known ones.

        Args:
            update: Changes to apply.

        Returns:
            The changes that had an effect, by rising revision; deletions of
            records that a complete update does not contain come last. With a
            newer era, records whose text stays the same had no effect.
        """
        if not self.accepts(update):
            return []
        if self.enters_era(update):
            applied_changes = self._enter_era(update)
        else:
            applied_changes = self._apply_newer(update)
        if update.is_complete:
            # Peers may know records that this table never had, and that were
            # deleted before the update.
            self._deletions_kept_after_revision = update.revision
        self._position = update.position
        self._trim_deletions()
        return applied_changes

    def update_since(self, position: record_position.RecordPosition) -> Update:
        """Returns the changes after a position, or a complete update.

        Args:
            position: Position up to which the receiver knows the records. A
                complete update is returned for revision 0, for positions of
                another era and for those whose later deletions are no longer
                kept.
        """
        if (
            position.era != self._position.era
            or position.revision < self._deletions_kept_after_revision
            or position.revision == 0
        ):
            return self._update(tuple(self._records.values()), is_complete=True)
        return self._update(
            tuple(
                change
                for changes in (self._records, self._deletions)
                for change in changes.values()
                if change.revision > position.revision
            ),
            is_complete=False,
        )

    def _update(self, changes: tuple[Change, ...], is_complete: bool) -> Update:
        return Update(
            self._position.revision,
            changes,
            is_complete,
            self._position.era,
            self._listing_revision,
        )

    def _enter_era(self, update: Update) -> list[Change]:
        """Replaces all records by those of a newer era."""
        previous_records = self._records
        self._records = {
            change.key: change
            for change in sorted(update.changes, key=lambda c: c.revision)
            if change.value is not None
        }
        self._deletions = {}
        self._listing_revision = update.listing_revision or update.revision
        changes = [
            change
            for change in self._records.values()
            if change.key not in previous_records
            or previous_records[change.key].value != change.value
        ]
        deletions = [
            Change(key, update.revision, None)
            for key in previous_records
            if key not in self._records
        ]
        return changes + deletions

    def _apply_newer(self, update: Update) -> list[Change]:
        """Applies the changes of an update of the same era."""
        pending_changes = sorted(
            update.changes, key=lambda change: change.revision
        )
        if update.is_complete:
            pending_changes.extend(self._implied_deletions(update))
        return [c for c in pending_changes if self._apply_change(c)]

    def _implied_deletions(self, update: Update) -> list[Change]:
        """Returns deletions of the records that a complete update lacks."""
        listed_keys = {c.key for c in update.changes}
        return [
            Change(key, update.revision, None)
            for key in self._records
            if key not in listed_keys
        ]

    def _apply_change(self, change: Change) -> bool:
        """Applies a change; returns whether it changed the existing records."""
        known_change = self._records.get(change.key) or self._deletions.get(
            change.key
        )
        if (
            known_change is not None
            and known_change.revision >= change.revision
        ):
            return False
        if change.value is None:
            self._deletions[change.key] = change
            return self._records.pop(change.key, None) is not None
        self._deletions.pop(change.key, None)
        self._records[change.key] = change
        return True

    def _trim_deletions(self) -> None:
        while len(self._deletions) > _MAX_DELETION_COUNT:
            oldest_deletion = min(
                self._deletions.values(), key=lambda change: change.revision
            )
            del self._deletions[oldest_deletion.key]
            self._deletions_kept_after_revision = max(
                self._deletions_kept_after_revision, oldest_deletion.revision
            )
