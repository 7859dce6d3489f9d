"""Settings of a gateway, read from a JSON file."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs
import cattrs
from cattrs import transform_error

from cassiahead_gateway import headers as headers_lib
from cassiahead_wire import addresses

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


class SettingsError(Exception):
    """Settings that cannot be used; the text is one line for the operator."""

    code = "CS01"


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
    try:
        plain = json.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: $: not JSON: {error}") from error
    try:
        settings = _converter().structure(plain, Settings)
    except Exception as error:
        fault = transform_error(error)[0]
        raise SettingsError(f"{path}: {fault}") from error
    for fault in _faults(settings):
        raise SettingsError(f"{path}: {fault}")
    return settings


def _converter() -> cattrs.Converter:
    return cattrs.Converter(forbid_extra_keys=True)


def _faults(settings: Settings) -> list[str]:
    faults = []
    for name in (
        "callers",
        "readiness",
        "peers",
        "metrics",
        "configuration_service",
    ):
        address = getattr(settings, name)
        try:
            addresses.split_address(address)
        except ValueError:
            faults.append(f"$.{name}: {address!r} is no IP number with a port")
    if settings.grace_s <= 0:
        faults.append("$.grace_s: must be positive")
    if settings.log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        faults.append("$.log_level: must be DEBUG, INFO, WARNING or ERROR")
    return faults
