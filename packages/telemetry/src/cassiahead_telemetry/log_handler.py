"""A log handler that never blocks the loop and bounds its volume.

Lines are gathered in memory and written together. If whoever reads standard
output is slow, lines that do not fit are dropped and counted, and the count is
written as soon as there is room.
"""

from __future__ import annotations

import json
import logging
import os
import time

__all__ = ["BoundedStreamHandler"]

_MAX_BUFFER_BYTES = 512 * 1024
# Lines a second that ordinary requests may write; failures are always written.
_ORDINARY_LINES_PER_S = 200.0
_ORDINARY_BURST = 400.0


class BoundedStreamHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for it."""

    def __init__(self, descriptor: int) -> None:
        """Creates a handler; the descriptor is set not to block."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._size = 0
        self._dropped = 0
        self._sampled_out = 0
        self._tokens = _ORDINARY_BURST
        self._refilled_at = time.monotonic()

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that told their number."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps a line until the next flush, or drops and counts it."""
        if getattr(record, "ordinary", False) and not self._take_token():
            self._sampled_out += 1
            return
        self._keep(self.format(record).encode() + b"\n")

    def flush(self) -> None:
        """Writes as much as the descriptor takes at once."""
        self._tell_losses()
        if not self._lines:
            return
        pending = b"".join(self._lines)
        try:
            written = os.write(self._descriptor, pending)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is no other place to tell.
            written = len(pending)
        rest = pending[written:]
        self._lines = [rest] if rest else []
        self._size = len(rest)

    def _keep(self, line: bytes) -> None:
        if self._size + len(line) > _MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)

    def _take_token(self) -> bool:
        now = time.monotonic()
        gained = (now - self._refilled_at) * _ORDINARY_LINES_PER_S
        self._refilled_at = now
        self._tokens = min(_ORDINARY_BURST, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _tell_losses(self) -> None:
        if not self._dropped and not self._sampled_out:
            return
        fields = {
            "at": round(time.time(), 4),
            "level": "WARNING",
            "event": 108,
            "name": "LOG_LINES_LEFT_OUT",
            "dropped": self._dropped,
            "sampled_out": self._sampled_out,
        }
        line = json.dumps(fields).encode() + b"\n"
        if self._size + len(line) > _MAX_BUFFER_BYTES:
            return
        self._dropped = 0
        self._sampled_out = 0
        self._keep(line)
