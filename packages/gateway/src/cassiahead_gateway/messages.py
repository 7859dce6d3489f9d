"""JSON messages that gateways send each other."""

from __future__ import annotations

import json
from typing import TypeVar
import zlib

import attrs
import cattrs

from cassiahead_decisions import load_counts
from cassiahead_decisions import poison
from cassiahead_decisions import record_freshness
from cassiahead_decisions import record_position
from cassiahead_decisions import target_sightings
from cassiahead_wire import addresses as addresses_lib

__all__ = [
    "Heartbeat",
    "MessageError",
    "RecordChange",
    "RecordsReply",
    "RecordsRequest",
    "compress",
    "decode",
    "decode_heartbeat",
    "decompress",
    "encode",
    "encode_heartbeat",
]

_MessageT = TypeVar("_MessageT")

# Longest text of a compressed message; records are at most a few megabytes.
_MAX_TEXT_BYTES = 16 * 1024 * 1024
# Text that is frequent in heartbeats, so that short ones can be compressed. It
# is part of the protocol: both ends must have the same.
_HEARTBEAT_DICTIONARY = (
    b'"ignores_reports":true,"crashes":[{"fingerprint":"","process":"",'
    b'"number":,"count":,"ttl_s":}],"failing_targets":[],"slow_targets":[{"target":"i-",'
    b'"first_s":0.,"last_s":0.,"hosts":1,"good_s":0.}],"addresses":["10."],"is_full":true,'
    b'"wants_full":true,"leaving":1,{"process":"front-","address":"10.",'
    b'"uptime_s":,"at":,"staying":,"fleet":,"reads":[{"process":"front-",'
    b'"number":,"revision":,"age_s":0.}],"admitted":{"":,},"report":,'
    b'"merged_report":}'
)
_JSON_OBJECT_START = b"{"
# Bound of the numbers in messages, so that they can be used in calculations.
_MAX_NUMBER = 2**63 - 1
# A reason may repeat parts of the message.
_MAX_REASON_CHARACTERS = 200


class MessageError(Exception):
    """A message is not valid JSON, or has missing or invalid fields."""

    code = "CG30"


def _check_address(_: object, __: object, address: str) -> None:
    addresses_lib.split_address(address)


@attrs.frozen
class RecordChange:
    """A write or a deletion of one record.

    Attributes:
        key: Name of the record.
        revision: Revision of the change, in the era of the message.
        value: Text of the record; None for a deletion.
    """

    key: str
    revision: int
    value: str | None


@attrs.frozen
class Heartbeat:
    """State of the sending process, sent as a request and as the reply to one.

    The counts of members and admissions are those of the sender and of its
    groups that are closer to it than to the receiver.

    Attributes:
        process: Name of the sender, new at each start.
        address: Address at which the sender accepts heartbeats.
        uptime_s: Seconds since the sender started.
        at: Revision up to which the sender knows the records.
        staying: Number of members that are not shutting down.
        fleet: Number of processes of the whole fleet, as the sender knows it.
        leaving: Number of members that are shutting down.
        is_full: Whether the message has all that a new partner needs: all known
            addresses, and the accounts without recent admissions.
        wants_full: Whether the sender needs a full message.
        reads: Recent reads of the configuration service, by any process.
        addresses: Addresses at which there may be other processes, as far as
            the receiver may not know them.
        admitted: Number of requests admitted since the sender's start, by
            client account, as far as the receiver may lack it.
        report: Number of this report of admissions to the receiver.
        merged_report: Highest number of the receiver's reports that the sender
            has merged; 0 if it has merged none.
        ignores_reports: Whether the sender has no use for the receiver's
            admissions, since it gets them from another process.
        crashes: Crashes of targets that the fleet has detected lately.
        slow_targets: Targets that were seen to be slow lately, as far as the
            receiver may lack it.
        failing_targets: As ``slow_targets``, of targets that lose answers.
        era: Era of the configuration service that ``at`` belongs to.
        loads: Loads of destinations with recent refusals for lack of capacity,
            as far as the receiver may lack them.
    """

    process: str
    address: str = attrs.field(validator=_check_address)
    uptime_s: float
    at: int
    staying: int
    fleet: int
    leaving: int = 0
    is_full: bool = False
    wants_full: bool = False
    reads: list[record_freshness.ReadReport] = attrs.field(factory=list)
    addresses: list[str] = attrs.field(factory=list)
    admitted: dict[str, int] = attrs.field(factory=dict)
    report: int = 0
    merged_report: int = 0
    ignores_reports: bool = False
    crashes: list[poison.RelayedReport] = attrs.field(factory=list)
    slow_targets: list[target_sightings.SightingReport] = attrs.field(
        factory=list
    )
    failing_targets: list[target_sightings.SightingReport] = attrs.field(
        factory=list
    )
    loads: list[load_counts.LoadReport] = attrs.field(factory=list)
    era: int = 0

    @property
    def position(self) -> record_position.RecordPosition:
        """Position up to which the sender knows the records."""
        return record_position.RecordPosition(self.era, self.at)


