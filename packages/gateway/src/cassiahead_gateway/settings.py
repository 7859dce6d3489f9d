"""Settings of a gateway, and their JSON file format."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_gateway import headers as headers_lib
from cassiahead_settings import files
from cassiahead_settings.files import SettingsError
from cassiahead_wire import body_buffer

if TYPE_CHECKING:
    import pathlib

__all__ = [
    "CallerLimits",
    "ColdBound",
    "MIB",
    "MIN_HELD_BYTES",
    "RetryBound",
    "Settings",
    "SettingsError",
    "load",
]

MIB = 1024 * 1024
# Two of the largest bodies.
MIN_HELD_BYTES = 2 * body_buffer.MAX_BODY_BYTES


@attrs.frozen
class RetryBound:
    """Bound on hedges and retries that all hosts together send to a service.

    Attributes:
        ratio: Number of hedges and retries allowed for each first attempt.
        slack: Number of hedges and retries allowed on top of ``ratio``, in any
            time window.
        window_s: Length of the time window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 54.0
    window_s: float = 10.0


@attrs.frozen
class ColdBound:
    """Bound on requests that all hosts send to a target in cold start.

    The gateway keeps the rate of all hosts together below ``slack``, whatever
    the cold-start rate of the service is. With a ``slack`` below 2, a target in
    cold start gets no requests.

    Attributes:
        factor: Multiple of the cold-start rate of the target's service that is
            allowed. The gateway does not read this setting.
        slack: Requests per second allowed on top of that multiple.
    """

    factor: float = 1.5
    slack: float = 5.0


@attrs.frozen
class CallerLimits:
    """Limits on callers; none is reached by a caller that behaves well.

    Attributes:
        max_connections: Number of callers' connections kept open. It is lowered
            to half of the descriptors that the process may open.
        max_connections_per_address: The same for one IP address; 0 for no
            limit.
        max_held_bytes: Bytes of requests, unread replies and targets' responses
            held at a time; None for a quarter of the memory.
        body_timeout_s: Seconds for a body; at least the longest timeout of a
            route.
        unread_reply_timeout_s: Seconds for which a caller may read no byte of a
            reply; at least the longest timeout of a route.
    """

    max_connections: int = 3000
    max_connections_per_address: int = 0
    max_held_bytes: int | None = None
    body_timeout_s: float = 30.0
    unread_reply_timeout_s: float = 30.0


@attrs.frozen
class Settings:
    """Settings of one gateway.

    Attributes:
        name: Name of this host.
        failure_domain: Failure domain of this host.
        regions: Name of the region that each failure domain belongs to, by
            name of the failure domain.
        callers: Address on which the gateway serves callers.
        readiness: Address on which the gateway answers readiness checks of the
            balancer.
        readiness_path: Path of the readiness checks.
        peers: Address on which the gateway accepts heartbeats.
        metrics: Address on which the gateway serves metrics.
        seeds: Addresses at which other gateways may run, contacted at start.
        configuration_service: Address of the configuration service.
        headers: Names of the application-level headers.
        grace_s: Seconds from the signal to stop until the process is killed.
        retries: Bound on hedges and retries.
        cold: Bound on requests to targets in cold start.
        target_drain_ms: Milliseconds from a target's first response that says
            that the target is leaving to the time from which it must get no
            requests.
        caller_limits: Limits on callers.
        memory_mb: Memory of the host, in MiB.
        max_descriptors: Descriptors that the process may open; 0 for the limit
            that the operating system sets, which applies in any case.
        ramp_up: Whether targets that have started or recovered get their usual
            load only step by step.
        fleet_admission: Whether the fleet admits requests by a common level for
            each destination while targets lack capacity.
        log_level: Lowest severity that is logged.
    """

    name: str
    failure_domain: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    configuration_service: str
    regions: dict[str, str] = attrs.field(factory=dict)
    readiness_path: str = "/ready"
    seeds: list[str] = attrs.field(factory=list)
    headers: headers_lib.HeaderNames = attrs.field(
        factory=headers_lib.HeaderNames
    )
    grace_s: float = 6.0
    retries: RetryBound = attrs.field(factory=RetryBound)
    cold: ColdBound = attrs.field(factory=ColdBound)
    target_drain_ms: float = 3000.0
    caller_limits: CallerLimits = attrs.field(factory=CallerLimits)
    memory_mb: int = 256
    max_descriptors: int = 0
    ramp_up: bool = False
    fleet_admission: bool = False
    log_level: str = "INFO"


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: If the file is unreadable or invalid; the error names the
            file and the JSON path of the first invalid setting.
    """
    return files.load(path, Settings, _find_invalid_settings)


def _find_invalid_settings(settings: Settings) -> list[files.InvalidSetting]:
    invalid_settings = files.check_addresses(
        settings,
        ("callers", "readiness", "peers", "metrics", "configuration_service"),
    )
    if settings.grace_s <= 0:
        invalid_settings.append(
            files.InvalidSetting("$.grace_s", "must be positive")
        )
    if settings.retries.window_s <= 0:
        invalid_settings.append(
            files.InvalidSetting("$.retries.window_s", "must be positive")
        )
    if not 0 <= settings.target_drain_ms < math.inf:
        invalid_settings.append(
            files.InvalidSetting(
                "$.target_drain_ms", "must be a finite number of at least 0"
            )
        )
    return (
        invalid_settings
        + _find_invalid_limits(settings)
        + files.check_log_level(settings.log_level)
    )


def _find_invalid_limits(
    settings: Settings,
) -> list[files.InvalidSetting]:
    limits = settings.caller_limits
    values = {
        "$.memory_mb": settings.memory_mb,
        "$.caller_limits.max_connections": limits.max_connections,
        "$.caller_limits.body_timeout_s": limits.body_timeout_s,
        "$.caller_limits.unread_reply_timeout_s": limits.unread_reply_timeout_s,
    }
    invalid_settings = [
        files.InvalidSetting(json_path, "must be positive")
        for json_path, value in values.items()
        # Also true for a value that is not a number.
        if not value > 0
    ]
    if settings.max_descriptors < 0:
        invalid_settings.append(
            files.InvalidSetting("$.max_descriptors", "must not be negative")
        )
    return (
        invalid_settings
        + _check_connections_per_address(limits)
        + _check_held_bytes(settings)
    )


def _check_connections_per_address(
    limits: CallerLimits,
) -> list[files.InvalidSetting]:
    if 0 <= limits.max_connections_per_address <= limits.max_connections:
        return []
    return [
        files.InvalidSetting(
            "$.caller_limits.max_connections_per_address",
            "must be from 0 to max_connections",
        )
    ]


def _check_held_bytes(settings: Settings) -> list[files.InvalidSetting]:
    json_path = "$.caller_limits.max_held_bytes"
    held_bytes = settings.caller_limits.max_held_bytes
    if held_bytes is None:
        return []
    if held_bytes < MIN_HELD_BYTES:
        return [
            files.InvalidSetting(
                json_path, f"must be at least {MIN_HELD_BYTES}"
            )
        ]
    if held_bytes > settings.memory_mb * MIB:
        return [files.InvalidSetting(json_path, "exceeds memory_mb")]
    return []
