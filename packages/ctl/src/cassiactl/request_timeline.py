"""Reconstructs the course of one request from the logs of gateways."""

from __future__ import annotations

import collections
import json
from typing import TYPE_CHECKING
from typing import Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogLine", "RequestTimeline", "read_lines"]

# Events about the services, targets and hosts of a request may explain its
# outcome if they were logged during the request or at most this long before.
_CONTEXT_BEFORE_S = 5.0
_ATTEMPT_EVENTS = frozenset({"ATTEMPT_FAILED", "ATTEMPT_ADDED"})
_TARGET_EVENTS = frozenset(
    {
        "TARGET_APPEARED",
        "TARGET_LEAVING",
        "TARGET_GONE",
        "TARGET_LINGERS",
        "REQUEST_CRASHED_TARGET",
    }
)
_HOST_EVENTS = frozenset(
    {
        "STARTED",
        "READY",
        "UNREADY",
        "DRAINING",
        "PAUSED",
        "EVENT_LOOP_SLOW",
        "LOG_LINES_LEFT_OUT",
        "CONFIGURATION_APPLIED",
        "DOMAIN_TAKEN_OUT",
        "DOMAIN_RETURNED",
        "TARGETS_BAD",
        "TARGETS_GOOD",
        "READING_BEGUN",
        "READING_ENDED",
        "READ_FAILED",
        "SERVICE_RETURNED",
        "PEER_REPLACED",
        "PEER_LOST",
        "HEARTBEATS_FAILED",
    }
)
# Error codes of refusals that the configuration decided: an unknown route or
# API key.
_CODES_DECIDED_BY_CONFIGURATION = frozenset({"CG02", "CG04", "CG05"})
# Error code of requests that the admission level left out.
_LEFT_OUT_CODE = "CG25"
_MAX_LEVEL_LINES = 10
_READER_EVENTS = frozenset({"READING_BEGUN", "READING_ENDED", "READ_FAILED"})
_MAX_READER_LINES = 5


@attrs.frozen
class LogLine:
    """One event in the log of a gateway.

    Attributes:
        logged_at: Seconds since the epoch, by the clock of the gateway's host.
        log_name: Name of the log, usually that of the host.
        event_name: Name of the event.
        fields: Other fields of the event, without its number and level.
    """

    logged_at: float
    log_name: str
    event_name: str
    fields: dict[str, Any]

    def format(self, origin_at: float) -> str:
        """Formats the event for people.

        Args:
            origin_at: Seconds since the epoch. The time of the event is shown
                in milliseconds from this origin.
        """
        offset = f"{(self.logged_at - origin_at) * 1000:+.1f} ms"
        fields = "  ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{offset:>12}  {self.log_name}  {self.event_name}  {fields}"


@attrs.frozen
class RequestTimeline:
    """Log events of one request, and those that may explain its outcome.

    Attributes:
        request_lines: Events that name the request, in order of time.
        context_lines: Events about the request's targets, services and hosts
            during the request or shortly before, in order of time.
        other_attempt_counts: Number of attempts of other requests at the same
            services during the same time. A key is the name of the service and
            either the reason why the attempts failed or the cause, such as a
            retry or a hedge, for which they were added.
        fleet_lines: If the configuration decided that the request is refused,
            the latest events of all hosts about the reader role before the
            outcome, and the first host to apply each newer version, in order of
            time. Empty for other requests.
        level_lines: If the admission level left the request out, the latest
            changes of the levels at all hosts before the outcome, in order of
            time. Empty for other requests.
    """

    request_lines: tuple[LogLine, ...] = ()
    context_lines: tuple[LogLine, ...] = ()
    other_attempt_counts: dict[tuple[str, str], int] = attrs.field(factory=dict)
    fleet_lines: tuple[LogLine, ...] = ()
    level_lines: tuple[LogLine, ...] = ()

    @classmethod
    def from_lines(
        cls, lines: Iterable[LogLine], request_id: str
    ) -> RequestTimeline:
        """Builds the timeline of a request.

        Args:
            lines: Events of any number of logs, in any order.
            request_id: Identifier of the request.

        Returns:
            The timeline, which is empty if no event names the request.
        """
        sorted_lines = sorted(lines, key=lambda line: line.logged_at)
        request_lines = [
            line
            for line in sorted_lines
            if line.fields.get("request_id") == request_id
        ]
        if not request_lines:
            return cls()
        # If the first event has a duration in its field ``ms``, it was logged
        # that long after the request had arrived.
        started_at = (
            request_lines[0].logged_at
            - request_lines[0].fields.get("ms", 0.0) / 1000
        )
        context_starts_at, context_ends_at = (
            started_at - _CONTEXT_BEFORE_S,
            request_lines[-1].logged_at,
        )
        hosts = {line.log_name for line in request_lines}
        services = _collect_names(request_lines, "service", "missing")
        targets = {
            str(line.fields["target"])
            for line in request_lines
            if "target" in line.fields
        }
        nearby_lines = [
            line
            for line in sorted_lines
            if context_starts_at <= line.logged_at <= context_ends_at
            and line not in request_lines
        ]
        context_lines = _without_repeated_target_events(
            line
            for line in nearby_lines
            if _is_context(line, hosts, services, targets)
        )
        other_attempt_counts = collections.Counter(
            _service_and_reason(line)
            for line in nearby_lines
            if line.event_name in _ATTEMPT_EVENTS
            and line.fields.get("service") in services
        )
        return cls(
            tuple(request_lines),
            tuple(context_lines),
            dict(other_attempt_counts),
            tuple(_collect_fleet_lines(sorted_lines, request_lines[-1])),
            tuple(_collect_level_lines(sorted_lines, request_lines[-1])),
        )

    def outcome(self) -> LogLine | None:
        """Returns the event that reports the request's status, if any."""
        final_lines = [
            line for line in self.request_lines if "status" in line.fields
        ]
        return final_lines[-1] if final_lines else None


