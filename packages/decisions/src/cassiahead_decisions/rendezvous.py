"""Rendezvous hashing (highest random weight)."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["score", "top_member"]


def score(member: str, resource: str) -> int:
    """Returns the weight of a member for a resource."""
    text = f"{member}\0{resource}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def top_member(members: Iterable[str], resource: str) -> str | None:
    """Returns the member with the highest weight; None if there is none."""
    return max(members, key=lambda m: (score(m, resource), m), default=None)
