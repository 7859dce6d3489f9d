"""Messages between cassiahead processes.

Every message is one JSON object. Durations and times are in seconds unless a
name says otherwise. Times never cross processes: only durations do.
"""

from __future__ import annotations

import enum
from typing import Any

import attrs

from cassiahead_protocol.poison import PoisonReport

__all__ = [
    "AdmitItem",
    "AdmitReply",
    "AdmitRequest",
    "BeginReply",
    "BeginRequest",
    "Exchange",
    "FinishReply",
    "FinishRequest",
    "KeyState",
    "Outcome",
    "PoisonReport",
    "Process",
    "ScatterRequest",
    "SubAnswer",
    "SubRequest",
    "SubStatus",
    "NoteRecordMessage",
]


class Outcome(enum.StrEnum):
    """What became of a request at the targets."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class Process:
    """One run of a daemon.

    Attributes:
        address: IP number and port of its inner server.
        role: ``entry`` or ``relay``.
        failure_domain: Failure domain of its host.
        incarnation: Start time in nanoseconds; grows with each restart.
    """

    address: str
    role: str
    failure_domain: str
    incarnation: int


@attrs.frozen
class NoteRecordMessage:
    """A published note record, passed on between processes."""

    revision: int
    digest: str
    text: str


@attrs.frozen
class Exchange:
    """Heartbeat, lease traffic and news; both request and reply.

    Attributes:
        sender: The process that sends.
        sequence: In a request, its number; grows with each request.
        revision: Revision up to which the sender has read the notes.
        head: Digest of its last accepted note.
        freshness_age: Seconds since somebody read the service, as heard.
        ready: Whether the sender takes requests.
        known: Incarnation by address of the processes the sender knows.
        borrow: In a request, the resources whose rights are asked for.
        release: In a request, the resources whose rights are handed back.
        granted: In a reply, the resources that are lent.
        lease: In a reply, the length of the lease granted, in seconds.
        poison: Requests that crashed targets.
        records: In a reply, notes past the revision in the request.
    """

    sender: Process
    sequence: int
    revision: int
    head: str
    freshness_age: float
    ready: bool
    known: dict[str, int] = attrs.field(factory=dict)
    borrow: tuple[str, ...] = ()
    release: tuple[str, ...] = ()
    granted: tuple[str, ...] = ()
    lease: float = 0.0
    poison: tuple[PoisonReport, ...] = ()
    records: tuple[NoteRecordMessage, ...] = ()


@attrs.frozen
class AdmitItem:
    """A number of admissions asked for one client account."""

    account: str
    count: int


@attrs.frozen
class AdmitRequest:
    """Asks the home of client accounts for admissions."""

    sender: Process
    items: tuple[AdmitItem, ...]


@attrs.frozen
class AdmitReply:
    """Admissions granted, in the order of the request.

    Attributes:
        granted: Number granted for each item.
        retry_after: Seconds until one more may be granted, for each item.
        settling: Whether the home has just begun to gather the rights, for
            each item, so that another ask soon may do better.
    """

    granted: tuple[int, ...]
    retry_after: tuple[float, ...]
    settling: tuple[bool, ...]


class KeyState(enum.StrEnum):
    """Verdict on an idempotency key."""

    GO = "go"
    IN_PROGRESS = "in_progress"
    RAN = "ran"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    NOT_HOME = "not_home"


@attrs.frozen
class BeginRequest:
    """Asks the decider of an idempotency key whether a request may run."""

    sender: Process
    account: str
    key: str
    attempt: str


@attrs.frozen
class BeginReply:
    """The decider's verdict."""

    state: KeyState


@attrs.frozen
class FinishRequest:
    """Reports the outcome of an attempt to the decider of its key."""

    account: str
    key: str
    attempt: str
    outcome: Outcome


@attrs.frozen
class FinishReply:
    """Acknowledges an outcome."""

    recorded: bool


class SubStatus(enum.StrEnum):
    """Status of one sub-request at a relay."""

    OK = "ok"
    NOT_OWNER = "not_owner"
    NO_SLOT = "no_slot"
    SHED = "shed"
    EXPIRED = "expired"
    VERSION_MISMATCH = "version_mismatch"
    CROSSED = "crossed"
    CRASHED = "crashed"
    FAILED = "failed"


@attrs.frozen
class SubRequest:
    """A request to one target for one shard."""

    shard: str
    target: str


@attrs.frozen
class ScatterRequest:
    """Sub-requests of one request for targets that a relay owns.

    Attributes:
        sender: The entry process.
        request_id: Identifier of the whole request.
        account: Client account that it runs for.
        route: Name of the route.
        generation: Layout generation that the request is pinned to.
        version: Index version wanted; None for any.
        remaining: Seconds left until the deadline when it was sent.
        body: The caller's request, passed on to targets.
        items: The sub-requests.
    """

    sender: Process
    request_id: str
    account: str
    route: str
    generation: int
    version: int | None
    remaining: float
    body: str
    items: tuple[SubRequest, ...]


@attrs.frozen
class SubAnswer:
    """The outcome of one sub-request; a relay streams these as JSON lines.

    Attributes:
        shard: Shard asked for.
        target: Target asked.
        status: What happened.
        outcome: Whether the target ran the request.
        generation: Layout generation of the answer, 0 if there is none.
        version: Index version of the answer, 0 if there is none.
        payload: The target's result, any JSON value.
        latency: Seconds spent at the target.
        queued: Seconds spent waiting for a slot.
        versions: Index versions that the target holds, if it said so.
    """

    shard: str
    target: str
    status: SubStatus
    outcome: Outcome
    generation: int = 0
    version: int = 0
    payload: Any = None
    latency: float = 0.0
    queued: float = 0.0
    versions: tuple[int, ...] = ()
