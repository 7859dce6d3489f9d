"""Complete HTTP requests and responses of the gateway's servers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
from tornado import httputil

from cassiahead_wire import body_stream

__all__ = ["Handler", "Reply", "Request", "plain_reply"]


@attrs.frozen(eq=False)
class Request:
    """A complete HTTP request.

    Attributes:
        method: HTTP method.
        path: Path with query, as the client sent it.
        headers: All headers.
        body: Request body, with any transfer coding removed.
        received_at: When the headers were read, in seconds on this process's
            monotonic clock.
    """

    method: str
    path: str
    headers: httputil.HTTPHeaders
    body: bytes
    received_at: float


@attrs.frozen(eq=False)
class Reply:
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: Headers; the server adds ``Content-Length`` and, while closing,
            ``Connection``.
        body: Response body.
        content_length: Length in bytes of the body that a response to HEAD
            omits, or of ``stream``. None for the length of ``body``; in a
            response to HEAD that has a source, or with a stream, for an unknown
            length.
        source: Response that the body is counted for until it is freed; the
            server keeps it until the body has been sent. None if there is none.
        stream: Body that arrives while it is sent, in place of ``body``; the
            server releases it.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes
    content_length: int | None = None
    source: object = None
    stream: body_stream.BodyStream | None = None


Handler = Callable[[Request], Awaitable[Reply]]


def plain_reply(
    status: int, body: bytes = b"", content_type: str = "text/plain"
) -> Reply:
    """Returns a response that the gateway generates itself.

    Args:
        status: HTTP status.
        body: Response body.
        content_type: Media type of the body.
    """
    headers = httputil.HTTPHeaders({"Content-Type": content_type})
    return Reply(status, headers, body)
