"""TCP streams of accepted connections, with bounded memory."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

from tornado import iostream

from cassiahead_wire import streams

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from cassiahead_wire import memory_budget
    from cassiahead_wire import turn_queue


__all__ = ["ServerStream"]

_READ_CHUNK_BYTES = 16 * 1024
# Reads stop at what the parser asks for, and one chunk; this is never reached.
_MAX_UNREAD_BYTES = 4 * 1024 * 1024
# Unread bytes of a connection that don't count towards the budget.
_UNBUDGETED_BYTES = 4 * 1024
# Longer heads wait for their turn.
_MAX_UNQUEUED_HEAD_BYTES = 4 * 1024
# A refusal can be read for this long before the connection is closed. Bytes
# that arrive meanwhile are discarded: closing with unread bytes would reset the
# connection, and the peer could lose the refusal.
_LINGER_S = 1.0


class ServerStream(streams.BufferedStream):
    """A stream that counts unread bytes, and can refuse its peer.

    Attributes:
        on_line_too_long: Called when a head or another line exceeds the limit
            of its read; must call ``refuse``.
        on_memory_short: Called when unread bytes exceed the budget; must call
            ``refuse``.
    """

    def __init__(
        self,
        sock: socket.socket,
        budget: memory_budget.MemoryBudget,
        turns: turn_queue.TurnQueue,
    ) -> None:
        """Wraps an accepted socket.

        Args:
            sock: The socket; it is set to non-blocking mode.
            budget: Budget that unread bytes count towards.
            turns: Turns of all clients with long requests.
        """
        super().__init__(
            sock,
            max_buffer_size=_MAX_UNREAD_BYTES,
            read_chunk_size=_READ_CHUNK_BYTES,
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_line_too_long: Callable[[], None] = self.close
        self.on_memory_short: Callable[[], None] = self.close
        self._budget = budget
        self._turns = turns
        self._turn: asyncio.Future[None] | None = None
        self._queued_head_bytes = 0
        self._reserved_bytes = 0
        self._refusal_end: asyncio.Future[None] | None = None

    @property
    def is_refused(self) -> bool:
        """Whether ``refuse`` was called."""
        return self._refusal_end is not None

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the peer has not acknowledged.

        Without bytes in the kernel's buffer, where the system does not tell.
        """
        if self.closed():
            return 0
        try:
            buffer = fcntl.ioctl(self.socket, termios.TIOCOUTQ, b"\0" * 4)
        except OSError:
            return len(self._write_buffer)
        return int(struct.unpack("i", buffer)[0]) + len(self._write_buffer)

    @property
    def held_bytes(self) -> int:
        """Number of bytes in the buffers of this process."""
        if self.closed():
            return 0
        buffered_bytes = self._read_buffer_size + len(self._write_buffer)
        return buffered_bytes + self._queued_head_bytes

    def refuse(self, response: bytes) -> None:
        """Sends a last response, and closes soon after; reads never end.

        Args:
            response: The whole response.
        """
        if self.closed() or self.is_refused:
            return
        loop = asyncio.get_running_loop()
        self._refusal_end = loop.create_future()
        self._read_buffer.clear()
        self._read_buffer_size = 0
        self._reserve(0)
        with contextlib.suppress(iostream.StreamClosedError):
            self.write(response).add_done_callback(self._shut_down)
            self._add_io_state(self.io_loop.READ)
        loop.call_later(_LINGER_S, self.close)

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Reads a head; called by tornado.

        A long head waits for a turn: parsing one may take as long as dozens of
        ordinary requests.

        Raises:
            StreamClosedError: If the stream was closed meanwhile.
        """
        head = await super().read_until_regex(regex, max_bytes)
        if len(head) > _MAX_UNQUEUED_HEAD_BYTES:
            await self._wait_for_turn(len(head))
        return head

    async def wait_refused(self) -> None:
        """Waits until a refused connection is closed."""
        if self._refusal_end is not None:
            await asyncio.wait({self._refusal_end})

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket; called by tornado."""
        byte_count = super().read_from_fd(buf)
        if not byte_count:
            return byte_count
        if self.is_refused:
            return None
        unread_bytes = self._read_buffer_size + byte_count
        if unread_bytes <= _UNBUDGETED_BYTES or self._reserve(unread_bytes):
            return byte_count
        if self.reading():
            self.on_memory_short()
            return None
        # A request is being handled. Its response must not be replaced, and no
        # more than this chunk is read meanwhile.
        self._reserve(unread_bytes, is_forced=True)
        return byte_count

    def close(
        self,
        exc_info: (
            bool
            | BaseException
            | tuple[
                type[BaseException] | None,
                BaseException | None,
                TracebackType | None,
            ]
            | None
        ) = False,
    ) -> None:
        """Closes the stream, unless a line is too long; called by tornado."""
        is_line_too_long = isinstance(exc_info, iostream.UnsatisfiableReadError)
        if is_line_too_long and not self.closed() and not self.is_refused:
            self.on_line_too_long()
            return
        super().close(exc_info)
        self._reserve(0)
        self._release_queued_head()
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)
        if self._refusal_end is not None and not self._refusal_end.done():
            self._refusal_end.set_result(None)

    def unread(self, data: bytes) -> None:
        """Puts bytes back that the last read returned, for the next one."""
        super().unread(data)
        self._reserve(self._read_buffer_size, is_forced=True)

    def set_nodelay(self, value: bool) -> None:
        """Does nothing: TCP_NODELAY was set when the stream was created."""

    async def _wait_for_turn(self, head_bytes: int) -> None:
        """Waits for a turn to parse a head, unless memory is short.

        Args:
            head_bytes: Size of the head, which is held meanwhile.

        Raises:
            StreamClosedError: If the stream was closed meanwhile.
        """
        if not self._budget.try_reserve(head_bytes):
            return
        self._queued_head_bytes = head_bytes
        self._turn = self._turns.enqueue()
        try:
            await self._turn
        finally:
            self._release_queued_head()
            self._turn = None
        if self.closed():
            raise iostream.StreamClosedError

    def _release_queued_head(self) -> None:
        self._budget.release(self._queued_head_bytes)
        self._queued_head_bytes = 0

    def _consume(self, loc: int) -> bytes:
        data = super()._consume(loc)
        if self._reserved_bytes:
            self._reserve(self._read_buffer_size)
        return data

    def _reserve(self, unread_bytes: int, *, is_forced: bool = False) -> bool:
        """Sets how many unread bytes count; returns whether that is allowed."""
        counted_bytes = max(0, unread_bytes - _UNBUDGETED_BYTES)
        # This stream may be closed to free memory, and give its own bytes back.
        while (added_bytes := counted_bytes - self._reserved_bytes) > 0:
            if is_forced:
                self._budget.hold(added_bytes)
                break
            if self._budget.try_hold(added_bytes):
                break
            if not self._budget.free_memory():
                return False
        if added_bytes < 0:
            self._budget.drop(-added_bytes)
        self._reserved_bytes = counted_bytes
        return True

    def _shut_down(self, _future: asyncio.Future[None]) -> None:
        if not self.closed():
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)
