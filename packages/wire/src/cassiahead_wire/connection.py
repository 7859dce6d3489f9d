"""HTTP/1.1 client connections over tornado's parser.

One object stands for one connection, so that the owner decides on its reuse,
its silence, its cancellation and the cap on their number.
"""

from __future__ import annotations

import asyncio
import enum
import math
import socket
from typing import TYPE_CHECKING

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from cassiahead_wire import addresses
from cassiahead_wire import clock

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

__all__ = [
    "Connection",
    "ConnectionPool",
    "FailureKind",
    "Response",
    "TransportError",
]

_MAX_HEADER_BYTES = 16 * 1024
_MAX_BODY_BYTES = 8 * 1024 * 1024
_IDLE_LIMIT_S = 5.0
# A connection is given up this long before its peer may close it: a fifth of
# the time that the peer names, which may be a second only.
_IDLE_MARGIN = 0.2
_MOST_IDLE_MARGIN_S = 0.5
# A peer that is silent is noticed after about 3 s, within the 4 s after which
# the platform counts a host as connected again.
_KEEP_ALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)


class FailureKind(enum.StrEnum):
    """How an HTTP exchange failed."""

    CONNECT = "connect"
    CLOSED = "closed"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"


@attrs.frozen
class TransportError(Exception):
    """A failed HTTP exchange.

    Attributes:
        kind: How it failed.
        maybe_sent: Whether a byte of the request may have reached the peer.
        response_started: Whether a byte of the answer came.
    """

    kind: FailureKind
    maybe_sent: bool
    response_started: bool = False


