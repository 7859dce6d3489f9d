"""Gauges that are read from the shared state of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_gateway import gateway_state as gateway_state_lib

__all__ = ["add_gauges"]


def add_gauges(gateway_state: gateway_state_lib.GatewayState) -> None:
    """Registers the gauges; they are read when the metrics are collected."""
    metrics = gateway_state.metrics
    catalogue = gateway_state.catalogue
    metrics.add_gauge(
        "cassiahead_configuration_version",
        "Version of the configuration in force",
        lambda: catalogue.configuration_version,
    )
    metrics.add_gauge(
        "cassiahead_records_revision",
        "Revision up to which the published records are known",
        lambda: catalogue.revision,
    )
    metrics.add_gauge(
        "cassiahead_records_era",
        "Era of the configuration service that the records belong to",
        lambda: catalogue.position.era,
    )
    metrics.add_gauge(
        "cassiahead_records_age_seconds",
        "Time since the published records were last known to be current",
        lambda: catalogue.age_s(clock.monotonic()),
    )
    signals = gateway_state.signals
    metrics.add_gauge(
        "cassiahead_leaving_targets",
        "Targets that have said in a response that they are leaving",
        lambda: signals.leaving_count,
    )
    metrics.add_gauge(
        "cassiahead_silent_targets",
        "Targets that get no requests because of their Retry-After",
        lambda: signals.silent_count(clock.monotonic()),
    )
    metrics.add_labelled_gauge(
        "cassiahead_waiting_requests",
        "destination",
        "Requests that wait for targets with capacity",
        gateway_state.capacity_queue.waiting_by_destination,
    )
    metrics.add_labelled_gauge(
        "cassiahead_admission_level",
        "destination",
        "Admission level of a destination: number of priorities admitted",
        gateway_state.load.levels,
    )
    gateway_state.target_pacer.add_gauges(metrics)
