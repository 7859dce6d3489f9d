"""HTTP/1.1 connection whose chunked bodies may have extensions and trailers.

Tornado's parser rejects both.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from cassiahead_wire import chunked_decoder
from cassiahead_wire import streams
from cassiahead_wire import turn_queue

if TYPE_CHECKING:
    from collections.abc import Awaitable

__all__ = [
    "HttpConnection",
    "RequestReader",
    "ServerHttpConnection",
]

# Bytes of a body after which the event loop handles other connections; each
# chunk counts as some bytes more.
_YIELD_BYTES = 64 * 1024
_CHUNK_COST_BYTES = 1024


class HttpConnection(http1connection.HTTP1Connection):
    """Reads one message, and writes one."""

    _work_bytes = 0

    async def _read_chunked_body(
        self, delegate: httputil.HTTPMessageDelegate
    ) -> None:
        """Reads a chunked body; called by tornado.

        Raises:
            HTTPInputError: If the body is malformed or too long.
        """
        stream = self.stream
        assert isinstance(stream, streams.BufferedStream)
        decoder = chunked_decoder.ChunkedDecoder(self._max_body_size)
        while not decoder.is_finished:
            chunk_count_before = decoder.chunk_count
            encoded = await stream.read_bytes(
                self.params.chunk_size, partial=True
            )
            data = decoder.feed(encoded)
            if data:
                await self._deliver_body(delegate, data)
            chunk_count = decoder.chunk_count - chunk_count_before
            work_bytes = len(encoded) + chunk_count * _CHUNK_COST_BYTES
            # Nothing is held while others have their turns.
            del encoded, data
            await self._count_work(work_bytes)
        stream.unread(decoder.unused)

    async def _read_fixed_body(
        self, content_length: int, delegate: httputil.HTTPMessageDelegate
    ) -> None:
        """Reads a body of a known length; called by tornado."""
        while content_length > 0:
            data = await self.stream.read_bytes(
                min(self.params.chunk_size, content_length), partial=True
            )
            content_length -= len(data)
            await self._deliver_body(delegate, data)
            work_bytes = len(data)
            # Nothing is held while others have their turns.
            del data
            await self._count_work(work_bytes)

    async def _count_work(self, byte_count: int) -> None:
        """Yields to other connections after some work."""
        self._work_bytes += byte_count
        if self._work_bytes >= _YIELD_BYTES:
            self._work_bytes = 0
            await self._yield()

    async def _yield(self) -> None:
        await asyncio.sleep(0)


class RequestReader(Protocol):
    """Decides on a request while it is read."""

    def refuse_malformed(self) -> object:
        """Refuses the request, which is malformed."""

    def refuse_head(self) -> object:
        """Refuses the request, whose headers exceed the limit."""

    def admit_head(self, byte_count: int, field_count: int) -> bool:
        """Returns whether a head may be parsed; if not, it has been refused.

        Args:
            byte_count: Size of the head.
            field_count: Number of its header fields.
        """


class ServerHttpConnection(HttpConnection):
    """Reads one request; reports a malformed one instead of answering it."""

    def __init__(
        self,
        stream: iostream.IOStream,
        params: http1connection.HTTP1ConnectionParameters,
        max_header_bytes: int,
        reader: RequestReader,
        turns: turn_queue.TurnQueue,
    ) -> None:
        """Creates a connection for the next request of a stream.

        Args:
            stream: Stream of the client.
            params: Parameters of tornado's parser.
            max_header_bytes: Largest size of the headers, without the request
                line.
            reader: Decides on the request.
            turns: Turns of all clients with long requests.
        """
        super().__init__(stream, False, params)
        self._max_header_bytes = max_header_bytes
        self._reader = reader
        self._turns = turns

    async def _yield(self) -> None:
        await self._turns.enqueue()

    def _parse_headers(self, data: bytes) -> tuple[str, httputil.HTTPHeaders]:
        request_line_bytes = data.lstrip(b"\r\n").find(b"\n") + 1
        if len(data) - request_line_bytes > self._max_header_bytes:
            self._reader.refuse_head()
            raise iostream.StreamClosedError
        if not self._reader.admit_head(len(data), data.count(b"\n")):
            raise iostream.StreamClosedError
        try:
            start_line, headers = super()._parse_headers(data)
            httputil.parse_request_start_line(start_line)
        except httputil.HTTPInputError as error:
            self._reader.refuse_malformed()
            raise iostream.StreamClosedError from error
        return start_line, headers

    def _read_body(
        self,
        code: int,
        headers: httputil.HTTPHeaders,
        delegate: httputil.HTTPMessageDelegate,
    ) -> Awaitable[None] | None:
        try:
            body = super()._read_body(code, headers, delegate)
        except httputil.HTTPInputError as error:
            self._reader.refuse_malformed()
            raise iostream.StreamClosedError from error
        return None if body is None else self._read_valid_body(body)

    async def _read_valid_body(self, body: Awaitable[None]) -> None:
        try:
            await body
        except httputil.HTTPInputError as error:
            self._reader.refuse_malformed()
            raise iostream.StreamClosedError from error
