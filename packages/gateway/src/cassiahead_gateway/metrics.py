"""Counters and histograms that a gateway exports."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs
from opentelemetry import metrics as metrics_api

from cassiahead_telemetry import exposition

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

__all__ = ["Metrics", "LabelledCounter"]


@attrs.define
class LabelledCounter:
    """Counter with one label, read only when metrics are collected.

    Several counters change with each request to a target, and updating an SDK
    instrument takes longer than choosing the target.

    Attributes:
        label: Name of the label.
    """

    label: str
    _counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def add(self, label_value: str, amount: int = 1) -> None:
        """Adds an amount to the count of a label value."""
        self._counts[label_value] += amount

    def observe(
        self, options: metrics_api.CallbackOptions
    ) -> Iterable[metrics_api.Observation]:
        """Returns the counts by label value; called by the SDK."""
        return [
            metrics_api.Observation(count, {self.label: label_value})
            for label_value, count in self._counts.items()
        ]


class Metrics:
    """The OpenTelemetry metrics of one gateway.

    Attributes:
        requests: Requests of callers, by route and result: the HTTP status, the
            error code or ``cancelled``. Requests that end with an internal
            error are not counted.
        latency: Seconds from a caller's request to the reply, by route, for the
            same requests as ``requests``.
        attempts: Attempts at targets, by cause.
        outcomes: Attempts by outcome, ``good`` (a successful response) or
            ``bad``. Cancelled attempts are not counted, such as those in flight
            when another one succeeds.
        exchanges: Heartbeats sent, by result: ``ok``, a ``FailureKind`` or
            ``undecodable``; fetches of records with ``records`` before it.
        heartbeat_bytes: Bytes of heartbeats, fetches of records and the replies
            to both, without HTTP headers, by direction: ``sent`` or
            ``received``.
        reads: Reads of the configuration service, by result.
        health_checks: Health checks sent to targets, by result: ``cold``,
            ``warm``, ``unusable`` or ``failed``.
        refusals: Callers refused, or connections closed, by reason: a name of
            ``server_limits.Refusal`` in lower case.
        loop_delay: Seconds by which periodic work of the event loop started
            late.
        waits: Seconds from the arrival of a request that had to wait for
            capacity, or was refused on arrival, to its start, refusal or
            cancellation, by result:
            ``started``, ``refused`` or ``cancelled``.
        capacity_refusals: Requests refused while they asked or waited for
            capacity, by reason and priority.
    """

    def __init__(self) -> None:
        """Creates the instruments and registers them with the SDK."""
        meter = exposition.new_meter()
        self._meter = meter
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
        self.loop_delay = meter.create_histogram(
            "cassiahead_loop_delay_seconds",
            unit="s",
            description="Delay of periodic work of the event loop",
            explicit_bucket_boundaries_advisory=[
                0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4,
            ],
        )  # fmt: skip
        self.waits = meter.create_histogram(
            "cassiahead_wait_seconds",
            unit="s",
            description="Wait of requests for capacity, by result",
            explicit_bucket_boundaries_advisory=[
                0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4,
            ],
        )  # fmt: skip
        self.capacity_refusals = meter.create_counter(
            "cassiahead_capacity_refusals",
            description="Requests refused for lack of capacity",
        )
        self.attempts = self._add_labelled_counter(
            "cassiahead_attempts",
            "cause",
            "Requests to targets by cause: first, hedge, retry",
        )
        self.outcomes = self._add_labelled_counter(
            "cassiahead_attempt_outcomes",
            "outcome",
            "Requests to targets by outcome",
        )
        self.exchanges = self._add_labelled_counter(
            "cassiahead_exchanges",
            "result",
            "Heartbeats sent to peers by result",
        )
        self.heartbeat_bytes = self._add_labelled_counter(
            "cassiahead_heartbeat_bytes",
            "direction",
            "Bytes of heartbeats and their replies by direction",
        )
        self.reads = self._add_labelled_counter(
            "cassiahead_reads",
            "result",
            "Calls to the configuration service by result",
        )
        self.health_checks = self._add_labelled_counter(
            "cassiahead_health_checks",
            "result",
            "Health checks sent to targets by result",
        )
        self.refusals = self._add_labelled_counter(
            "cassiahead_caller_refusals",
            "reason",
            "Callers refused and connections closed, by reason",
        )

    def add_gauge(
        self, name: str, description: str, get_value: Callable[[], float]
    ) -> None:
        """Adds a gauge that is read when the metrics are collected.

        Args:
            name: Name of the metric, with its unit.
            description: Help text of the metric.
            get_value: Returns the current value. An infinite value is not
                exported.
        """

        def observe(
            _options: metrics_api.CallbackOptions,
        ) -> Iterable[metrics_api.Observation]:
            value = get_value()
            return [metrics_api.Observation(value)] if value < math.inf else []

        self._meter.create_observable_gauge(
            name, [observe], description=description
        )

    def add_labelled_gauge(
        self,
        name: str,
        label: str,
        description: str,
        get_values: Callable[[], Mapping[str, float]],
    ) -> None:
        """Adds a gauge with one label, read when the metrics are collected.

        Args:
            name: Name of the metric, with its unit.
            label: Name of the label.
            description: Help text of the metric.
            get_values: Returns the current values by label value.
        """

        def observe(
            _options: metrics_api.CallbackOptions,
        ) -> Iterable[metrics_api.Observation]:
            return [
                metrics_api.Observation(value, {label: label_value})
                for label_value, value in get_values().items()
            ]

        self._meter.create_observable_gauge(
            name, [observe], description=description
        )

    def _add_labelled_counter(
        self, name: str, label: str, description: str
    ) -> LabelledCounter:
        counter = LabelledCounter(label)
        self._meter.create_observable_counter(
            name, [counter.observe], description=description
        )
        return counter
