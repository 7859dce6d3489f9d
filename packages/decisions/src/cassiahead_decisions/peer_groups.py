"""Division of the fleet into groups, seen from one process.

Each address has a fixed pseudo-random id. The group of an address, seen from
this process, is the number of leading bits that its id shares with the id of
this process: half of the fleet is in group 0, a quarter in group 1, and so on,
so that a fleet of n processes has about log2(n) groups that are not empty.

A process exchanges heartbeats with one partner of each group. The partner
speaks for its whole group: it knows its own state and, from its partners in its
groups with higher numbers, that of the others. The work of a process therefore
grows with the logarithm of the fleet.
"""

from __future__ import annotations

import hashlib

__all__ = ["address_id", "distance", "group_number"]

_ID_BITS = 64


def address_id(address: str) -> int:
    """Returns the 64-bit id of an address, the same in all processes."""
    digest = hashlib.blake2b(address.encode(), digest_size=_ID_BITS // 8)
    return int.from_bytes(digest.digest())


def distance(first_id: int, second_id: int) -> int:
    """Returns the distance between two ids: the lower, the more bits shared.

    No two ids have the same distance from a third one.
    """
    return first_id ^ second_id


def group_number(own_id: int, other_id: int) -> int:
    """Returns the group of another id: its number of shared leading bits.

    The relation is symmetric: both see each other in the group of this number.
    """
    return _ID_BITS - distance(own_id, other_id).bit_length()
