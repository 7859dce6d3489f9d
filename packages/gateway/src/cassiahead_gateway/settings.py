"""Settings of a gateway, read from a JSON file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_gateway import headers as headers_lib
from cassiahead_settings import files
from cassiahead_settings.files import SettingsError

if TYPE_CHECKING:
    import pathlib

__all__ = [
    "ColdBound",
    "QuotaBound",
    "RetryBound",
    "Settings",
    "SettingsError",
    "load",
]


@attrs.frozen
class RetryBound:
    """Extra requests that a service may get from all hosts together.

    Attributes:
        ratio: Extra requests per first request.
        slack: Extra requests beside that, in any window.
    """

    ratio: float = 0.2
    slack: float = 54.0


@attrs.frozen
class ColdBound:
    """Requests that a target in cold start may get from all hosts together.

    Attributes:
        factor: Times the rate that its service names.
        slack: Requests a second beside that.
    """

    factor: float = 1.5
    slack: float = 5.0


@attrs.frozen
class QuotaBound:
    """How far the admissions of an account may exceed its limit."""

    overage: float = 0.25
    slack: float = 20.0


@attrs.frozen
class Settings:
    """Settings of one gateway.

    Attributes:
        name: Name of this host.
        failure_domain: Failure domain of this host.
        regions: Region of each failure domain.
        callers: Address of the server for callers.
        readiness: Address of the server that the balancer asks.
        readiness_path: Path that the balancer asks.
        peers: Address of the server for other gateways.
        metrics: Address of the server for metrics.
        seeds: Addresses at which some other gateways may be.
        configuration_service: Address of the platform's service.
        headers: Header names in use.
        grace_s: Seconds from the signal to stop until the process is killed.
        retries: Bound on extra requests.
        cold: Bound on requests to targets in cold start.
        quota: Bound on an account's admissions.
        log_level: Least severity that is logged.
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
    quota: QuotaBound = attrs.field(factory=QuotaBound)
    log_level: str = "INFO"


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: With the file and the JSON path of the first fault.
    """
    return files.load(path, Settings, _faults)


def _faults(settings: Settings) -> list[files.InvalidSetting]:
    faults = files.check_addresses(
        settings,
        ("callers", "readiness", "peers", "metrics", "configuration_service"),
    )
    if settings.grace_s <= 0:
        faults.append(files.InvalidSetting("$.grace_s", "must be positive"))
    return faults + files.check_log_level(settings.log_level)
