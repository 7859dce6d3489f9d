"""Reports failed heartbeats in the log at a limited rate."""

from __future__ import annotations

import collections
import math

import attrs

from cassiahead_telemetry import events

__all__ = ["HeartbeatFailureLog"]

_MIN_REPORT_INTERVAL_S = 1.0


@attrs.define
class HeartbeatFailureLog:
    """Collects failed heartbeats and logs them together.

    The first failure is logged at once. Later ones are logged with the next
    failure that is at least 1 s after the last line.
    """

    _count_by_kind: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _addresses: set[str] = attrs.field(factory=set)
    _max_sent_bytes: int = 0
    _last_report_at: float = -math.inf

    def record(
        self, address: str, kind: str, sent_bytes: int, now: float
    ) -> None:
        """Records a heartbeat that got no usable reply.

        Args:
            address: Address that the heartbeat was sent to.
            kind: How it failed: a ``FailureKind``, or ``undecodable``.
            sent_bytes: Size of the heartbeat without HTTP headers.
            now: Time in seconds on this process's monotonic clock.
        """
        self._count_by_kind[kind] += 1
        self._addresses.add(address)
        self._max_sent_bytes = max(self._max_sent_bytes, sent_bytes)
        if now - self._last_report_at >= _MIN_REPORT_INTERVAL_S:
            self._last_report_at = now
            self._report()

    def _report(self) -> None:
        events.log(
            events.Event.HEARTBEATS_FAILED,
            failures=dict(self._count_by_kind),
            peers=len(self._addresses),
            max_sent_bytes=self._max_sent_bytes,
        )
        self._count_by_kind.clear()
        self._addresses.clear()
        self._max_sent_bytes = 0