@attrs.frozen
class RecordsRequest:
    """Request for the records that the sender lacks.

    Attributes:
        after: Revision up to which the sender knows the records.
        era: Era of the configuration service that ``after`` belongs to.
    """

    after: int
    era: int = 0

    @property
    def position(self) -> record_position.RecordPosition:
        """Position up to which the sender knows the records."""
        return record_position.RecordPosition(self.era, self.after)


@attrs.frozen
class RecordsReply:
    """Records that a peer lacks.

    Attributes:
        at: Revision up to which the receiver knows the records afterwards.
        changes: Records that the receiver lacks.
        complete: Whether ``changes`` are all existing records.
        reads: Recent reads of the configuration service, by any process.
        tokens: Tokens in the fleet-wide token bucket of each client account,
            for a process that knew no records; None for others.
        era: Era of the configuration service that the revisions belong to.
        listed: Revision of the listing with which the sender's era was entered;
            0 in era 0.
    """

    at: int
    changes: list[RecordChange]
    complete: bool = False
    reads: list[record_freshness.ReadReport] = attrs.field(factory=list)
    tokens: dict[str, float] | None = None
    era: int = 0
    listed: int = 0


def _converter() -> cattrs.Converter:
    # Fields with default values are omitted to keep the messages small.
    converter = cattrs.Converter(
        detailed_validation=False, omit_if_default=True
    )
    converter.register_structure_hook(
        int, lambda value, _: int(_checked_number(value))
    )
    converter.register_structure_hook(
        float, lambda value, _: float(_checked_number(value))
    )
    converter.register_structure_hook(
        bool, lambda value, _: _checked(value, bool)
    )
    converter.register_structure_hook(
        str, lambda value, _: _checked(value, str)
    )
    return converter


def _checked_number(value: object) -> float:
    """Returns a finite number that is not too large.

    Raises:
        ValueError: If the value is something else.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {type(value).__name__}")
    if not -_MAX_NUMBER <= value <= _MAX_NUMBER:
        raise ValueError("a number is too large")
    return value


def _checked(value: object, expected_type: type) -> object:
    if not isinstance(value, expected_type):
        raise ValueError(
            f"expected {expected_type.__name__}, got {type(value).__name__}"
        )
    return value


_CONVERTER = _converter()


def encode(message: Heartbeat | RecordsRequest | RecordsReply) -> bytes:
    """Returns a message as UTF-8 JSON; omits fields with default values."""
    fields = _CONVERTER.unstructure(message)
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(text: bytes, message_type: type[_MessageT]) -> _MessageT:
    """Decodes a message from JSON.

    Args:
        text: The message.
        message_type: Type of the message.

    Raises:
        MessageError: If the text is not a valid message of the type.
    """
    try:
        return _CONVERTER.structure(json.loads(text), message_type)
    except Exception as error:
        raise MessageError(str(error)[:_MAX_REASON_CHARACTERS]) from error


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Returns a heartbeat as compressed JSON."""
    compressor = zlib.compressobj(1, zdict=_HEARTBEAT_DICTIONARY)
    return compressor.compress(encode(heartbeat)) + compressor.flush()


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decodes a heartbeat, which may also be plain JSON.

    Raises:
        MessageError: If the body is not a valid heartbeat.
    """
    if not body.startswith(_JSON_OBJECT_START):
        body = decompress(body, _HEARTBEAT_DICTIONARY)
    return decode(body, Heartbeat)


def compress(text: bytes) -> bytes:
    """Compresses an encoded message, in the zlib format."""
    return zlib.compress(text, 1)


def decompress(data: bytes, dictionary: bytes = b"") -> bytes:
    """Decompresses an encoded message.

    Args:
        data: The compressed message.
        dictionary: Text that the sender compressed with.

    Raises:
        MessageError: If the data is not complete or the text is too long.
    """
    decompressor = zlib.decompressobj(zdict=dictionary)
    try:
        text = decompressor.decompress(data, _MAX_TEXT_BYTES)
    except zlib.error as error:
        raise MessageError(str(error)) from error
    if not decompressor.eof:
        raise MessageError("the compressed message is cut off or too long")
    return text