def read_lines(log_name: str, text: str) -> tuple[list[LogLine], int]:
    """Parses a log.

    Args:
        log_name: Name of the log, usually that of the host.
        text: Content of the log, one JSON object per line.

    Returns:
        The events, and the number of lines that are not events.
    """
    lines = []
    unusable_line_count = 0
    for raw_line in text.splitlines():
        try:
            fields = json.loads(raw_line)
            logged_at, event_name = (
                float(fields.pop("at")),
                str(fields.pop("name")),
            )
        except (ValueError, KeyError, AttributeError, TypeError):
            unusable_line_count += 1
            continue
        fields.pop("event", None)
        fields.pop("level", None)
        lines.append(LogLine(logged_at, log_name, event_name, fields))
    return lines, unusable_line_count


def _collect_fleet_lines(
    sorted_lines: list[LogLine], outcome: LogLine
) -> list[LogLine]:
    """Returns what shows why a refusing host lacked a newer configuration.

    Args:
        sorted_lines: Events of all logs, in order of time.
        outcome: Last event of the request.
    """
    if outcome.fields.get("code") not in _CODES_DECIDED_BY_CONFIGURATION:
        return []
    earlier_lines = [
        line for line in sorted_lines if line.logged_at <= outcome.logged_at
    ]
    reader_lines = [
        line for line in earlier_lines if line.event_name in _READER_EVENTS
    ]
    first_line_by_version: dict[int, LogLine] = {}
    for line in earlier_lines:
        if line.event_name == "CONFIGURATION_APPLIED":
            first_line_by_version.setdefault(
                line.fields.get("version", 0), line
            )
    newer_version_lines = [
        line
        for version, line in first_line_by_version.items()
        if version > outcome.fields.get("version", 0)
    ]
    return sorted(
        reader_lines[-_MAX_READER_LINES:] + newer_version_lines,
        key=lambda line: line.logged_at,
    )


def _collect_level_lines(
    sorted_lines: list[LogLine], outcome: LogLine
) -> list[LogLine]:
    """Returns the load for which a request was left out.

    Args:
        sorted_lines: Events of all logs, in order of time.
        outcome: Last event of the request.
    """
    if outcome.fields.get("code") != _LEFT_OUT_CODE:
        return []
    route = outcome.fields.get("route")
    level_lines = [
        line
        for line in sorted_lines
        if line.event_name == "ADMISSION_LEVEL"
        and line.logged_at <= outcome.logged_at
        and (route is None or route in line.fields.get("routes", ()))
    ]
    return level_lines[-_MAX_LEVEL_LINES:]


def _collect_names(
    lines: list[LogLine], field: str, list_field: str
) -> set[str]:
    names = {str(line.fields[field]) for line in lines if field in line.fields}
    for line in lines:
        names.update(line.fields.get(list_field) or ())
    return names


def _is_context(
    line: LogLine, hosts: set[str], services: set[str], targets: set[str]
) -> bool:
    if line.event_name in _HOST_EVENTS:
        return line.log_name in hosts
    if line.event_name in _TARGET_EVENTS:
        return (
            line.fields.get("service") in services
            or line.fields.get("target") in targets
        )
    return False


def _without_repeated_target_events(lines: Iterable[LogLine]) -> list[LogLine]:
    """Drops repetitions of an event about a target.

    Every host logs each event about a target; only the first one is kept.
    """
    seen_events = set()
    kept_lines = []
    for line in lines:
        event_and_target = (line.event_name, line.fields.get("target"))
        if (
            line.event_name in _TARGET_EVENTS
            and event_and_target in seen_events
        ):
            continue
        seen_events.add(event_and_target)
        kept_lines.append(line)
    return kept_lines


def _service_and_reason(line: LogLine) -> tuple[str, str]:
    fields = line.fields
    reason = fields.get("reason") or fields.get("cause") or line.event_name
    return str(fields["service"]), str(reason)
