"""Settings of a daemon, read from a JSON file."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from cassiahead_settings import files
from cassiahead_settings.files import SettingsError

if TYPE_CHECKING:
    import pathlib

__all__ = ["Role", "Settings", "SettingsError", "load"]


class Role(enum.StrEnum):
    """Role of a daemon: entries serve callers, and relays own targets."""

    ENTRY = "entry"
    RELAY = "relay"


@attrs.frozen
class Settings:
    """Settings of one daemon.

    An address is an IP address and a port, as in ``127.0.0.1:8080``.

    Attributes:
        role: Role of the daemon.
        failure_domain: Name of the failure domain of this host.
        inner: Address of the server for other daemons.
        operators: Address of the server for operators and the balancer.
        platform: Address of the configuration service.
        callers: Address of the server for callers; set for entries only.
        peers_service: Name of the service under which the platform lists the
            daemons.
        notes_prefix: Key prefix of the release notes in the configuration
            service.
        balancer_wait_s: Seconds for which a daemon that is draining, or whose
            failure domain is taken out, still accepts requests, so that the
            balancer has time to notice.
        drain_limit_s: Maximum number of seconds for requests in flight to end
            on shutdown.
        max_body_bytes: Maximum size of a request body from a caller.
        max_header_bytes: Maximum size of the headers of a request.
        log_level: Lowest severity that is logged.
    """

    role: Role
    failure_domain: str
    inner: str
    operators: str
    platform: str
    callers: str | None = None
    peers_service: str = "cassiahead"
    notes_prefix: str = "cassiahead"
    balancer_wait_s: float = 1.0
    drain_limit_s: float = 10.0
    max_body_bytes: int = 65536
    max_header_bytes: int = 16384
    log_level: str = "INFO"


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: If the file is unreadable or invalid; names the file and,
            unless it is unreadable, the JSON path of the first fault.
    """
    return files.load(path, Settings, _find_invalid_settings)


def _find_invalid_settings(settings: Settings) -> list[files.InvalidSetting]:
    invalid_settings = files.check_addresses(
        settings, ("inner", "operators", "platform", "callers")
    )
    if settings.role is Role.ENTRY and settings.callers is None:
        invalid_settings.append(
            files.InvalidSetting(
                "$.callers", "an entry needs an address for callers"
            )
        )
    if settings.role is Role.RELAY and settings.callers is not None:
        invalid_settings.append(
            files.InvalidSetting("$.callers", "a relay serves no callers")
        )
    for name in ("max_body_bytes", "max_header_bytes"):
        if getattr(settings, name) < 1:
            invalid_settings.append(
                files.InvalidSetting(f"$.{name}", "must be positive")
            )
    for name in ("balancer_wait_s", "drain_limit_s"):
        if getattr(settings, name) < 0:
            invalid_settings.append(
                files.InvalidSetting(f"$.{name}", "must not be negative")
            )
    return invalid_settings + files.check_log_level(settings.log_level)
