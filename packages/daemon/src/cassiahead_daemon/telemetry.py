"""Metrics, the log of decisions, and checks of invariants."""

from __future__ import annotations

import collections
import time
from typing import Any

import attrs

from cassiahead_daemon import errors
from cassiahead_telemetry import events
from cassiahead_telemetry import exposition

__all__ = ["DecisionLog", "Metrics", "Telemetry"]

_MAX_REQUESTS_KEPT = 512


@attrs.define
class DecisionLog:
    """Decisions taken for the most recent requests, by request id.

    The decisions are kept in memory, so that operators can look them up.
    """

    _decisions: collections.OrderedDict[str, list[dict[str, Any]]] = (
        attrs.field(factory=collections.OrderedDict)
    )

    def add(self, request_id: str, decision: dict[str, Any]) -> None:
        """Appends a decision; drops the oldest request if there are too many.

        Args:
            request_id: Identifier of the request.
            decision: Name of the event and its fields, as JSON values.
        """
        if request_id not in self._decisions:
            self._decisions[request_id] = []
            if len(self._decisions) > _MAX_REQUESTS_KEPT:
                self._decisions.popitem(last=False)
        self._decisions[request_id].append(decision)

    def for_request(self, request_id: str) -> list[dict[str, Any]]:
        """Returns the decisions for a request, oldest first; empty if none."""
        return list(self._decisions.get(request_id, ()))


class Metrics:
    """OpenTelemetry instruments of a daemon, exposed to Prometheus."""

    def __init__(self) -> None:
        """Creates the instruments."""
        meter = exposition.new_meter()
        self.requests = meter.create_counter(
            "cassiahead_requests", description="Requests of callers by result"
        )
        self.request_durations = meter.create_histogram(
            "cassiahead_request_seconds",
            unit="s",
            description="Time from a caller's request to its answer",
            explicit_bucket_boundaries_advisory=[
                0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.084, 0.15, 0.3, 1, 3,
            ],
        )  # fmt: skip
        self.sub_requests = meter.create_counter(
            "cassiahead_sub_requests",
            description="Requests to targets by kind: first, hedge, retry",
        )
        self.sub_answers = meter.create_counter(
            "cassiahead_sub_answers", description="Target outcomes by status"
        )
        self.discarded_answers = meter.create_counter(
            "cassiahead_discarded_answers",
            description="Answers of another snapshot, shard or request",
        )
        self.invariant_violations = meter.create_counter(
            "cassiahead_invariant_violations",
            description="Violations of invariants, by invariant",
        )
        self.exchanges = meter.create_counter(
            "cassiahead_exchanges", description="Exchanges with peers"
        )


@attrs.define
class Telemetry:
    """Metrics and decisions of one process.

    Attributes:
        metrics: Instruments of the process.
        decisions: Decisions for the most recent requests.
    """

    metrics: Metrics = attrs.field(factory=Metrics)
    decisions: DecisionLog = attrs.field(factory=DecisionLog)

    def record_decision(
        self,
        event: events.Event,
        request_id: str,
        **fields: Any,  # noqa: ANN401
    ) -> None:
        """Logs a decision and adds it to the decisions of its request.

        Args:
            event: The decision.
            request_id: Identifier of the request.
            **fields: Fields of the event, as JSON values.
        """
        events.log(event, request_id=request_id, **fields)
        decision = {"event": event.name, "at": time.time(), **fields}
        self.decisions.add(request_id, decision)

    def check_invariant(
        self, is_satisfied: bool, invariant: str, detail: str
    ) -> None:
        """Checks an invariant; logs and counts a violation.

        Args:
            is_satisfied: Whether the invariant holds.
            invariant: Name of the invariant.
            detail: The values that violate the invariant.

        Raises:
            errors.InvariantError: If the invariant does not hold.
        """
        if is_satisfied:
            return
        events.log(
            events.Event.INVARIANT_VIOLATED, invariant=invariant, detail=detail
        )
        self.metrics.invariant_violations.add(1, {"invariant": invariant})
        raise errors.InvariantError(f"{invariant}: {detail}")
