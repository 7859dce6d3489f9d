"""Counters and latency histograms."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
from opentelemetry import metrics as metrics_api

from cassiahead_telemetry import exposition

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Metrics", "Tally"]


@attrs.define
class Tally:
    """Counts by one label, read only when metrics are collected.

    Several counts change with each request to a target; the instruments of the
    SDK cost more than choosing the target does.

    Attributes:
        label: Name of the label.
    """

    label: str
    _counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def add(self, value: str) -> None:
        """Counts one more of a label's value."""
        self._counts[value] += 1

    def observe(
        self, options: metrics_api.CallbackOptions
    ) -> Iterable[metrics_api.Observation]:
        """Returns the counts so far, for the SDK."""
        return [
            metrics_api.Observation(count, {self.label: value})
            for value, count in self._counts.items()
        ]


class Metrics:
    """OpenTelemetry metrics, served in the Prometheus text format."""

    def __init__(self) -> None:
        """Creates the instruments."""
        meter = exposition.new_meter()
        self.requests = meter.create_counter(
            "cassiahead_requests",
            description="Requests of callers by route and result",
        )
        self.latency = meter.create_histogram(
            "cassiahead_request_seconds",
            unit="s",
            description="Time from a caller's request to its answer",
            explicit_bucket_boundaries_advisory=[
                0.01, 0.02, 0.04, 0.06, 0.084, 0.12, 0.2, 0.4, 1, 2, 6,
            ],
        )  # fmt: skip
        self.attempts = Tally("cause")
        self.outcomes = Tally("outcome")
        self.exchanges = Tally("result")
        self.reads = Tally("result")
        for tally, name, description in (
            (
                self.attempts,
                "cassiahead_attempts",
                "Requests to targets by cause: first, hedge, retry",
            ),
            (
                self.outcomes,
                "cassiahead_attempt_outcomes",
                "What came of requests to targets",
            ),
            (self.exchanges, "cassiahead_exchanges", "Exchanges with peers"),
            (
                self.reads,
                "cassiahead_reads",
                "Calls to the configuration service by result",
            ),
        ):
            meter.create_observable_counter(
                name, [tally.observe], description=description
            )