@attrs.frozen
class Response:
    """A whole HTTP response; ``body`` is empty if it was streamed."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class _Collector(httputil.HTTPMessageDelegate):
    def __init__(self, on_data: Callable[[bytes], None] | None) -> None:
        self._on_data = on_data
        self._chunks: list[bytes] = []
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.finished = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        if self._on_data is not None:
            self._on_data(chunk)
        else:
            self._chunks.append(chunk)

    def finish(self) -> None:
        self.finished = True

    def response(self) -> Response:
        return Response(self.status, self.headers, b"".join(self._chunks))


class _Stream(iostream.IOStream):
    """A stream that tells whether it holds bytes nobody has asked for.

    Tornado sets and clears TCP_NODELAY around each message; here it is set once
    for the whole connection, which saves two system calls a message.
    """

    @property
    def has_unread(self) -> bool:
        """Whether bytes came that were not read."""
        return self._read_buffer_size > 0

    def set_nodelay(self, value: bool) -> None:
        """Leaves the option as it was set when the socket was made."""


class Connection:
    """One connection to one address, for one exchange at a time."""

    def __init__(self, address: str, stream: _Stream) -> None:
        """Wraps a connected stream; use ``open`` instead."""
        self._address = address
        self._stream = stream
        self._reading: asyncio.Task[bool] | None = None
        self._collector = _Collector(None)
        self._idle_limit_s = math.inf
        self.last_used_at = clock.monotonic()
        self.response_count = 0
        # With a callback the stream notices while idle that the peer closes.
        stream.set_close_callback(_ignore_close)

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> Connection:
        """Connects to an address.

        Args:
            address: IP number and port.
            timeout_s: Seconds allowed.

        Raises:
            WireError: With fault ``CONNECT``.
        """
        host, port = addresses.split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        _set_options(sock)
        stream = _Stream(sock)
        try:
            await asyncio.wait_for(stream.connect((host, port)), timeout_s)
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            stream.close()
            raise TransportError(
                FailureKind.CONNECT, maybe_sent=False
            ) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return cls(address, stream)

    @property
    def is_usable(self) -> bool:
        """Whether another exchange can begin."""
        if self._stream.closed() or self._reading is not None:
            return False
        return clock.monotonic() - self.last_used_at < self._idle_limit_s

    @property
    def is_open_and_idle(self) -> bool:
        """Whether the peer has neither closed nor sent anything unasked."""
        if self._stream.closed() or self._stream.has_unread:
            return False
        try:
            self._stream.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    async def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: httputil.HTTPHeaders | Mapping[str, str] | None = None,
        on_data: Callable[[bytes], None] | None = None,
    ) -> Response:
        """Sends a request and reads the response.

        If this raises or is cancelled, ``cancel`` or ``close`` must follow;
        after a timeout ``result`` may be asked again.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Request body.
            timeout_s: Seconds until the response must be complete.
            headers: Further headers; ``Host`` is the address by default. The
                connection adds its own to them.
            on_data: Called with each piece of the body as it arrives.

        Raises:
            WireError: If no whole response came in time.
        """
        if not self.is_usable:
            raise TransportError(FailureKind.CLOSED, maybe_sent=False)
        self._collector = _Collector(on_data)
        http = http1connection.HTTP1Connection(
            self._stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                max_header_size=_MAX_HEADER_BYTES,
                max_body_size=_MAX_BODY_BYTES,
            ),
        )
        all_headers = _own_headers(headers)
        if "Host" not in all_headers:
            all_headers["Host"] = self._address
        all_headers["Content-Length"] = str(len(body))
        start = httputil.RequestStartLine(method, path, "")
        http.write_headers(start, all_headers, body)
        http.finish()
        self._reading = asyncio.ensure_future(_read(http, self._collector))
        return await self.wait_response(timeout_s)

    async def wait_response(self, timeout_s: float) -> Response:
        """Waits for the response of the exchange that has begun.

        Raises:
            WireError: If no whole response came in time.
        """
        if self._reading is None:
            raise TransportError(FailureKind.CLOSED, maybe_sent=True)
        await asyncio.wait({self._reading}, timeout=max(0.0, timeout_s))
        collector = self._collector
        answered = collector.status != 0
        if not self._reading.done():
            raise TransportError(
                FailureKind.TIMEOUT, maybe_sent=True, response_started=answered
            )
        kept_open = self._reading.result()
        self._reading = None
        if not collector.finished or self._was_reset():
            fault = FailureKind.MALFORMED if answered else FailureKind.CLOSED
            raise TransportError(
                fault, maybe_sent=True, response_started=answered
            )
        self.last_used_at = clock.monotonic()
        self.response_count += 1
        closing = collector.headers.get("Connection", "").lower() == "close"
        if closing or not kept_open or self._stream.has_unread:
            self.close()
        else:
            self._idle_limit_s = _idle_limit(collector.headers)
        return collector.response()

    def _was_reset(self) -> bool:
        # A body without a length ends with its connection, and a reset must
        # not pass for that end.
        return self._stream.closed() and isinstance(self._stream.error, OSError)

    async def cancel(self, timeout_s: float) -> bool:
        """Abandons an exchange and waits for the peer to notice.

        Args:
            timeout_s: Seconds to wait for the peer to close its side.

        Returns:
            Whether the peer closed its side in time.
        """
        noticed = asyncio.get_running_loop().create_future()

        def on_close() -> None:
            if not noticed.done():
                noticed.set_result(None)

        self._stream.set_close_callback(on_close)
        try:
            if not self._stream.closed():
                self._stream.socket.shutdown(socket.SHUT_WR)
            await asyncio.wait({noticed}, timeout=max(0.0, timeout_s))
        except OSError:
            return True
        finally:
            self.close()
        return noticed.done()

    def close(self) -> None:
        """Closes the connection at once."""
        self._stream.close()
        if self._reading is not None:
            self._reading.cancel()


class ConnectionPool:
    """Idle connections to one address of another daemon."""

    def __init__(self, address: str, connect_timeout_s: float = 0.3) -> None:
        """Creates an empty pool."""
        self._address = address
        self._connect_timeout = connect_timeout_s
        self._idle: list[Connection] = []

    async def post(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
        on_data: Callable[[bytes], None] | None = None,
    ) -> Response:
        """Posts a message over an idle or a new connection.

        Raises:
            WireError: If no whole response came in time.
        """
        connection = self._take() or await Connection.open(
            self._address, min(timeout_s, self._connect_timeout)
        )
        try:
            response = await connection.request(
                "POST", path, body, timeout_s, on_data=on_data
            )
        except BaseException:
            connection.close()
            raise
        if connection.is_usable:
            self._idle.append(connection)
        return response

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            idle_for = clock.monotonic() - connection.last_used_at
            if connection.is_usable and idle_for < _IDLE_LIMIT_S:
                return connection
            connection.close()
        return None


def _own_headers(
    headers: httputil.HTTPHeaders | Mapping[str, str] | None,
) -> httputil.HTTPHeaders:
    if isinstance(headers, httputil.HTTPHeaders):
        return headers
    return httputil.HTTPHeaders(headers or {})


def _ignore_close() -> None:
    pass


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, seconds in _KEEP_ALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, name, seconds)


def _idle_limit(headers: httputil.HTTPHeaders) -> float:
    """Returns the seconds for which the peer keeps an idle connection."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            margin = min(_MOST_IDLE_MARGIN_S, _IDLE_MARGIN * int(value))
            return int(value) - margin
    return math.inf


async def _read(
    http: http1connection.HTTP1Connection, collector: _Collector
) -> bool:
    try:
        return await http.read_response(collector)
    except (iostream.StreamClosedError, httputil.HTTPInputError, OSError):
        return False
