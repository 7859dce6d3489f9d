"""What gateways tell each other, as JSON."""

from __future__ import annotations

import json

import attrs
import cattrs

__all__ = [
    "CrashCount",
    "Heartbeat",
    "MessageError",
    "RecordChange",
    "decode",
    "encode",
]


class MessageError(Exception):
    """A message that can't be read."""

    code = "CG30"


@attrs.frozen
class RecordChange:
    """A record as it was written; without a value it was deleted."""

    key: str
    revision: int
    value: str | None


@attrs.frozen
class CrashCount:
    """Crashes of targets that a process lays to one request.

    Attributes:
        fingerprint: Digest of the request.
        crashes: Their number.
        ttl_s: Seconds for which they still count.
    """

    fingerprint: str
    crashes: int
    ttl_s: float


@attrs.frozen
class Heartbeat:
    """What a process says of itself, asked or in answer.

    Attributes:
        process: Its name, new at each start.
        address: Where it takes exchanges.
        uptime_s: Seconds since its start.
        at: Revision up to which it knows the records.
        age: Seconds since they were current; None if never.
        reading: Whether it reads the configuration service itself.
        leaving: Whether it is shutting down.
        addresses: Where further processes may be.
        admitted: Admissions since its start, by account.
        tokens: The fleet's tokens by account, for a process just started.
        crashes: Crashes that it saw, by request.
        changes: Records that the receiver lacks.
        complete: Whether these are all records.
    """

    process: str
    address: str
    uptime_s: float
    at: int
    age: float | None
    reading: bool
    leaving: bool = False
    addresses: list[str] = attrs.field(factory=list)
    admitted: dict[str, int] = attrs.field(factory=dict)
    crashes: list[CrashCount] = attrs.field(factory=list)
    tokens: dict[str, float] | None = None
    changes: list[RecordChange] | None = None
    complete: bool = False


# Heartbeats are most of what the fleet sends: what says nothing is left out.
_CONVERTER = cattrs.Converter(detailed_validation=False, omit_if_default=True)


def encode(message: Heartbeat) -> bytes:
    """Returns the JSON text of a message."""
    plain = _CONVERTER.unstructure(message)
    return json.dumps(plain, separators=(",", ":")).encode()


def decode(text: bytes) -> Heartbeat:
    """Reads the JSON text of a message.

    Raises:
        MessageError: If it is none.
    """
    try:
        return _CONVERTER.structure(json.loads(text), Heartbeat)
    except Exception as error:
        raise MessageError(str(error)) from error
