"""Rendezvous hashing (highest random weight).

All processes with the same view of the members agree on the member for a
resource without messages. A change of the members moves only the resources of
the members that come or go.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["score", "top_member"]


def score(member: str, resource: str) -> int:
    """Returns the pseudo-random weight of a member for a resource, 64 bits."""
    key = f"{member}\0{resource}".encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest())


def top_member(members: Iterable[str], resource: str) -> str | None:
    """Returns the member with the highest score; None without members.

    Equal scores are decided by the member's name.
    """
    return max(members, key=lambda m: (score(m, resource), m), default=None)
