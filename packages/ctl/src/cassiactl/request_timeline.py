"""Finds in gateways' logs what happened to one request, and why."""

from __future__ import annotations

import collections
import json
from typing import TYPE_CHECKING
from typing import Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Line", "Story", "read_lines"]

# What else happened to the same services and the same host this long before
# the request and during it may explain it, in seconds.
_AROUND_S = 5.0
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
        "LOG_LINES_LEFT_OUT",
        "CONFIGURATION_APPLIED",
        "DOMAIN_TAKEN_OUT",
        "DOMAIN_RETURNED",
        "READ_FAILED",
        "SERVICE_RETURNED",
        "PEER_REPLACED",
        "PEER_LOST",
    }
)


@attrs.frozen
class Line:
    """One line of a log.

    Attributes:
        at: Seconds since the epoch, by the clock of its host.
        source: Where it was read.
        name: Name of the event.
        fields: Its other fields.
    """

    at: float
    source: str
    name: str
    fields: dict[str, Any]

    def text(self, origin: float) -> str:
        """Returns the line for people, timed from an origin."""
        offset = f"{(self.at - origin) * 1000:+.1f} ms"
        rest = "  ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{offset:>12}  {self.source}  {self.name}  {rest}"


@attrs.frozen
class Story:
    """What the logs tell of one request.

    Attributes:
        own: Lines that name the request, in order.
        around: Lines on its targets, services and host that may explain it.
        others: How attempts of other requests at the same services went in that
            time: their number by service and by cause or failure.
    """

    own: tuple[Line, ...] = ()
    around: tuple[Line, ...] = ()
    others: dict[tuple[str, str], int] = attrs.field(factory=dict)

    @classmethod
    def from_lines(cls, lines: Iterable[Line], request_id: str) -> Story:
        """Gathers the lines on a request from the logs of any hosts."""
        kept = sorted(lines, key=lambda line: line.at)
        own = [x for x in kept if x.fields.get("request_id") == request_id]
        if not own:
            return cls()
        began = own[0].at - own[0].fields.get("ms", 0.0) / 1000
        first, last = began - _AROUND_S, own[-1].at
        hosts = {line.source for line in own}
        services = _named(own, "service", "missing")
        targets = {str(x.fields["target"]) for x in own if "target" in x.fields}
        near = [x for x in kept if first <= x.at <= last and x not in own]
        around = _first_tellings(
            x for x in near if _explains(x, hosts, services, targets)
        )
        others = collections.Counter(
            _attempt(x)
            for x in near
            if x.name in _ATTEMPT_EVENTS and x.fields.get("service") in services
        )
        return cls(tuple(own), tuple(around), dict(others))

    def outcome(self) -> Line | None:
        """Returns the line that tells how the request ended, if any."""
        ends = [line for line in self.own if "status" in line.fields]
        return ends[-1] if ends else None


def read_lines(source: str, text: str) -> tuple[list[Line], int]:
    """Reads a log.

    Args:
        source: Name of the log, usually of its host.
        text: Its text, one JSON object a line.

    Returns:
        The lines, and the number of those that are no events.
    """
    lines = []
    unusable = 0
    for raw in text.splitlines():
        try:
            fields = json.loads(raw)
            at, name = float(fields.pop("at")), str(fields.pop("name"))
        except (ValueError, KeyError, AttributeError, TypeError):
            unusable += 1
            continue
        fields.pop("event", None)
        fields.pop("level", None)
        lines.append(Line(at, source, name, fields))
    return lines, unusable


def _named(lines: list[Line], one: str, many: str) -> set[str]:
    names = {str(x.fields[one]) for x in lines if one in x.fields}
    for line in lines:
        names.update(line.fields.get(many) or ())
    return names


def _explains(
    line: Line, hosts: set[str], services: set[str], targets: set[str]
) -> bool:
    if line.name in _HOST_EVENTS:
        return line.source in hosts
    if line.name in _TARGET_EVENTS:
        return (
            line.fields.get("service") in services
            or line.fields.get("target") in targets
        )
    return False


def _first_tellings(lines: Iterable[Line]) -> list[Line]:
    """Returns the lines without what other hosts tell of a target again."""
    told = set()
    first = []
    for line in lines:
        what = (line.name, line.fields.get("target"))
        if line.name in _TARGET_EVENTS and what in told:
            continue
        told.add(what)
        first.append(line)
    return first


def _attempt(line: Line) -> tuple[str, str]:
    fields = line.fields
    how = fields.get("reason") or fields.get("cause") or line.name
    return str(fields["service"]), str(how)
