"""An HTTP server whose handler is one coroutine a request.

The handler is cancelled when the client closes its connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import http
from typing import TYPE_CHECKING

import attrs
from tornado import httpserver
from tornado import httputil

from cassiahead_wire import addresses
from cassiahead_wire import clock

if TYPE_CHECKING:
    from tornado import http1connection

__all__ = ["Handler", "HttpServer", "Reply", "Request", "plain_reply"]

# Platform limits on headers and bodies are checked with the configuration; the
# parser's own bounds only protect memory.
_MAX_HEADER_BYTES = 64 * 1024
_MAX_BODY_BYTES = 8 * 1024 * 1024
_IDLE_TIMEOUT_S = 60.0


@attrs.frozen(eq=False)
class Request:
    """A whole HTTP request.

    Attributes:
        method: HTTP method.
        path: Path with query, as it was sent.
        headers: All headers.
        body: The body.
        received_at: When its headers were read, on this process's clock.
    """

    method: str
    path: str
    headers: httputil.HTTPHeaders
    body: bytes
    received_at: float


@attrs.frozen(eq=False)
class Reply:
    """A whole HTTP response."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


Handler = Callable[[Request], Awaitable[Reply]]


def plain_reply(
    status: int, body: bytes = b"", content_type: str = "text/plain"
) -> Reply:
    """Returns a response of the gateway's own."""
    headers = httputil.HTTPHeaders({"Content-Type": content_type})
    return Reply(status, headers, body)


class HttpServer(httputil.HTTPServerConnectionDelegate):
    """One listening address."""

    def __init__(self, address: str, handler: Handler) -> None:
        """Creates a server that does not listen yet."""
        self._address = address
        self._handler = handler
        self._server = httpserver.HTTPServer(
            self,
            max_header_size=_MAX_HEADER_BYTES,
            max_body_size=_MAX_BODY_BYTES,
            idle_connection_timeout=_IDLE_TIMEOUT_S,
        )
        self.closing = False
        self._exchanges: dict[object, _Exchange] = {}

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._exchanges)

    @property
    def in_flight(self) -> int:
        """Requests of which something was read and that are not answered."""
        return sum(1 for e in self._exchanges.values() if not e.idle)

    def listen(self) -> None:
        """Begins to listen."""
        host, port = addresses.split_address(self._address)
        self._server.listen(port, host, backlog=512)

    def stop_listening(self) -> None:
        """Takes no more connections; open ones go on."""
        self._server.stop()

    def close_idle(self) -> None:
        """Closes the connections on which no request is being served.

        Of a request that crosses the close nothing has been read, so its
        sender may repeat it elsewhere.
        """
        for exchange in [e for e in self._exchanges.values() if e.idle]:
            exchange.close()

    async def close(self) -> None:
        """Closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Begins to read a request."""
        exchange = _Exchange(self, self._handler, request_conn)
        self._exchanges[server_conn] = exchange
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Drops what is kept of a connection that has ended."""
        self._exchanges.pop(server_conn, None)


class _Exchange(httputil.HTTPMessageDelegate):
    def __init__(
        self,
        server: HttpServer,
        handler: Handler,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._server = server
        self._handler = handler
        self._connection = connection
        self._start: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._chunks: list[bytes] = []
        self._received_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._closed = False

    @property
    def idle(self) -> bool:
        """Whether nothing of a request was read so far."""
        return self._start is None

    def close(self) -> None:
        """Closes the connection."""
        self._closed = True
        connection: http1connection.HTTP1Connection = self._connection  # type: ignore[assignment]
        connection.close()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start = start_line
        self._headers = headers
        self._received_at = clock.monotonic()

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        assert self._start is not None
        if self._closed:
            # Its bytes were in hand when the connection was closed as idle.
            # Its sender may repeat it, so nothing must come of it here.
            return
        request = Request(
            self._start.method,
            self._start.path,
            self._headers,
            b"".join(self._chunks),
            self._received_at,
        )
        connection: http1connection.HTTP1Connection = self._connection  # type: ignore[assignment]
        # While a request is served, tornado tells of its end here only.
        connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._serve(request))

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _serve(self, request: Request) -> None:
        reply = await self._handler(request)
        headers = reply.headers
        headers["Content-Length"] = str(len(reply.body))
        if self._server.closing:
            headers["Connection"] = "close"
        reason = _reason(reply.status)
        start = httputil.ResponseStartLine("HTTP/1.1", reply.status, reason)
        body = b"" if request.method == "HEAD" else reply.body
        connection: http1connection.HTTP1Connection = self._connection  # type: ignore[assignment]
        # Nobody waits for the write: a client that has gone is noticed by
        # the connection itself.
        written = connection.write_headers(start, headers, body)
        written.add_done_callback(_ignore_failure)
        connection.finish()


def _ignore_failure(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()


def _reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
