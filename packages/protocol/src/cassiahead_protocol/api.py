"""Messages between entries and relays.

Every message is one JSON object. Durations are in seconds unless a doc comment
says otherwise. The clocks of hosts may differ, so messages carry durations and
no clock readings: a deadline, for example, is sent as the time that remains.
The only exception is ``incarnation``.

A right is a share of the limit on a resource, such as a client account's rate
or a target's slots. Processes lend their rights to the home of the resource,
the process that decides who may use the resource; see
``cassiahead_decisions.rights``.
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
    """Whether a request ran at a target.

    Attributes:
        RAN: The request ran.
        NOT_RUN: The request certainly did not run, so that a retry is safe.
        UNKNOWN: The request may have run.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class Process:
    """One run of a daemon, from its start to its end.

    Attributes:
        address: ``IP:port`` at which the daemon serves its peers.
        role: ``entry`` or ``relay``.
        failure_domain: Failure domain of the daemon's host.
        incarnation: Start time of the process by the wall clock, in nanoseconds
            since the epoch, which grows with each restart.
    """

    address: str
    role: str
    failure_domain: str
    incarnation: int


@attrs.frozen
class NoteRecordMessage:
    """A record of a release note, passed on from peer to peer.

    Attributes:
        revision: Revision of the record in the configuration service.
        digest: SHA-256 digest of ``text`` in hexadecimal, as stated by the key
            of the record.
        text: The release note as published.
    """

    revision: int
    digest: str
    text: str


@attrs.frozen
class Exchange:
    """The request or the reply of an exchange between peers.

    Carries liveness, leases of rights and release notes.

    Attributes:
        sender: The process that sends the message.
        sequence: In a request, its number, which grows with each request of
            the sender.
        revision: Revision up to which the sender has read the release notes.
        head: Digest of the last release note that the sender accepted; empty if
            there is none.
        freshness_age: Seconds since the newest read of the configuration
            service that the sender knows of, whichever process read it; capped
            at 1e9, and 1e9 if no read is known.
        ready: Whether the sender takes requests.
        known: Newest incarnation that the sender knows of each process, by the
            address of the process.
        borrow: In a request, the resources whose rights the sender asks for.
        release: In a request, the resources whose rights the sender returns.
        granted: In a reply, the resources whose rights the sender lends.
        lease: In a reply, the duration of the leases granted, in seconds.
        poison: Reports of requests that crashed targets.
        records: In a reply, the release notes after the revision of the
            request; empty if the sender does not have all of them.
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
    """Asks for a number of admissions for one client account.

    Attributes:
        account: Name of the client account.
        count: Number of requests to admit.
    """

    account: str
    count: int


@attrs.frozen
class AdmitRequest:
    """Asks the home of client accounts for admissions.

    Attributes:
        sender: The process whose callers' requests are to be admitted.
        items: Number of admissions wanted for each client account.
    """

    sender: Process
    items: tuple[AdmitItem, ...]


@attrs.frozen
class AdmitReply:
    """Verdict on an ``AdmitRequest``, with one element per item in each field.

    Attributes:
        granted: Number of admissions granted.
        retry_after: Seconds until one more admission may be granted.
        settling: Whether the home may soon grant more, because it has not held
            more than half of the rights to the account's rate throughout the
            last ``SETTLING_S`` seconds (``cassiahead_decisions.rate_limiter``),
            as after a move of the home.
    """

    granted: tuple[int, ...]
    retry_after: tuple[float, ...]
    settling: tuple[bool, ...]


class KeyState(enum.StrEnum):
    """Verdict on an attempt to run a request with an idempotency key.

    Attributes:
        GO: The attempt may run.
        IN_PROGRESS: An earlier attempt with the key has not finished.
        RAN: An earlier attempt with the key ran.
        UNKNOWN: An earlier attempt with the key may have run. This is also the
            verdict on a key that was created before its home began to decide on
            it, or longer ago than the home remembers keys.
        EXPIRED: The key is not a UUID of version 7, or its creation time is
            further in the future than a caller's clock may be ahead.
        NOT_HOME: The process asked does not decide on the key.
    """

    GO = "go"
    IN_PROGRESS = "in_progress"
    RAN = "ran"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    NOT_HOME = "not_home"


@attrs.frozen
class BeginRequest:
    """Asks the home of an idempotency key whether an attempt may run.

    Attributes:
        sender: The process that would run the attempt.
        account: Client account of the caller.
        key: Idempotency key, a UUID of version 7, unique within the client
            account.
        attempt: Identifier of the attempt: that of the caller's request.
    """

    sender: Process
    account: str
    key: str
    attempt: str


@attrs.frozen
class BeginReply:
    """Verdict of the home on an attempt.

    Attributes:
        state: ``GO`` if the attempt may run, else the reason why not.
    """

    state: KeyState


@attrs.frozen
class FinishRequest:
    """Reports the outcome of an attempt to the home of its key.

    Attributes:
        account: Client account of the caller.
        key: Idempotency key of the request.
        attempt: Identifier of the attempt, as in its ``BeginRequest``.
        outcome: Whether the attempt ran.
    """

    account: str
    key: str
    attempt: str
    outcome: Outcome


@attrs.frozen
class FinishReply:
    """Acknowledges the report of an outcome.

    Attributes:
        recorded: Whether the home still knew the attempt and recorded its
            outcome.
    """

    recorded: bool


class SubStatus(enum.StrEnum):
    """Status of one sub-request at a relay.

    Attributes:
        OK: The target answered.
        NOT_OWNER: The relay holds no rights to the target or takes no requests.
        NO_SLOT: The target is unavailable or has no free slot for the request.
        SHED: The target refused the request, or the relay dropped the request
            from its queue before a slot was free.
        EXPIRED: The deadline passed before the target answered.
        VERSION_MISMATCH: The target does not hold the index version asked for.
        CROSSED: The answer carries the identifier of another request or the
            name of another shard.
        CRASHED: The connection closed without an answer, and the target seems
            to have restarted.
        FAILED: The request to the relay or the target failed, or the target's
            answer was unusable.
    """

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
    """A request for one shard, sent to one target.

    Attributes:
        shard: Name of the shard.
        target: Name of the target.
    """

    shard: str
    target: str


@attrs.frozen
class ScatterRequest:
    """Sub-requests of one caller's request, for targets that a relay owns.

    Attributes:
        sender: The entry that sends the message.
        request_id: Identifier of the caller's request.
        account: Client account of the caller.
        route: Name of the route.
        generation: Layout generation that the request is pinned to.
        version: Index version that the targets must use; None for any.
        remaining: Seconds that the relay has to answer, counted from the
            arrival of the message; a little less than the entry has until the
            caller's deadline.
        body: Body of the caller's request, passed on to the targets.
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
    """The answer to one sub-request; a relay streams these as JSON lines.

    Attributes:
        shard: Name of the shard asked for.
        target: Name of the target asked; empty if none was.
        status: Status of the sub-request.
        outcome: Whether the target ran the request.
        generation: Layout generation of the answer; 0 if there is none.
        version: Index version of the answer; 0 if there is none.
        payload: The target's result, any JSON value.
        latency: Seconds from the request to the target until its complete
            response.
        queued: Seconds that the request waited at the relay for a slot.
        versions: Index versions that the target holds; empty if unknown.
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
