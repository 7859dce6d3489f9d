"""Writes replies, and counts those that their clients have not read."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

import attrs
from tornado import httputil
from tornado import iostream

from cassiahead_wire import connection
from cassiahead_wire import http_connection
from cassiahead_wire import memory_budget
from cassiahead_wire import server_stream

if TYPE_CHECKING:
    import asyncio

    from cassiahead_gateway import http_messages
    from cassiahead_wire import body_stream

__all__ = ["ReplyWriter"]

# Larger bodies are written apart from the head, which avoids a copy.
_MAX_COPIED_BODY_BYTES = 16 * 1024


@attrs.define(eq=False)
class ReplyWriter:
    """Writes one reply.

    Attributes:
        is_started: Whether the reply has been passed to the stream.
    """

    _connection: http_connection.HttpConnection
    _stream: server_stream.ServerStream
    _budget: memory_budget.MemoryBudget
    is_started: bool = False
    _source: object = None
    _held_bytes: int = 0

    def write(
        self, reply: http_messages.Reply, method: str, is_closing: bool
    ) -> None:
        """Writes a reply without waiting until it is sent.

        Args:
            reply: The reply; its headers are changed.
            method: Method of the request.
            is_closing: Whether the connection is closed after the reply.
        """
        self.is_started = True
        headers, body = reply.headers, reply.body
        if reply.content_length is not None:
            headers["Content-Length"] = str(reply.content_length)
        elif reply.stream is None and (
            method != "HEAD" or reply.source is None
        ):
            headers["Content-Length"] = str(len(body))
        if is_closing:
            headers["Connection"] = "close"
        start_line = httputil.ResponseStartLine(
            "HTTP/1.1", reply.status, _reason_phrase(reply.status)
        )
        if method == "HEAD":
            body = b""
        # The write is not awaited: a client that has gone is detected through
        # the close callback of the connection.
        if len(body) > _MAX_COPIED_BODY_BYTES:
            self._write_part(start_line, headers, None)
            self._connection.write(body).add_done_callback(_consume_exception)
        else:
            self._write_part(start_line, headers, body)
        if self._stream.writing():
            self._count(reply)
        if reply.stream is None:
            self._connection.finish()

    async def pass_on(self, body: body_stream.BodyStream) -> None:
        """Writes the body of a reply while it arrives, after ``write``.

        If the body is cut off, the connection is closed, so that the client
        does not take the reply for a complete one.
        """
        try:
            while piece := await body.read():
                await self._connection.write(piece)
            self._connection.finish()
        except (connection.TransportError, iostream.StreamClosedError):
            self._stream.close()
        finally:
            body.release()

    def release(self) -> None:
        """Ends the count; called once the reply is sent or can't be."""
        self._source = None
        self._budget.drop(self._held_bytes)
        self._held_bytes = 0

    def _write_part(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes | None,
    ) -> None:
        future = self._connection.write_headers(start_line, headers, body)
        future.add_done_callback(_consume_exception)

    def _count(self, reply: http_messages.Reply) -> None:
        self._source = reply.source
        if reply.source is None:
            self._held_bytes = len(reply.body)
            self._budget.hold(self._held_bytes)


def _consume_exception(future: asyncio.Future[None]) -> None:
    """Retrieves a future's exception, which asyncio would log otherwise."""
    if not future.cancelled():
        future.exception()


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
