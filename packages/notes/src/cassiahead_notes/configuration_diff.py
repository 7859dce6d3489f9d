"""Compares two configurations item by item."""

from __future__ import annotations

import attrs

from cassiahead_notes import api

__all__ = ["Change", "diff"]


@attrs.frozen
class Change:
    """One item that differs between two configurations.

    Attributes:
        kind: ``added``, ``changed`` or ``withdrawn``.
        path: Section and name, such as ``targets.t1``; ``fleet`` for the fleet.
    """

    kind: str
    path: str


def diff(before: api.Configuration, after: api.Configuration) -> list[Change]:
    """Returns the items that differ, by section and then name; fleet last."""
    changes = []
    for section in api.SECTIONS:
        old, new = getattr(before, section), getattr(after, section)
        for name in sorted(old.keys() | new.keys()):
            kind = _change_kind(
                name in old, name in new, old.get(name), new.get(name)
            )
            if kind is not None:
                changes.append(Change(kind, f"{section}.{name}"))
    if before.fleet != after.fleet:
        changes.append(Change("changed", "fleet"))
    return changes


def _change_kind(
    is_in_old: bool, is_in_new: bool, old: object, new: object
) -> str | None:
    if not is_in_old:
        return "added"
    if not is_in_new:
        return "withdrawn"
    return "changed" if old != new else None
