"""Decodes bodies in chunked transfer coding, without input or output.

Chunk extensions and trailers are discarded, within one limit for each message.
Chunks of a few bytes are decoded many at a time: their framing costs a peer
little, and must not cost this process much more.
"""

from __future__ import annotations

import enum
import re

import attrs
from tornado import httputil

__all__ = ["MAX_DISCARDED_BYTES", "ChunkedDecoder"]

# Chunk extensions and trailers of one message together.
MAX_DISCARDED_BYTES = 8 * 1024
# Sixteen digits and the line end.
_MAX_SIZE_LINE_BYTES = 18
_SIZE_LINE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(;[^\r\n\0]*)?\r\n")
_TRAILER_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r\n")
_LINE_END = b"\r\n"


@attrs.frozen
class _EqualChunks:
    """A run of chunks of the same size, which has one digit.

    Attributes:
        size: Data bytes of each chunk.
        pattern: Matches such a run.
    """

    size: int
    pattern: re.Pattern[bytes]

    @classmethod
    def from_digit(cls, digit: int) -> _EqualChunks:
        size = int(chr(digit), 16)
        chunk = rb"%c\r\n[\s\S]{%d}\r\n" % (digit, size)
        return cls(size, re.compile(rb"(?:" + chunk + rb")++"))

    @property
    def stride(self) -> int:
        """Bytes from one chunk to the next."""
        return 1 + len(_LINE_END) + self.size + len(_LINE_END)

    def data(self, run: bytes) -> bytes:
        """Returns the data in a run."""
        data = bytearray(self.size * (len(run) // self.stride))
        first = 1 + len(_LINE_END)
        for offset in range(self.size):
            data[offset :: self.size] = run[first + offset :: self.stride]
        return bytes(data)


_EQUAL_CHUNKS_BY_DIGIT = {
    digit: _EqualChunks.from_digit(digit) for digit in b"123456789abcdefABCDEF"
}


class _Phase(enum.Enum):
    """What comes next."""

    SIZE_LINE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILERS = enum.auto()
    END = enum.auto()


@attrs.define(eq=False)
class ChunkedDecoder:
    """Decodes one body from pieces of any size.

    Attributes:
        chunk_count: Number of chunks so far; a run of equal chunks may count as
            one.
        unused: Bytes after the end of the body, once ``is_finished``.
    """

    _max_body_bytes: int
    chunk_count: int = 0
    unused: bytes = b""
    _phase: _Phase = _Phase.SIZE_LINE
    _pending: bytes = b""
    _position: int = 0
    _chunk_rest_bytes: int = 0
    _body_bytes: int = 0
    _discarded_bytes: int = 0

    @property
    def is_finished(self) -> bool:
        """Whether the whole body has been decoded."""
        return self._phase is _Phase.END

    def feed(self, data: bytes) -> bytes:
        """Decodes the next bytes; returns the data in them.

        Raises:
            httputil.HTTPInputError: If the body is malformed or too long.
        """
        self._pending += data
        self._position = 0
        pieces: list[bytes] = []
        while self._step(pieces):
            pass
        self._pending = self._pending[self._position :]
        if self.is_finished:
            self.unused, self._pending = self._pending, b""
        return b"".join(pieces)

    def _step(self, pieces: list[bytes]) -> bool:
        """Decodes one element; returns whether another one may follow."""
        match self._phase:
            case _Phase.SIZE_LINE:
                return self._take_equal_chunks(pieces) or self._take_size_line()
            case _Phase.DATA:
                return self._take_data(pieces)
            case _Phase.DATA_END:
                return self._take_data_end()
            case _Phase.TRAILERS:
                return self._take_trailer()
            case _Phase.END:
                return False

    def _take_equal_chunks(self, pieces: list[bytes]) -> bool:
        first = self._pending[self._position : self._position + 1]
        chunks = _EQUAL_CHUNKS_BY_DIGIT.get(first[0]) if first else None
        if chunks is None:
            return False
        run = chunks.pattern.match(self._pending, self._position)
        if run is None:
            return False
        data = chunks.data(run[0])
        self._count_body(len(data))
        pieces.append(data)
        self._position = run.end()
        self.chunk_count += 1
        return True

    def _take_size_line(self) -> bool:
        line = self._take_line(_MAX_SIZE_LINE_BYTES)
        if line is None:
            return False
        match = _SIZE_LINE_PATTERN.fullmatch(line)
        if match is None:
            raise httputil.HTTPInputError("invalid chunk size")
        self._discard(max(0, len(line) - _MAX_SIZE_LINE_BYTES))
        size = int(match[1], 16)
        if not size:
            self._phase = _Phase.TRAILERS
            return True
        self._count_body(size)
        self.chunk_count += 1
        self._chunk_rest_bytes = size
        self._phase = _Phase.DATA
        return True

    def _take_data(self, pieces: list[bytes]) -> bool:
        end = self._position + self._chunk_rest_bytes
        piece = self._pending[self._position : end]
        if piece:
            pieces.append(piece)
        self._position += len(piece)
        self._chunk_rest_bytes -= len(piece)
        if self._chunk_rest_bytes:
            return False
        self._phase = _Phase.DATA_END
        return True

    def _take_data_end(self) -> bool:
        end = self._position + len(_LINE_END)
        found = self._pending[self._position : end]
        if not _LINE_END.startswith(found):
            raise httputil.HTTPInputError("improperly terminated chunk")
        if found != _LINE_END:
            return False
        self._position = end
        self._phase = _Phase.SIZE_LINE
        return True

    def _take_trailer(self) -> bool:
        line = self._take_line(len(_LINE_END))
        if line is None:
            return False
        if line == _LINE_END:
            self._phase = _Phase.END
            return False
        if not _TRAILER_PATTERN.fullmatch(line):
            raise httputil.HTTPInputError("invalid trailer")
        self._discard(len(line))
        return True

    def _take_line(self, free_bytes: int) -> bytes | None:
        """Returns the next line; None if its end has not arrived.

        Args:
            free_bytes: Bytes of the line that don't count as discarded.

        Raises:
            httputil.HTTPInputError: If the line is too long.
        """
        max_bytes = MAX_DISCARDED_BYTES - self._discarded_bytes + free_bytes
        line_end = self._pending.find(
            _LINE_END, self._position, self._position + max_bytes
        )
        if line_end < 0:
            if len(self._pending) - self._position >= max_bytes:
                raise httputil.HTTPInputError("line too long")
            return None
        start, self._position = self._position, line_end + len(_LINE_END)
        return self._pending[start : self._position]

    def _count_body(self, byte_count: int) -> None:
        self._body_bytes += byte_count
        if self._body_bytes > self._max_body_bytes:
            raise httputil.HTTPInputError("chunked body too large")

    def _discard(self, byte_count: int) -> None:
        self._discarded_bytes += byte_count
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            raise httputil.HTTPInputError("too many trailers or extensions")
