"""What one configuration changes with respect to another."""

from __future__ import annotations

import attrs

from cassiahead_notes import api

__all__ = ["Change", "diff"]


@attrs.frozen
class Change:
    """One item that differs.

    Attributes:
        kind: ``added``, ``changed`` or ``withdrawn``.
        path: Section and name, as ``targets.t1``.
    """

    kind: str
    path: str


def diff(before: api.Configuration, after: api.Configuration) -> list[Change]:
    """Returns the items that differ, in the order of sections and names."""
    changes = []
    for section in api.SECTIONS:
        old, new = getattr(before, section), getattr(after, section)
        for name in sorted(old.keys() | new.keys()):
            kind = _kind(name in old, name in new, old.get(name), new.get(name))
            if kind is not None:
                changes.append(Change(kind, f"{section}.{name}"))
    if before.fleet != after.fleet:
        changes.append(Change("changed", "fleet"))
    return changes


def _kind(
    was_there: bool, is_there: bool, old: object, new: object
) -> str | None:
    if not was_there:
        return "added"
    if not is_there:
        return "withdrawn"
    return "changed" if old != new else None
