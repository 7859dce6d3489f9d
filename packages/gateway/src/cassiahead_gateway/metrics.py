"""Counters and latency histograms."""

from __future__ import annotations

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
import prometheus_client

__all__ = ["Metrics"]


class Metrics:
    """OpenTelemetry metrics, served in the Prometheus text format."""

    def __init__(self) -> None:
        """Creates the instruments."""
        self._provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()], shutdown_on_exit=False
        )
        meter = self._provider.get_meter("cassiahead")
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
        self.attempts = meter.create_counter(
            "cassiahead_attempts",
            description="Requests to targets by kind: first, hedge, retry",
        )
        self.outcomes = meter.create_counter(
            "cassiahead_attempt_outcomes",
            description="What came of requests to targets",
        )
        self.exchanges = meter.create_counter(
            "cassiahead_exchanges", description="Exchanges with peers"
        )
        self.reads = meter.create_counter(
            "cassiahead_reads",
            description="Calls to the configuration service by result",
        )

    @staticmethod
    def exposition() -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()
