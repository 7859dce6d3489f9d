"""How requests over connections fail."""

from __future__ import annotations

import enum

import attrs

__all__ = ["FailureKind", "TransportError"]


class FailureKind(enum.StrEnum):
    """How an HTTP request failed.

    Attributes:
        CONNECT: No connection to the peer was established.
        CLOSED: The connection closed before complete response headers arrived,
            or was not usable for a request.
        TIMEOUT: No complete response arrived in time.
        MALFORMED: The peer sent bytes that are no response or exceed a limit,
            or the response headers arrived, but the body was cut off.
    """

    CONNECT = "connect"
    CLOSED = "closed"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"


@attrs.frozen
class TransportError(Exception):
    """An HTTP request got no complete response.

    Attributes:
        kind: How the request failed.
        may_have_been_sent: Whether a byte of the request may have reached the
            peer.
        has_response_started: Whether the response headers arrived.
        has_peer_closed: Whether the peer closed or reset the connection while a
            response was due.
    """

    kind: FailureKind
    may_have_been_sent: bool
    has_response_started: bool = False
    has_peer_closed: bool = False
