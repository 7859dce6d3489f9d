"""Exposition of OpenTelemetry metrics in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
import prometheus_client

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

__all__ = ["new_meter", "prometheus_text"]


def new_meter() -> Meter:
    """Returns a meter whose instruments appear in ``prometheus_text``."""
    provider = MeterProvider(
        metric_readers=[PrometheusMetricReader()], shutdown_on_exit=False
    )
    return provider.get_meter("cassiahead")


def prometheus_text() -> bytes:
    """Returns all metrics of the process, encoded as UTF-8."""
    return prometheus_client.generate_latest()
