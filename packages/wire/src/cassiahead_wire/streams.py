"""TCP streams of client connections, and what all streams share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import iostream

if TYPE_CHECKING:
    import socket

__all__ = ["BufferedStream", "Stream"]

_READ_CHUNK_BYTES = 64 * 1024
# A read of a response stops after one chunk more than it needs, so that this
# limit is reached only by a peer that sends bytes which nobody reads.
_MAX_UNREAD_BYTES = 4 * _READ_CHUNK_BYTES


class BufferedStream(iostream.IOStream):
    """A stream that takes bytes back that were read ahead."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the read buffer holds bytes that no read has consumed."""
        return self._read_buffer_size > 0

    def unread(self, data: bytes) -> None:
        """Puts bytes back that the last read returned, for the next one.

        Args:
            data: The last bytes of what was read.
        """
        self._read_buffer[:0] = data
        self._read_buffer_size += len(data)


class Stream(BufferedStream):
    """A stream that counts its bytes and keeps TCP_NODELAY set.

    Tornado sets and clears TCP_NODELAY around each message. This stream sets
    the option once per connection, which saves two system calls per message.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Creates a stream that is not connected yet.

        Args:
            sock: Socket with the option TCP_NODELAY.
        """
        super().__init__(
            sock,
            max_buffer_size=_MAX_UNREAD_BYTES,
            read_chunk_size=_READ_CHUNK_BYTES,
        )
        self._received_bytes = 0

    @property
    def consumed_bytes(self) -> int:
        """Number of bytes that reads have consumed since the connect."""
        return self._received_bytes - self._read_buffer_size

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket; called by tornado."""
        byte_count = super().read_from_fd(buf)
        self._received_bytes += byte_count or 0
        return byte_count

    def set_nodelay(self, value: bool) -> None:
        """Does nothing: TCP_NODELAY was set when the socket was created."""
