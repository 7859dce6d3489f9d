"""The body of a long response, passed on while it arrives."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

import attrs

from cassiahead_wire import memory_budget
from cassiahead_wire import transport_errors

__all__ = ["BodyStream"]

# The peer is not read while more bytes than these wait for the reader.
_MAX_WAITING_BYTES = 256 * 1024


@attrs.define(eq=False)
class BodyStream:
    """Pieces of a body between the peer that sends it and its reader.

    The reader has at most the piece that it read last; that piece and those
    that wait count towards the memory budget.

    Attributes:
        on_release: Called once when the reader reads no more.
    """

    _held: memory_budget.HeldMemory
    on_release: Callable[[], None] = lambda: None
    _pieces: collections.deque[bytes] = attrs.field(factory=collections.deque)
    _waiting_bytes: int = 0
    _last_read_bytes: int = 0
    _is_complete: bool = False
    _is_cut_off: bool = False
    _has_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _has_room: asyncio.Event = attrs.field(factory=asyncio.Event)

    @classmethod
    def from_content(
        cls, held: memory_budget.HeldMemory, content: bytes
    ) -> BodyStream:
        """Creates a stream whose first bytes have arrived.

        Args:
            held: Memory in which the bytes count.
            content: The bytes.
        """
        stream = cls(held)
        if content:
            stream._pieces.append(content)
            stream._waiting_bytes = len(content)
        return stream

    @property
    def has_ended(self) -> bool:
        """Whether nothing more will arrive."""
        return self._is_complete or self._is_cut_off

    async def put(self, data: bytes) -> None:
        """Adds a piece, and waits until more may be read from the peer."""
        if self.has_ended:
            return
        self._pieces.append(data)
        self._waiting_bytes += len(data)
        has_memory = self._count()
        self._has_changed.set()
        if not has_memory or self._waiting_bytes > _MAX_WAITING_BYTES:
            self._has_room.clear()
            await self._has_room.wait()

    def finish(self) -> None:
        """Marks the body as complete."""
        self._is_complete = not self._is_cut_off
        self._has_changed.set()

    def cut_off(self) -> None:
        """Ends the body early, and frees what has not been read."""
        if self._is_complete:
            return
        self._is_cut_off = True
        self._pieces.clear()
        self._waiting_bytes = 0
        self._count()
        self._has_changed.set()
        self._has_room.set()

    def release(self) -> None:
        """Frees everything; called by the reader, which reads no more."""
        self._is_cut_off = not self._is_complete
        self._pieces.clear()
        self._waiting_bytes = self._last_read_bytes = 0
        self._held.release()
        self._has_room.set()
        on_release, self.on_release = self.on_release, lambda: None
        on_release()

    async def read(self) -> bytes:
        """Returns the next piece; empty at the end of the body.

        Raises:
            transport_errors.TransportError: If the body was cut off.
        """
        self._last_read_bytes = 0
        self._count()
        if self._waiting_bytes <= _MAX_WAITING_BYTES:
            self._has_room.set()
        while not self._pieces:
            if self._is_complete:
                return b""
            if self._is_cut_off:
                raise transport_errors.TransportError(
                    transport_errors.FailureKind.MALFORMED,
                    may_have_been_sent=True,
                    has_response_started=True,
                )
            self._has_changed.clear()
            await self._has_changed.wait()
        piece = self._pieces.popleft()
        self._waiting_bytes -= len(piece)
        self._last_read_bytes = len(piece)
        return piece

    def _count(self) -> bool:
        """Counts the bytes held; returns whether the budget allows them."""
        return self._held.try_resize_large_part(
            self._waiting_bytes + self._last_read_bytes
        )
