"""The body of a response, within limits on it and on all bodies together."""

from __future__ import annotations

import weakref

import attrs
from tornado import httputil

from cassiahead_wire import body_stream
from cassiahead_wire import memory_budget

__all__ = ["MAX_BODY_BYTES", "BodyBuffer", "Response"]

# Largest body of one response, unless its request allows a larger one.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Complete responses up to this size are not counted.
_UNCOUNTED_RESPONSE_BYTES = 4 * 1024
# Bytes of a response besides those of the body: head, interim responses and the
# framing of chunks. A response may have as many more as its body is long.
# Endless chunks of a single byte exceed this limit early.
_MAX_OVERHEAD_BYTES = 256 * 1024


@attrs.frozen
class Response:
    """An HTTP response.

    Attributes:
        status: HTTP status code.
        headers: Response headers.
        body: Response body; empty if the body was passed to ``on_data`` or is
            passed on by ``stream``.
        stream: The body of a long response, which has not arrived yet.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes
    stream: body_stream.BodyStream | None = None


@attrs.define(eq=False)
class BodyBuffer:
    """The body of one response as far as it has arrived.

    Attributes:
        size: Number of bytes that have arrived, kept or not.
    """

    _budget: memory_budget.MemoryBudget = attrs.field(
        factory=memory_budget.process_budget
    )
    _max_bytes: int = MAX_BODY_BYTES
    size: int = 0
    _content: bytearray = attrs.field(factory=bytearray)
    _held: memory_budget.HeldMemory = attrs.field(
        default=attrs.Factory(
            lambda self: memory_budget.HeldMemory(self._budget), takes_self=True
        )
    )

    def try_append(self, chunk: bytes) -> bool:
        """Keeps a piece of the body, if the limits allow it.

        Returns:
            Whether the piece is kept. If not, the response must be rejected.
        """
        self.size += len(chunk)
        if self.size > self._max_bytes:
            return False
        if not self._held.try_resize_large_part(self.size):
            return False
        self._content += chunk
        return True

    def has_excessive_overhead(self, consumed_bytes: int) -> bool:
        """Returns whether a response has far more bytes than its body.

        Args:
            consumed_bytes: Bytes of the response that have been read, with
                those of the body.
        """
        return consumed_bytes > 2 * self.size + _MAX_OVERHEAD_BYTES

    def take_stream(self) -> body_stream.BodyStream:
        """Returns a stream with the body so far, and leaves the buffer empty.

        The last piece, which could not be kept, must be put into the stream.
        """
        stream = body_stream.BodyStream.from_content(
            self._held, bytes(self._content)
        )
        self._held = memory_budget.HeldMemory(self._budget)
        self._content = bytearray()
        return stream

    def discard(self) -> None:
        """Frees what is kept."""
        self._content = bytearray()
        self._held.release()

    def take_response(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> Response:
        """Returns a response with the body, and leaves the buffer empty.

        The body counts towards the budget until the response is freed, unless
        it is very small.

        Args:
            status: HTTP status code.
            headers: Response headers.
        """
        response = Response(status, headers, bytes(self._content))
        if len(self._content) > _UNCOUNTED_RESPONSE_BYTES:
            weakref.finalize(response, self._held.release)
            self._held = memory_budget.HeldMemory(self._budget)
        self.discard()
        return response
