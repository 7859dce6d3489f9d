"""Decides whether a non-idempotent request with a key may run.

The key is a UUID of version 7, whose first 48 bits are the milliseconds since
the epoch at which the caller made it. One process at a time decides for a key:
the one that holds most of the rights to the key's range. A process that takes
over a range cannot know what its predecessor let through, so it answers
"unknown" for every key made before it took over, and needs no replicated state.
"""

from __future__ import annotations

import enum
import hashlib
import uuid

import attrs

from cassiahead_protocol import api

__all__ = [
    "MAX_CALLER_CLOCK_SKEW_S",
    "KEY_LIFETIME_S",
    "KEY_RANGE_COUNT",
    "IdempotencyKeyDecider",
    "KeyFault",
    "uuid7_time_s",
    "key_range_resource",
]

KEY_RANGE_COUNT = 64
KEY_LIFETIME_S = 600.0
MAX_CALLER_CLOCK_SKEW_S = 2.0


class KeyFault(enum.StrEnum):
    """Reasons for which an idempotency key is refused out of hand."""

    NOT_UUID7 = "the idempotency key is not a UUID of version 7"


def key_range_resource(account: str, key: str) -> str:
    """Returns the name of the rights to the key's range."""
    data = f"{account}\0{key}".encode()
    number = int.from_bytes(hashlib.blake2b(data, digest_size=2).digest())
    return f"keys:{number % KEY_RANGE_COUNT}"


def uuid7_time_s(key: str) -> float | None:
    """Returns the time in a UUID of version 7, in seconds since the epoch.

    Returns:
        The time, or None if the key is no such UUID.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != 7 or str(value) != key.lower():
        return None
    return (value.int >> 80) / 1000


@attrs.define
class _Entry:
    attempt: str
    state: api.KeyState
    forget_at: float


@attrs.define
class IdempotencyKeyDecider:
    """Verdicts of this process on idempotency keys.

    Wall-clock times are seconds since the epoch.
    """

    _entries: dict[tuple[str, str], _Entry] = attrs.field(factory=dict)
    _took_over: dict[str, float] = attrs.field(factory=dict)

    def take_over_range(self, resource: str, wall: float) -> None:
        """Notes that this process now decides for a range of keys."""
        self._took_over.setdefault(resource, wall)

    def lose_range(self, resource: str) -> None:
        """Notes that this process no longer decides for a range."""
        if self._took_over.pop(resource, None) is None:
            return
        for account, key in list(self._entries):
            if key_range_resource(account, key) == resource:
                del self._entries[account, key]

    def begin(
        self, account: str, key: str, attempt: str, wall: float
    ) -> api.KeyState:
        """Decides whether an attempt may run.

        Args:
            account: Client account of the caller.
            key: Idempotency key, a UUID of version 7.
            attempt: Identifier of this attempt.
            wall: Wall-clock time.
        """
        took_over = self._took_over.get(key_range_resource(account, key))
        if took_over is None:
            return api.KeyState.NOT_HOME
        entry = self._entries.get((account, key))
        if entry is not None:
            return entry.state
        made = uuid7_time_s(key)
        if made is None or made > wall + MAX_CALLER_CLOCK_SKEW_S:
            return api.KeyState.EXPIRED
        if wall > made + KEY_LIFETIME_S:
            return api.KeyState.UNKNOWN
        if made <= took_over + MAX_CALLER_CLOCK_SKEW_S:
            return api.KeyState.UNKNOWN
        forget_at = made + KEY_LIFETIME_S + MAX_CALLER_CLOCK_SKEW_S
        self._entries[account, key] = _Entry(
            attempt, api.KeyState.IN_PROGRESS, forget_at
        )
        return api.KeyState.GO

    def finish(
        self, account: str, key: str, attempt: str, outcome: api.Outcome
    ) -> bool:
        """Records the outcome of an attempt that was let through.

        A request that did not run frees its key.
        """
        entry = self._entries.get((account, key))
        if entry is None or entry.attempt != attempt:
            return False
        match outcome:
            case api.Outcome.NOT_RUN:
                del self._entries[account, key]
            case api.Outcome.RAN:
                entry.state = api.KeyState.RAN
            case api.Outcome.UNKNOWN:
                entry.state = api.KeyState.UNKNOWN
        return True

    def forget_expired(self, wall: float) -> None:
        """Drops keys that are refused for their age by now."""
        for name, entry in list(self._entries.items()):
            if entry.forget_at < wall:
                del self._entries[name]
