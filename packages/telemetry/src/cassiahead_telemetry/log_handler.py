"""A log handler that never blocks the event loop and bounds the log volume.

Lines are buffered in memory and written together. If the reader of the log is
slow, lines that do not fit into the buffer are dropped and counted, and the
count is logged as soon as the buffer has room.
"""

from __future__ import annotations

import json
import logging
import os
import time

__all__ = ["BoundedStreamHandler"]

_MAX_BUFFER_BYTES = 512 * 1024
# Rate and burst of lines marked as ordinary; other lines, such as those about
# failed requests, are not limited.
_ORDINARY_LINES_PER_S = 200.0
_ORDINARY_BURST_LINES = 400.0


class BoundedStreamHandler(logging.Handler):
    """Writes log lines to a file descriptor without waiting for its reader.

    The rate of lines marked as ordinary is limited by a token bucket; lines
    beyond the rate are left out and counted as sampled out. The event
    ``LOG_LINES_LEFT_OUT`` reports how many lines were dropped and how many
    sampled out.
    """

    def __init__(self, descriptor: int) -> None:
        """Creates a handler with an empty buffer.

        Args:
            descriptor: Open file descriptor; it is set to non-blocking mode.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._dropped_count = 0
        self._sampled_out_count = 0
        self._tokens = _ORDINARY_BURST_LINES
        self._refilled_at = time.monotonic()

    @property
    def dropped_count(self) -> int:
        """Number of lines dropped since the last ``LOG_LINES_LEFT_OUT``."""
        return self._dropped_count

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a line until the next flush.

        If the rate of ordinary lines is exceeded or the buffer has no room, the
        line is left out and counted.
        """
        if getattr(record, "ordinary", False) and not self._take_token():
            self._sampled_out_count += 1
            return
        self._append_line(self.format(record).encode() + b"\n")

    def flush(self) -> None:
        """Writes as many buffered bytes as the descriptor takes at once."""
        self._append_loss_report()
        if not self._buffer:
            return
        pending = b"".join(self._buffer)
        try:
            written_bytes = os.write(self._descriptor, pending)
        except BlockingIOError:
            written_bytes = 0
        except OSError:
            # The reading end is closed and there is no other log, so the lines
            # are discarded.
            written_bytes = len(pending)
        unwritten = pending[written_bytes:]
        self._buffer = [unwritten] if unwritten else []
        self._buffered_bytes = len(unwritten)

    def _append_line(self, line: bytes) -> None:
        if self._buffered_bytes + len(line) > _MAX_BUFFER_BYTES:
            self._dropped_count += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _take_token(self) -> bool:
        now = time.monotonic()
        new_tokens = (now - self._refilled_at) * _ORDINARY_LINES_PER_S
        self._refilled_at = now
        self._tokens = min(_ORDINARY_BURST_LINES, self._tokens + new_tokens)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _append_loss_report(self) -> None:
        if not self._dropped_count and not self._sampled_out_count:
            return
        fields = {
            "at": round(time.time(), 4),
            "level": "WARNING",
            "event": 108,
            "name": "LOG_LINES_LEFT_OUT",
            "dropped": self._dropped_count,
            "sampled_out": self._sampled_out_count,
        }
        line = json.dumps(fields).encode() + b"\n"
        if self._buffered_bytes + len(line) > _MAX_BUFFER_BYTES:
            return
        self._dropped_count = 0
        self._sampled_out_count = 0
        self._append_line(line)
