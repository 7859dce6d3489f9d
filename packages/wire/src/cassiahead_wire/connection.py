"""HTTP/1.1 client connections over tornado's parser.

Tornado's own HTTP client hides its connections. Here each connection is an
object, so that its owner decides when to reuse the connection, when to treat a
silent peer as failed, how to cancel a request, and how many connections to
open.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import sys
from typing import TYPE_CHECKING

from tornado import httputil
from tornado import iostream

from cassiahead_wire import addresses
from cassiahead_wire import body_buffer
from cassiahead_wire import clock
from cassiahead_wire import http_connection as http_connection_lib
from cassiahead_wire import keep_alive
from cassiahead_wire import responses
from cassiahead_wire import sockets
from cassiahead_wire import streams
from cassiahead_wire import transport_errors

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cassiahead_wire import memory_budget

__all__ = [
    "Connection",
    "FailureKind",
    "Response",
    "TransportError",
]

_DISCARDED_CHUNK_BYTES = 64 * 1024
# Larger bodies are written apart from the head, so that attempts that send the
# same body share its memory.
_MAX_COPIED_BODY_BYTES = 16 * 1024

FailureKind = transport_errors.FailureKind
Response = body_buffer.Response
TransportError = transport_errors.TransportError


class Connection:
    """A connection to one address, which carries one request at a time.

    Attributes:
        last_used_at: Time of the last complete response, or of the connect
            before the first one, in seconds of ``clock.monotonic``.
        response_count: Number of complete responses received.
    """

    def __init__(
        self,
        address: str,
        stream: streams.Stream,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        """Wraps a connected stream; callers use ``open`` instead."""
        self._address = address
        self._budget = budget
        self._stream = stream
        self._response_task: asyncio.Task[bool] | None = None
        self._on_end: Callable[[], None] | None = None
        self._collector = responses.ResponseCollector(stream)
        self._idle_limit_s = math.inf
        self.last_used_at = clock.monotonic()
        self.response_count = 0
        # Tornado watches an idle stream for a close by the peer only if a close
        # callback is set.
        stream.set_close_callback(_ignore_close)

    @classmethod
    async def open(
        cls,
        address: str,
        timeout_s: float,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> Connection:
        """Connects to an address.

        Args:
            address: ``IP:port`` of the peer.
            timeout_s: Seconds until the connection must be established.
            budget: Budget that responses count towards; None for that of the
                process.

        Raises:
            TransportError: Of kind ``CONNECT``, if the connect failed or took
                too long, or if ``address`` is not an IP address with a port.
        """
        try:
            ip, port = addresses.split_address(address)
        except ValueError as error:
            raise TransportError(
                FailureKind.CONNECT, may_have_been_sent=False
            ) from error
        try:
            stream = streams.Stream(sockets.create_socket(ip))
        except OSError as error:
            # No descriptor or buffer is left for a socket.
            raise TransportError(
                FailureKind.CONNECT, may_have_been_sent=False
            ) from error
        try:
            connected = stream.connect((ip, port))
            # Unlike ``asyncio.timeout``, this keeps a connect that succeeded in
            # time if the process stood still until the timeout had passed.
            await asyncio.wait({connected}, timeout=max(0.0, timeout_s))
            if not connected.done():
                raise TimeoutError
            connected.result()
        except (OSError, iostream.StreamClosedError) as error:
            stream.close()
            raise TransportError(
                FailureKind.CONNECT, may_have_been_sent=False
            ) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return cls(address, stream, budget)

    @property
    def is_usable(self) -> bool:
        """Whether another request can be sent.

        False while a request is in flight, after a close, and near the end of
        the keep-alive time that the peer announced.
        """
        if self._stream.closed() or self._response_task is not None:
            return False
        return clock.monotonic() - self.last_used_at < self._idle_limit_s

    @property
    def is_open_and_idle(self) -> bool:
        """Whether the peer has neither closed nor sent unsolicited bytes.

        Meaningful only while no request is in flight.
        """
        return not self._has_input

    @property
    def is_response_arriving(self) -> bool:
        """Whether bytes of the response, or a close, wait to be handled."""
        return self._response_task is not None and (
            self._collector.status != 0 or self._has_input
        )

    @property
    def _has_input(self) -> bool:
        """Whether bytes or a close wait to be handled."""
        if self._stream.closed() or self._stream.has_unread_bytes:
            return True
        try:
            self._stream.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    async def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: httputil.HTTPHeaders | Mapping[str, str] | None = None,
        on_data: Callable[[bytes], None] | None = None,
        max_body_bytes: int = body_buffer.MAX_BODY_BYTES,
    ) -> Response:
        """Sends a request and reads the response.

        If the call raises or is cancelled, ``cancel`` or ``close`` must follow;
        after a timeout ``wait_response`` may be called first to wait longer.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Request body.
            timeout_s: Seconds until the response must be complete.
            headers: Request headers. ``Host`` defaults to the address.
                ``Content-Length`` is always set. An ``HTTPHeaders`` object is
                modified in place; any other mapping is copied.
            on_data: Called with each piece of the response body as it arrives;
                the body of the returned response is then empty.
            max_body_bytes: Largest body of the response; a larger one is
                malformed.

        Returns:
            The complete response, whatever its status.

        Raises:
            TransportError: If the connection is not usable, or no complete
                response arrived in time.
        """
        self.start(method, path, body, headers, None, on_data, max_body_bytes)
        return await self.wait_response(timeout_s)

    def start(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: httputil.HTTPHeaders | Mapping[str, str] | None,
        on_end: Callable[[], None] | None,
        on_data: Callable[[bytes], None] | None = None,
        max_body_bytes: int = body_buffer.MAX_BODY_BYTES,
        on_long_body: Callable[[Response], bool] | None = None,
    ) -> None:
        """Sends a request without waiting for the response; see ``request``.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Request body.
            headers: Request headers.
            on_end: Called by the event loop once ``take_response`` can be
                called. ``wait_response`` replaces the callback.
            on_data: Called with each piece of the response body.
            max_body_bytes: Largest body of the response.
            on_long_body: Called with the response when its body exceeds
                ``max_body_bytes`` or the memory budget; returns whether the
                stream of the response is going to be read. None to treat such
                a response as malformed.

        Raises:
            TransportError: If the connection is not usable.
        """
        if not self.is_usable:
            raise TransportError(FailureKind.CLOSED, may_have_been_sent=False)
        self._collector = responses.ResponseCollector(
            self._stream, on_data, max_body_bytes, self._budget, on_long_body
        )
        http_connection = http_connection_lib.HttpConnection(
            self._stream,
            True,
            responses.connection_parameters(
                max_body_bytes if on_long_body is None else sys.maxsize
            ),
        )
        all_headers = _to_http_headers(headers)
        if "Host" not in all_headers:
            all_headers["Host"] = self._address
        all_headers["Content-Length"] = str(len(body))
        request_line = httputil.RequestStartLine(method, path, "")
        if len(body) > _MAX_COPIED_BODY_BYTES:
            http_connection.write_headers(request_line, all_headers)
            http_connection.write(body)
        else:
            http_connection.write_headers(request_line, all_headers, body)
        http_connection.finish()
        self._on_end = on_end
        self._response_task = asyncio.ensure_future(
            responses.read_response(http_connection, self._collector)
        )
        self._response_task.add_done_callback(self._call_on_end)

    async def wait_response(self, timeout_s: float) -> Response:
        """Waits for the response to the request in flight.

        Args:
            timeout_s: Seconds until the response must be complete.

        Raises:
            TransportError: If no complete response arrived in time, or no
                request is in flight.
        """
        if self._response_task is None:
            raise TransportError(FailureKind.CLOSED, may_have_been_sent=True)
        if not self._response_task.done():
            await self._wait_for_end(timeout_s)
        return self.take_response()

    def take_response(self) -> Response:
        """Returns the response to the request that was sent.

        Raises:
            TransportError: If the response is not complete, or no request is in
                flight.
        """
        if self._response_task is None:
            raise TransportError(FailureKind.CLOSED, may_have_been_sent=True)
        collector = self._collector
        has_started = collector.status != 0
        if not self._response_task.done():
            raise TransportError(
                FailureKind.TIMEOUT,
                may_have_been_sent=True,
                has_response_started=has_started,
            )
        is_kept_open = self._response_task.result()
        self._response_task = None
        if not collector.is_finished or self._was_reset():
            kind = (
                FailureKind.MALFORMED
                if has_started or collector.is_malformed
                else FailureKind.CLOSED
            )
            raise TransportError(
                kind,
                may_have_been_sent=True,
                has_response_started=has_started,
                has_peer_closed=not collector.is_malformed,
            )
        self.last_used_at = clock.monotonic()
        self.response_count += 1
        response = collector.response()
        is_closing = collector.headers.get("Connection", "").lower() == "close"
        if is_closing or not is_kept_open or self._stream.has_unread_bytes:
            self.close()
        else:
            self._idle_limit_s = keep_alive.parse_idle_limit_s(
                collector.headers
            )
        return response

    async def _wait_for_end(self, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()

        def wake() -> None:
            if not waiter.done():
                waiter.set_result(None)

        self._on_end = wake
        timer = loop.call_later(max(0.0, timeout_s), wake)
        try:
            await waiter
        finally:
            timer.cancel()

    def _call_on_end(self, task: asyncio.Task[bool]) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None and not task.cancelled():
            on_end()

    def _was_reset(self) -> bool:
        # A body without Content-Length or chunked encoding ends when the peer
        # closes the connection. A reset is not such an end: the body may be
        # incomplete.
        return self._stream.closed() and isinstance(self._stream.error, OSError)

    async def cancel(self, timeout_s: float) -> bool:
        """Cancels the request in flight and closes the connection.

        Shuts down the sending side, which tells the peer that the response is
        no longer wanted, and waits for the peer to close its side. A response
        that arrives meanwhile is discarded.

        Args:
            timeout_s: Seconds to wait for the peer to close its side.

        Returns:
            True if the peer closed its side in time or had closed it before, or
            if the sending side could not be shut down.
        """
        try:
            if not self._stream.closed():
                self._stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(timeout_s):
                await self._read_until_close()
        except TimeoutError:
            return self._stream.closed()
        except OSError:
            return True
        finally:
            self.close()
        return True

    async def _read_until_close(self) -> None:
        """Reads and discards bytes until the peer closes the connection.

        Tornado's close callback would not do: reading a response clears it, and
        a stream with unread bytes does not notice that the peer has closed.
        """
        if self._response_task is not None:
            await asyncio.wait({self._response_task})
        with contextlib.suppress(iostream.StreamClosedError):
            while True:
                await self._stream.read_bytes(
                    _DISCARDED_CHUNK_BYTES, partial=True
                )

    def close(self) -> None:
        """Closes the connection and abandons a request in flight."""
        self._stream.close()
        self._collector.discard()
        # A task that passes a body on ends by itself: tornado would log its
        # cancellation.
        if (
            self._response_task is not None
            and not self._collector.is_passing_on
        ):
            self._response_task.cancel()


def _to_http_headers(
    headers: httputil.HTTPHeaders | Mapping[str, str] | None,
) -> httputil.HTTPHeaders:
    if isinstance(headers, httputil.HTTPHeaders):
        return headers
    return httputil.HTTPHeaders(headers or {})


def _ignore_close() -> None:
    pass
