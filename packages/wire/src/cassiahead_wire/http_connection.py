"""HTTP/1.1 connection whose chunked bodies may have extensions and trailers.

Tornado's parser rejects both. They are discarded here, within one limit for
each message.
"""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING
from typing import Protocol

from tornado import http1connection
from tornado import httputil
from tornado import iostream

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

__all__ = [
    "MAX_DISCARDED_BYTES",
    "HttpConnection",
    "RequestReader",
    "ServerHttpConnection",
]

# Chunk extensions and trailers of one message together.
MAX_DISCARDED_BYTES = 8 * 1024
# Sixteen digits and the line end.
_MAX_SIZE_LINE_BYTES = 18
_SIZE_LINE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(;[^\r\n\0]*)?\r\n")
_TRAILER_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r\n")
# Bytes of a body after which the event loop handles other connections; each
# chunk counts as some bytes more.
_YIELD_BYTES = 256 * 1024
_CHUNK_COST_BYTES = 1024


class HttpConnection(http1connection.HTTP1Connection):
    """Reads one message, and writes one."""

    async def _read_chunked_body(
        self, delegate: httputil.HTTPMessageDelegate
    ) -> None:
        """Reads a chunked body; called by tornado.

        Raises:
            HTTPInputError: If the body is malformed or too long.
        """
        await _ChunkedBodyReader(
            self.stream,
            lambda data: self._deliver_body(delegate, data),
            self._max_body_size,
            self.params.chunk_size,
        ).read()


class _ChunkedBodyReader:
    """Reads one chunked body, and delivers it in pieces.

    Small chunks are joined as long as the next one has arrived already, so that
    the number of pieces doesn't depend on the size of the chunks.
    """

    def __init__(
        self,
        stream: object,
        deliver: Callable[[bytes], Awaitable[None]],
        max_body_bytes: int,
        piece_bytes: int,
    ) -> None:
        self._stream = stream
        self._deliver = deliver
        self._max_body_bytes = max_body_bytes
        self._piece_bytes = piece_bytes
        self._joined = bytearray()
        self._work_bytes = 0
        self._body_bytes = 0
        self._discarded_bytes = 0

    async def read(self) -> None:
        while size := await self._read_size():
            self._body_bytes += size
            if self._body_bytes > self._max_body_bytes:
                raise httputil.HTTPInputError("chunked body too large")
            await self._read_chunk(size)
        await self._read_trailers()
        await self._flush()

    async def _read_size(self) -> int:
        await self._count_work(_CHUNK_COST_BYTES)
        line = await self._read_line(_MAX_SIZE_LINE_BYTES)
        match = _SIZE_LINE_PATTERN.fullmatch(line)
        if match is None:
            raise httputil.HTTPInputError("invalid chunk size")
        self._discard(max(0, len(line) - _MAX_SIZE_LINE_BYTES))
        return int(match[1], 16)

    async def _read_chunk(self, size: int) -> None:
        while size:
            piece = await self._wait(
                self._stream.read_bytes(  # type: ignore[attr-defined]
                    min(size, self._piece_bytes), partial=True
                )
            )
            size -= len(piece)
            await self._append(piece)
            await self._count_work(len(piece))
        if await self._wait(self._stream.read_bytes(2)) != b"\r\n":  # type: ignore[attr-defined]
            raise httputil.HTTPInputError("improperly terminated chunk")

    async def _read_trailers(self) -> None:
        while (line := await self._read_line(2)) != b"\r\n":
            if not _TRAILER_PATTERN.fullmatch(line):
                raise httputil.HTTPInputError("invalid trailer")
            self._discard(len(line))

    async def _read_line(self, free_bytes: int) -> bytes:
        """Reads a line that has at most some bytes beside those discarded."""
        max_bytes = MAX_DISCARDED_BYTES - self._discarded_bytes + free_bytes
        return await self._wait(
            self._stream.read_until(b"\r\n", max_bytes=max_bytes)  # type: ignore[attr-defined]
        )

    def _discard(self, byte_count: int) -> None:
        self._discarded_bytes += byte_count
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            raise httputil.HTTPInputError("too many trailers or extensions")

    async def _wait(self, future: asyncio.Future[bytes]) -> bytes:
        if not future.done():
            await self._flush()
        return await future

    async def _append(self, piece: bytes) -> None:
        if not self._joined and len(piece) == self._piece_bytes:
            await self._deliver(piece)
            return
        self._joined += piece
        if len(self._joined) >= self._piece_bytes:
            await self._flush()

    async def _flush(self) -> None:
        if self._joined:
            data = bytes(self._joined)
            self._joined.clear()
            await self._deliver(data)

    async def _count_work(self, byte_count: int) -> None:
        self._work_bytes += byte_count
        if self._work_bytes >= _YIELD_BYTES:
            self._work_bytes = 0
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
    ) -> None:
        """Creates a connection for the next request of a stream.

        Args:
            stream: Stream of the client.
            params: Parameters of tornado's parser.
            max_header_bytes: Largest size of the headers, without the request
                line.
            reader: Decides on the request.
        """
        super().__init__(stream, False, params)
        self._max_header_bytes = max_header_bytes
        self._reader = reader

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
