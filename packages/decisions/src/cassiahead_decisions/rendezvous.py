"""Rendezvous hashing (highest random weight).

Processes with the same list of members agree on the member for a resource
without exchanging messages. When members join or leave, only the resources of
these members move.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["score", "top_member"]


def score(member: str, resource: str) -> int:
    """Returns the pseudo-random 64-bit weight of a member for a resource."""
    key = f"{member}\0{resource}".encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest())


def top_member(members: Iterable[str], resource: str) -> str | None:
    """Returns the member with the highest score; None without members.

    Between members with equal scores, the greater name is chosen.
    """
    return max(members, key=lambda m: (score(m, resource), m), default=None)
