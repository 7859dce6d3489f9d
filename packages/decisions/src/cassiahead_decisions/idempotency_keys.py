"""Decides whether a non-idempotent request with an idempotency key may run.

A key is a UUID of version 7, whose first 48 bits are the milliseconds since
the epoch at which the caller created the key. One process at a time decides on
a key: the one that holds more than half of the rights to the key's range. A
process that takes over a range can't know which requests its predecessor has
allowed to run. It answers "unknown" for every key created before the takeover,
so that no state has to be replicated.
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
    "uuid7_wall_time",
    "key_range_resource",
]

KEY_RANGE_COUNT = 64
KEY_LIFETIME_S = 600.0
MAX_CALLER_CLOCK_SKEW_S = 2.0


class KeyFault(enum.StrEnum):
    """Reasons to refuse an idempotency key without asking the key's home."""

    NOT_UUID7 = "the idempotency key is not a UUID of version 7"


def key_range_resource(account: str, key: str) -> str:
    """Returns the resource name of the range that a key belongs to."""
    account_and_key = f"{account}\0{key}".encode()
    range_hash = int.from_bytes(
        hashlib.blake2b(account_and_key, digest_size=2).digest()
    )
    return f"keys:{range_hash % KEY_RANGE_COUNT}"


def uuid7_wall_time(key: str) -> float | None:
    """Returns the creation time held in a UUID of version 7.

    Returns:
        The time in seconds since the epoch, with millisecond resolution, or
        None if the key isn't a UUID of version 7 in canonical form.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7 or str(parsed) != key.lower():
        return None
    return (parsed.int >> 80) / 1000


@attrs.define
class _DecidedKey:
    """State of a key for which an attempt was allowed to run.

    Attributes:
        attempt: Identifier of the attempt.
        state: Answer to further attempts with the key.
        forget_at: Wall-clock time after which the state is no longer needed,
            since the key is refused for its age.
    """

    attempt: str
    state: api.KeyState
    forget_at: float


@attrs.define
class IdempotencyKeyDecider:
    """Decides on the keys of the ranges that this process has taken over.

    Times are wall-clock times in seconds since the epoch, since they are
    compared with the creation times in the callers' keys.
    """

    # By client account and key.
    _decided_keys: dict[tuple[str, str], _DecidedKey] = attrs.field(
        factory=dict
    )
    # Wall-clock time of the takeover, by resource name of the key range.
    _took_over_at_by_range: dict[str, float] = attrs.field(factory=dict)

    def take_over_range(self, resource: str, wall_time: float) -> None:
        """Starts deciding on a key range; no effect if already deciding.

        Args:
            resource: Resource name of the range.
            wall_time: Wall-clock time of the takeover.
        """
        self._took_over_at_by_range.setdefault(resource, wall_time)

    def forget_range(self, resource: str) -> None:
        """Stops deciding on a key range and drops the states of its keys."""
        if self._took_over_at_by_range.pop(resource, None) is None:
            return
        for account, key in list(self._decided_keys):
            if key_range_resource(account, key) == resource:
                del self._decided_keys[account, key]

    def begin(
        self, account: str, key: str, attempt: str, wall_time: float
    ) -> api.KeyState:
        """Decides whether an attempt may run.

        Args:
            account: Client account of the caller.
            key: Idempotency key, a UUID of version 7.
            attempt: Identifier of this attempt.
            wall_time: Wall-clock time.

        Returns:
            ``GO`` if the attempt may run. ``NOT_HOME`` if this process doesn't
            decide on the key's range. The state of an earlier attempt, if there
            was one. ``EXPIRED`` for a key that isn't a UUID of version 7, or
            whose creation time is more than ``MAX_CALLER_CLOCK_SKEW_S`` in the
            future. ``UNKNOWN`` for a key older than ``KEY_LIFETIME_S`` or
            possibly created before this process took over the key's range,
            since an earlier attempt may have run.
        """
        took_over_at = self._took_over_at_by_range.get(
            key_range_resource(account, key)
        )
        if took_over_at is None:
            return api.KeyState.NOT_HOME
        decided_key = self._decided_keys.get((account, key))
        if decided_key is not None:
            return decided_key.state
        created_at = uuid7_wall_time(key)
        if (
            created_at is None
            or created_at > wall_time + MAX_CALLER_CLOCK_SKEW_S
        ):
            return api.KeyState.EXPIRED
        if wall_time > created_at + KEY_LIFETIME_S:
            return api.KeyState.UNKNOWN
        if created_at <= took_over_at + MAX_CALLER_CLOCK_SKEW_S:
            return api.KeyState.UNKNOWN
        forget_at = created_at + KEY_LIFETIME_S + MAX_CALLER_CLOCK_SKEW_S
        self._decided_keys[account, key] = _DecidedKey(
            attempt, api.KeyState.IN_PROGRESS, forget_at
        )
        return api.KeyState.GO

    def finish(
        self, account: str, key: str, attempt: str, outcome: api.Outcome
    ) -> bool:
        """Records the outcome of an attempt that was allowed to run.

        After ``NOT_RUN`` another attempt with the key may run.

        Returns:
            Whether the outcome was recorded: False if the attempt is unknown.
        """
        decided_key = self._decided_keys.get((account, key))
        if decided_key is None or decided_key.attempt != attempt:
            return False
        match outcome:
            case api.Outcome.NOT_RUN:
                del self._decided_keys[account, key]
            case api.Outcome.RAN:
                decided_key.state = api.KeyState.RAN
            case api.Outcome.UNKNOWN:
                decided_key.state = api.KeyState.UNKNOWN
        return True

    def forget_expired(self, wall_time: float) -> None:
        """Drops the states of keys that are refused for their age anyway."""
        for account_and_key, decided_key in list(self._decided_keys.items()):
            if decided_key.forget_at < wall_time:
                del self._decided_keys[account_and_key]
