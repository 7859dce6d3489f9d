"""Metrics of refused clients, and their report at a limited rate."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_gateway import metrics as metrics_lib
from cassiahead_gateway import server_limits
from cassiahead_telemetry import events

if TYPE_CHECKING:
    from cassiahead_gateway import http_server
    from cassiahead_wire import memory_budget

__all__ = ["RefusalLog", "add_gauges"]

_MIN_REPORT_INTERVAL_S = 1.0


@attrs.define(eq=False)
class RefusalLog:
    """Collects refusals and logs them together, at most one line a second."""

    _counter: metrics_lib.LabelledCounter
    _unreported_counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _last_report_at: float = -math.inf

    def record(self, refusal: server_limits.Refusal) -> None:
        """Records a refused client or a closed connection."""
        self._counter.add(refusal.label)
        self._unreported_counts[refusal.label] += 1

    def report(self, now: float, held_bytes: int) -> None:
        """Logs what is not yet logged, unless a line was logged just before.

        Args:
            now: Time in seconds on this process's monotonic clock.
            held_bytes: Number of bytes held for peers.
        """
        if (
            not self._unreported_counts
            or now - self._last_report_at < _MIN_REPORT_INTERVAL_S
        ):
            return
        self._last_report_at = now
        events.log(
            events.Event.CALLERS_REFUSED,
            refusals=dict(self._unreported_counts),
            held_bytes=held_bytes,
        )
        self._unreported_counts.clear()


def add_gauges(
    metrics: metrics_lib.Metrics,
    budget: memory_budget.MemoryBudget,
    caller_server: http_server.HttpServer,
) -> None:
    """Registers the gauges of what is held for callers and targets."""
    metrics.add_gauge(
        "cassiahead_held_bytes",
        "Bytes of requests, unread replies and responses that are held",
        lambda: budget.held_bytes,
    )
    metrics.add_gauge(
        "cassiahead_caller_connections",
        "Open connections of callers",
        lambda: caller_server.connection_count,
    )
