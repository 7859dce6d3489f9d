"""Reads HTTP responses with tornado's parser, within limits on their size.

A faulty peer may stop in the middle of a response, send bytes that are no
response, or send a head or a body without end. None of these becomes a
``Response``.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from cassiahead_wire import body_buffer
from cassiahead_wire import memory_budget

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cassiahead_wire import body_stream
    from cassiahead_wire import streams

__all__ = ["ResponseCollector", "connection_parameters", "read_response"]

_MAX_HEADER_BYTES = 16 * 1024
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599


@functools.cache
def connection_parameters(
    max_body_bytes: int,
) -> http1connection.HTTP1ConnectionParameters:
    """Returns tornado's parameters of a connection for one response.

    Args:
        max_body_bytes: Largest size of the body.
    """
    return http1connection.HTTP1ConnectionParameters(
        max_header_size=_MAX_HEADER_BYTES, max_body_size=max_body_bytes
    )


class ResponseCollector(httputil.HTTPMessageDelegate):
    """Collects one response, and rejects it once it exceeds a limit.

    Attributes:
        status: Status of the response; 0 until its head has arrived. Interim
            responses are ignored.
        headers: Headers of the response.
        is_finished: Whether the whole response has arrived.
        is_malformed: Whether the peer sent bytes that are no response, or more
            bytes than a response may have.
    """

    def __init__(
        self,
        stream: streams.Stream,
        on_data: Callable[[bytes], None] | None = None,
        max_body_bytes: int = body_buffer.MAX_BODY_BYTES,
        budget: memory_budget.MemoryBudget | None = None,
        on_long_body: Callable[[body_buffer.Response], bool] | None = None,
    ) -> None:
        """Creates a collector for the next response on a stream.

        Args:
            stream: Stream that the response is read from.
            on_data: Called with each piece of the body as it arrives; the body
                is not kept then.
            max_body_bytes: Largest size of the body.
            budget: Budget that the body counts towards; None for that of the
                process.
            on_long_body: Called with the response when its body exceeds its
                limit or the budget; returns whether the body is passed on while
                it arrives. None to reject such a response.
        """
        self._stream = stream
        self._on_data = on_data
        self._body = body_buffer.BodyBuffer(
            budget or memory_budget.process_budget(), max_body_bytes
        )
        self._on_long_body = on_long_body
        self._body_stream: body_stream.BodyStream | None = None
        self._start_position = stream.consumed_bytes
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.is_finished = False
        self.is_malformed = False

    @property
    def is_passing_on(self) -> bool:
        """Whether the body is passed on while it arrives."""
        return self._body_stream is not None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Records the head of a final response; called by tornado."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        if 100 <= start_line.code < _MIN_FINAL_STATUS:
            return
        if not _MIN_FINAL_STATUS <= start_line.code <= _MAX_STATUS:
            self.reject()
            return
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Records a piece of the body; called by tornado.

        Returns:
            Ends when more may be read; None for at once.
        """
        if self.is_malformed:
            return None
        waiting: Awaitable[None] | None = None
        if self._body_stream is not None:
            self._body.size += len(chunk)
            waiting = self._body_stream.put(chunk)
        elif self._on_data is not None:
            self._body.size += len(chunk)
            self._on_data(chunk)
        elif not self._body.try_append(chunk):
            waiting = self._pass_on(chunk)
        if self._body.has_excessive_overhead(
            self._stream.consumed_bytes - self._start_position
        ):
            self.reject()
        return waiting

    def finish(self) -> None:
        """Records the end of the response; called by tornado.

        Tornado also takes the end of a rejected body without a length for the
        end of the response.
        """
        self.is_finished = not self.is_malformed

    def reject(self) -> None:
        """Marks the response as malformed and closes the connection."""
        self.is_malformed = True
        self.discard()
        self._stream.close()

    def discard(self) -> None:
        """Frees what has been collected."""
        self._body.discard()
        if self._body_stream is not None:
            self._body_stream.cut_off()

    def _pass_on(self, chunk: bytes) -> Awaitable[None] | None:
        """Begins to pass the body on, or rejects the response."""
        if self._on_long_body is None:
            self.reject()
            return None
        stream = self._body.take_stream()
        response = body_buffer.Response(self.status, self.headers, b"", stream)
        if not self._on_long_body(response):
            stream.release()
            self.reject()
            return None
        self._body_stream = stream
        return stream.put(chunk)

    def response(self) -> body_buffer.Response:
        """Returns the response; called once, when it has finished."""
        return self._body.take_response(self.status, self.headers)


async def read_response(
    http_connection: http1connection.HTTP1Connection,
    collector: ResponseCollector,
) -> bool:
    """Reads a response; returns whether the connection stays open after it.

    The collector tells whether the response is complete, malformed or cut off.
    """
    try:
        is_kept_open = await http_connection.read_response(collector)
    except iostream.StreamClosedError as error:
        if isinstance(error.real_error, iostream.UnsatisfiableReadError):
            # The head, or the size line of a chunk, is too long.
            collector.reject()
        return False
    except OSError:
        return False
    if not collector.is_finished:
        # Tornado has logged why, and has closed the connection.
        collector.reject()
    return is_kept_open
