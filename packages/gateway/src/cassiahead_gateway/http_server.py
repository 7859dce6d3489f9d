"""HTTP server that runs one handler coroutine for each request.

The coroutine is cancelled when the client closes the connection.
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

# These limits of the HTTP parser only protect memory. The configured limit on
# bodies is enforced when a request is admitted.
_MAX_HEADER_BYTES = 64 * 1024
_MAX_BODY_BYTES = 8 * 1024 * 1024
_IDLE_TIMEOUT_S = 60.0


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
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


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


class HttpServer(httputil.HTTPServerConnectionDelegate):
    """HTTP server on one address.

    Attributes:
        is_closing: Whether to close each connection after its next reply.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        """Creates a server that does not listen yet.

        Args:
            address: IP address and port to listen on.
            handler: Called with each request.
        """
        self._address = address
        self._handler = handler
        self._server = httpserver.HTTPServer(
            self,
            max_header_size=_MAX_HEADER_BYTES,
            max_body_size=_MAX_BODY_BYTES,
            idle_connection_timeout=_IDLE_TIMEOUT_S,
        )
        self.is_closing = False
        self._transactions: dict[object, _ServerTransaction] = {}

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._transactions)

    @property
    def in_flight_count(self) -> int:
        """Number of requests that are being received or handled."""
        return sum(1 for t in self._transactions.values() if not t.is_idle)

    def listen(self) -> None:
        """Starts listening on the address."""
        host, port = addresses.split_address(self._address)
        self._server.listen(port, host, backlog=512)

    def stop_listening(self) -> None:
        """Accepts no more connections; open connections are kept."""
        self._server.stop()

    def close_idle(self) -> None:
        """Closes the connections on which no request is being served.

        A request that arrives while its connection is being closed is not
        served, so its sender may safely repeat it elsewhere.
        """
        for transaction in [
            t for t in self._transactions.values() if t.is_idle
        ]:
            transaction.close()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the delegate that reads the next request of a connection.

        Called by tornado as soon as the connection is ready for a request.

        Args:
            server_conn: Key that identifies the connection until ``on_close``.
            request_conn: Connection over which to send the response.
        """
        transaction = _ServerTransaction(self, self._handler, request_conn)
        self._transactions[server_conn] = transaction
        return transaction

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that has been closed; called by tornado."""
        self._transactions.pop(server_conn, None)


class _ServerTransaction(httputil.HTTPMessageDelegate):
    """One request of a connection, from waiting for it up to its response."""

    def __init__(
        self,
        server: HttpServer,
        handler: Handler,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._server = server
        self._handler = handler
        self._connection = connection
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._chunks: list[bytes] = []
        self._received_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._is_closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no request headers have been read yet."""
        return self._start_line is None

    def close(self) -> None:
        """Closes the connection."""
        self._is_closed = True
        connection: http1connection.HTTP1Connection = self._connection  # type: ignore[assignment]
        connection.close()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._received_at = clock.monotonic()

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        assert self._start_line is not None
        if self._is_closed:
            # The request was already in the read buffer when the connection
            # was closed as idle. The client may repeat the request elsewhere,
            # so it must not be served here.
            return
        request = Request(
            self._start_line.method,
            self._start_line.path,
            self._headers,
            b"".join(self._chunks),
            self._received_at,
        )
        connection: http1connection.HTTP1Connection = self._connection  # type: ignore[assignment]
        # While a request is being served, tornado reports a closed connection
        # only through this callback.
        connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._serve(request))

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _serve(self, request: Request) -> None:
        reply = await self._handler(request)
        headers = reply.headers
        headers["Content-Length"] = str(len(reply.body))
        if self._server.is_closing:
            headers["Connection"] = "close"
        reason_phrase = _reason_phrase(reply.status)
        start_line = httputil.ResponseStartLine(
            "HTTP/1.1", reply.status, reason_phrase
        )
        body = b"" if request.method == "HEAD" else reply.body
        connection: http1connection.HTTP1Connection = self._connection  # type: ignore[assignment]
        # The write is not awaited: a client that has gone is detected through
        # the close callback of the connection.
        write_future = connection.write_headers(start_line, headers, body)
        write_future.add_done_callback(_consume_exception)
        connection.finish()


def _consume_exception(future: asyncio.Future[None]) -> None:
    """Retrieves a future's exception, which asyncio would log otherwise."""
    if not future.cancelled():
        future.exception()


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
