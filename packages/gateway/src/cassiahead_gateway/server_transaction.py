"""One request of a client's connection, from waiting for it to its reply."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from tornado import httputil

from cassiahead_gateway import evictions
from cassiahead_gateway import http_messages
from cassiahead_gateway import reply_writer
from cassiahead_gateway import server_limits
from cassiahead_wire import clock
from cassiahead_wire import http_connection
from cassiahead_wire import memory_budget

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado import http1connection

    from cassiahead_gateway import http_server
    from cassiahead_wire import server_stream

__all__ = ["ServerTransaction"]

# A body that exceeds the memory budget waits this long; the client is not read
# meanwhile.
_MEMORY_WAIT_S = 0.5
_MEMORY_POLL_INTERVAL_S = 0.05
# Clients that observe the limits reuse connections that have been idle for up
# to this fraction of the idle timeout.
_REUSABLE_IDLE_FRACTION = 0.8
# Memory of a head while its request is handled, and sent to targets.
_HEAD_COPY_COUNT = 2
_FIELD_BYTES = 400
_LENGTH_PATTERN = re.compile(r"[0-9]+")
# Lengths with more digits exceed every limit, and could not be converted.
_MAX_LENGTH_DIGITS = 18

Refusal = server_limits.Refusal


class ServerTransaction(httputil.HTTPMessageDelegate):
    """Reads one request within the limits, and writes its reply."""

    def __init__(
        self,
        server: http_server.HttpServer,
        stream: server_stream.ServerStream,
        limits: server_limits.ServerLimits,
        params: http1connection.HTTP1ConnectionParameters,
        is_first: bool,
    ) -> None:
        """Creates the next transaction of a connection.

        Args:
            server: Server of the connection.
            stream: Stream of the connection.
            limits: Limits in force.
            params: Parameters of tornado's parser for these limits.
            is_first: Whether the connection has carried no request yet.
        """
        self._server = server
        self._stream = stream
        self._limits = limits
        self._is_first = is_first
        self._connection = http_connection.ServerHttpConnection(
            stream,
            params,
            limits.max_header_bytes,
            self,
            server.turns,
        )
        self._writer = reply_writer.ReplyWriter(
            self._connection, stream, server.budget
        )
        stream.on_line_too_long = self._refuse_line
        stream.on_memory_short = self._refuse_for_memory
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._body = bytearray()
        self._head_bytes = 0
        self._held_memory = memory_budget.HeldMemory(server.budget)
        self._received_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._is_closed = False
        # Times on the server's active clock.
        self._waiting_since = server.active_time
        self._phase_since: float | None = None
        self._delaying_since = server.active_time
        self._unsent_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request headers have been read yet."""
        return self._start_line is None

    @property
    def is_receiving_body(self) -> bool:
        """Whether the head of a request has been read, but not all of it."""
        return (
            self._start_line is not None
            and self._task is None
            and not self._stream.closed()
            and not self._stream.is_refused
        )

    async def run(self) -> bool:
        """Reads the request, and waits until its reply is sent.

        Returns:
            Whether the connection is kept open.

        Raises:
            StreamClosedError: If the connection was closed or refused.
        """
        try:
            return await self._connection.read_response(self)
        finally:
            self._writer.release()
            self._release_request()

    def close(self) -> None:
        """Closes the connection."""
        self._is_closed = True
        self._connection.close()
        # Tornado doesn't report a close from this side to the task.
        self.on_connection_close()

    @property
    def eviction_rank(self) -> evictions.EvictionRank | None:
        """Place in the order of eviction; None while a request is handled."""
        if self._stream.closed():
            return None
        stage = evictions.EvictionStage
        if self._stream.is_refused:
            return evictions.EvictionRank(stage.REFUSED, self._waiting_since)
        if self._writer.is_started or (
            self._start_line is not None and self._task is None
        ):
            return evictions.EvictionRank(stage.DELAYING, self._delaying_since)
        if self._task is not None:
            return None
        if self.idle_s(self._server.active_time) is not None:
            return evictions.EvictionRank(stage.IDLE, self._waiting_since)
        has_unread_reply = self._stream.unsent_bytes > 0
        if self._is_first or self._stream.has_unread_bytes or has_unread_reply:
            return evictions.EvictionRank(stage.DELAYING, self._waiting_since)
        return evictions.EvictionRank(stage.KEPT, self._waiting_since)

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that an eviction gives back."""
        return self._held_memory.byte_count + self._stream.held_bytes

    def evict(self) -> None:
        """Closes the connection, and gives its memory back."""
        rank = self.eviction_rank
        self._server.remove(self._stream)
        match rank:
            case evictions.EvictionRank(evictions.EvictionStage.DELAYING):
                self._server.record_refusal(Refusal.DELAY_EVICTED)
            case evictions.EvictionRank(
                evictions.EvictionStage.IDLE | evictions.EvictionStage.KEPT
            ):
                self._server.record_refusal(Refusal.IDLE_EVICTED)
        self.close()
        self._stream.close()
        self._release_request()
        self._writer.release()

    def idle_s(self, now: float) -> float | None:
        """Returns for how long the connection may have been evictable.

        Args:
            now: Time on the server's active clock.

        Returns:
            Seconds since the connection became evictable: it has waited for a
            request for longer than clients that observe the limits let it. None
            if it is not evictable.
        """
        if not self.is_idle or self._stream.has_unread_bytes:
            return None
        grace_period_s = _REUSABLE_IDLE_FRACTION * self._limits.idle_timeout_s
        if self._is_first:
            grace_period_s = min(self._limits.header_timeout_s, grace_period_s)
        grace_period_s += self._server.clock_granularity_s
        idle_s = now - self._waiting_since - grace_period_s
        return idle_s if idle_s > 0 else None

    def check_timeouts(self, now: float) -> None:
        """Refuses or closes a client that is too slow.

        Args:
            now: Time on the server's active clock.
        """
        if self._stream.closed() or self._stream.is_refused:
            return
        if self._writer.is_started:
            self._check_reply(now)
        elif self._start_line is None:
            self._check_head(now)
        elif self.is_receiving_body and self._has_passed(
            now, self._limits.body_timeout_s
        ):
            self.refuse_as_late()

    def admit_head(self, byte_count: int, field_count: int) -> bool:
        """Counts a head, or refuses the request; called before it is parsed.

        Args:
            byte_count: Size of the head.
            field_count: Number of its header fields.

        Returns:
            Whether the head may be parsed.
        """
        self._head_bytes = (
            _HEAD_COPY_COUNT * byte_count + _FIELD_BYTES * field_count
        )
        if self._held_memory.try_resize(self._head_bytes):
            return True
        self._refuse(Refusal.MEMORY_SHORT)
        return False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Records the head, or refuses the request; called by tornado."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._received_at = clock.monotonic()
        self._phase_since = self._delaying_since = self._server.active_time
        if _declared_length(headers) > self._limits.max_body_bytes:
            return self._refuse(Refusal.BODY_TOO_LARGE)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keeps a piece of the body, or refuses it; called by tornado."""
        if self._stream.is_refused:
            return None
        if len(self._body) + len(chunk) > self._limits.max_body_bytes:
            return self._refuse(Refusal.BODY_TOO_LARGE)
        if not self._try_count(len(self._body) + len(chunk)):
            return self._wait_for_memory(chunk)
        self._body += chunk
        return None

    def refuse_as_late(self) -> None:
        """Refuses a request that has not arrived in time."""
        self._refuse(Refusal.TOO_SLOW)

    def refuse_malformed(self) -> None:
        """Refuses the request; called by the parser."""
        self._refuse(Refusal.MALFORMED)

    def refuse_head(self) -> None:
        """Refuses the request; called by the parser."""
        self._refuse(Refusal.HEAD_TOO_LARGE)

    def finish(self) -> None:
        """Handles the complete request; called by tornado."""
        assert self._start_line is not None
        if self._is_closed or self._stream.is_refused:
            # The request was already in the read buffer when the connection
            # was closed as idle. The client may repeat the request elsewhere,
            # so it must not be served here.
            return
        request = http_messages.Request(
            self._start_line.method,
            self._start_line.path,
            self._headers,
            bytes(self._body),
            self._received_at,
        )
        self._body = bytearray()
        # While a request is being served, tornado reports a closed connection
        # only through this callback.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = self._server.spawn(self._serve(request))

    def on_connection_close(self) -> None:
        """Cancels the request; called by tornado."""
        if self._task is not None:
            self._task.cancel()

    async def _serve(self, request: http_messages.Request) -> None:
        reply = await self._server.handler(request)
        self._release_request()
        self._phase_since = self._delaying_since = self._server.active_time
        self._writer.write(reply, request.method, self._server.is_closing)
        if reply.stream is not None:
            await self._writer.pass_on(reply.stream)

    def _has_passed(self, now: float, timeout_s: float) -> bool:
        """Returns whether the phase has certainly lasted longer than a time."""
        return (
            self._phase_since is not None
            and now - self._phase_since
            > timeout_s + self._server.clock_granularity_s
        )

    def _check_head(self, now: float) -> None:
        if self._stream.has_unread_bytes:
            if self._phase_since is None:
                self._phase_since = now
            if self._has_passed(now, self._limits.header_timeout_s):
                self._refuse(Refusal.TOO_SLOW)
            return
        longest_idle_s = (
            self._limits.idle_timeout_s + self._server.clock_granularity_s
        )
        if now - self._waiting_since <= longest_idle_s:
            return
        if self._stream.unsent_bytes:
            # The client is still reading the last reply.
            self._check_reply(now)
        else:
            self.close()

    def _check_reply(self, now: float) -> None:
        unsent_bytes = self._stream.unsent_bytes
        if unsent_bytes != self._unsent_bytes or self._phase_since is None:
            self._unsent_bytes = unsent_bytes
            self._phase_since = now
        elif self._has_passed(now, self._limits.unread_reply_timeout_s):
            self._server.record_refusal(Refusal.REPLY_UNREAD)
            self.close()

    def _refuse_line(self) -> None:
        self._refuse(
            Refusal.HEAD_TOO_LARGE if self.is_idle else Refusal.MALFORMED
        )

    def _refuse_for_memory(self) -> None:
        self._refuse(Refusal.MEMORY_SHORT)

    def _refuse(self, refusal: server_limits.Refusal) -> Awaitable[None]:
        """Refuses the request, which has not been handled.

        Returns:
            Ends when the connection is closed.
        """
        assert self._task is None
        self._server.record_refusal(refusal)
        self._stream.refuse(
            server_limits.refusal_response(
                refusal, self._server.echoed_header_lines(self._headers)
            )
        )
        self._release_request()
        return asyncio.ensure_future(self._stream.wait_refused())

    async def _wait_for_memory(self, chunk: bytes) -> None:
        """Keeps a piece once there is memory, or refuses the request."""
        waiting_bytes = len(chunk)
        self._server.budget.hold(waiting_bytes)
        try:
            await self._wait_until_kept(chunk)
        finally:
            self._server.budget.drop(waiting_bytes)

    async def _wait_until_kept(self, chunk: bytes) -> None:
        deadline = clock.monotonic() + _MEMORY_WAIT_S
        while clock.monotonic() < deadline and not self._stream.is_refused:
            await asyncio.sleep(_MEMORY_POLL_INTERVAL_S)
            if self._stream.closed():
                return
            if self._try_count(len(self._body) + len(chunk)):
                self._body += chunk
                return
        if not self._stream.is_refused:
            self._refuse(Refusal.MEMORY_SHORT)
        await self._stream.wait_refused()

    def _try_count(self, body_bytes: int) -> bool:
        """Counts a body up to a size towards the budget, if that allows it."""
        return self._held_memory.try_resize(self._head_bytes + body_bytes)

    def _release_request(self) -> None:
        self._body = bytearray()
        self._held_memory.release()


def _declared_length(headers: httputil.HTTPHeaders) -> int:
    """Returns the length of a body, 0 if it is not declared or malformed."""
    text = headers.get("Content-Length", "")
    if not _LENGTH_PATTERN.fullmatch(text):
        return 0
    return int(text[:_MAX_LENGTH_DIGITS])
