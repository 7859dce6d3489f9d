"""The published records, as read from the platform or heard from peers.

A record is opaque here: a key, the revision of its last change and its text.
Every process that knows the records up to a revision holds the same ones, so
processes pass on to each other what the other lacks.
"""

from __future__ import annotations

import attrs

__all__ = ["Change", "Update", "RecordTable"]

# Deletions are kept so that peers which are behind hear of them; beyond this
# many the oldest go, and a peer behind those gets all records.
_MAX_DELETIONS = 2000


@attrs.frozen
class Change:
    """A record as it was written, or its deletion.

    Attributes:
        key: Its name.
        revision: Revision of the change.
        value: Its text; None if it was deleted.
    """

    key: str
    revision: int
    value: str | None


@attrs.frozen
class Update:
    """What brings a process's records up to a revision.

    Attributes:
        revision: Revision up to which the records are known afterwards.
        changes: Records that changed.
        is_snapshot: Whether these are all records there are.
    """

    revision: int
    changes: tuple[Change, ...]
    is_snapshot: bool = False


@attrs.define
class RecordTable:
    """All records known, up to one revision that never goes back."""

    _at: int = 0
    _records: dict[str, Change] = attrs.field(factory=dict)
    _deleted: dict[str, Change] = attrs.field(factory=dict)
    _deletions_known_from: int = 0

    @property
    def revision(self) -> int:
        """Revision up to which the records are known; 0 if none are."""
        return self._at

    def apply(self, changes: Update) -> list[Change]:
        """Takes over changes; returns those that were new, in their order.

        What is older than the records at hand changes nothing.
        """
        if changes.revision < self._at:
            return []
        news = sorted(changes.changes, key=lambda c: c.revision)
        if changes.is_snapshot:
            news.extend(self._missing(changes))
        applied = [c for c in news if self._put(c)]
        if changes.is_snapshot and self._at == 0:
            self._deletions_known_from = changes.revision
        self._at = changes.revision
        self._trim_deletions()
        return applied

    def update_since(self, revision: int) -> Update:
        """Returns what brings a process up that knows a revision."""
        if revision < self._deletions_known_from or revision == 0:
            return Update(self._at, tuple(self._records.values()), True)
        newer = [c for c in self._records.values() if c.revision > revision]
        newer += [c for c in self._deleted.values() if c.revision > revision]
        return Update(self._at, tuple(newer))

    def _missing(self, changes: Update) -> list[Change]:
        """Returns deletions of the records that a complete list lacks."""
        listed = {c.key for c in changes.changes}
        return [
            Change(key, changes.revision, None)
            for key in self._records
            if key not in listed
        ]

    def _put(self, change: Change) -> bool:
        known = self._records.get(change.key) or self._deleted.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        if change.value is None:
            self._deleted[change.key] = change
            return self._records.pop(change.key, None) is not None
        self._deleted.pop(change.key, None)
        self._records[change.key] = change
        return True

    def _trim_deletions(self) -> None:
        while len(self._deleted) > _MAX_DELETIONS:
            oldest = min(self._deleted.values(), key=lambda c: c.revision)
            del self._deleted[oldest.key]
            self._deletions_known_from = oldest.revision
