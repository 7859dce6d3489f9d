"""Limits of an HTTP server on its clients, and refusals of those beyond."""

from __future__ import annotations

from collections.abc import Callable
import enum
import http

import attrs

from cassiahead_gateway import errors
from cassiahead_wire import body_buffer

__all__ = ["LimitsSource", "Refusal", "ServerLimits", "refusal_response"]

_RETRY_AFTER_S = 0.3


@attrs.frozen
class ServerLimits:
    """Limits on the clients of one server.

    Attributes:
        max_header_bytes: Largest size of all headers of a request together.
        max_body_bytes: Largest body of a request.
        header_timeout_s: Seconds from the first byte of a head to its last.
        idle_timeout_s: Seconds for which a connection without a request is
            kept; under pressure, four fifths of it.
        body_timeout_s: Seconds from a request's head to the end of its body.
        unread_reply_timeout_s: Seconds for which a client may take no byte of a
            reply.
        max_connections: Number of connections kept open.
        max_connections_per_address: The same for one IP address; 0 for no
            limit.
    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = body_buffer.MAX_BODY_BYTES
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    body_timeout_s: float = 30.0
    unread_reply_timeout_s: float = 30.0
    max_connections: int = 3000
    max_connections_per_address: int = 0


LimitsSource = Callable[[], ServerLimits]


class Refusal(enum.Enum):
    """Why a client was refused or its connection closed.

    No refused request has been handled. Refusals without an error code close
    the connection without a response.
    """

    BODY_TOO_LARGE = (
        errors.ErrorCode.BODY_TOO_LARGE,
        "the request body is too large",
    )
    HEAD_TOO_LARGE = (
        errors.ErrorCode.HEAD_TOO_LARGE,
        "the request headers are too large",
    )
    TOO_SLOW = (
        errors.ErrorCode.TOO_SLOW,
        "the request did not arrive in time",
    )
    MEMORY_SHORT = (
        errors.ErrorCode.MEMORY_SHORT,
        "too many bytes are held for requests",
    )
    MALFORMED = (errors.ErrorCode.MALFORMED, "the request is malformed")
    TOO_MANY_CONNECTIONS = (
        errors.ErrorCode.TOO_MANY_CONNECTIONS,
        "too many connections are open",
    )
    IDLE_EVICTED = (None, "idle")
    DELAY_EVICTED = (None, "unfinished request or unread reply")
    REPLY_UNREAD = (None, "unread reply")

    @property
    def label(self) -> str:
        """Name in metrics and events."""
        return self.name.lower()


def refusal_response(
    refusal: Refusal, header_lines: tuple[str, ...] = ()
) -> bytes:
    """Returns the bytes of a refusal.

    Args:
        refusal: Reason, which must have an error code.
        header_lines: Further header lines, without line ends.
    """
    code, detail = refusal.value
    assert code is not None
    status = code.status
    body = f"{code.identifier} {detail}\n"
    lines = [
        f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}",
        "Content-Type: text/plain",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *header_lines,
    ]
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"Retry-After: {_RETRY_AFTER_S:.3f}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode("latin-1")
