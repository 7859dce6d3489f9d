"""Reads a settings file, and refuses it with the place of its first fault."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

from cassiahead_notes import codec
from cassiahead_wire import addresses

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import pathlib

__all__ = [
    "InvalidSetting",
    "SettingsError",
    "check_addresses",
    "check_log_level",
    "load",
]

_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

_T = TypeVar("_T")


class SettingsError(Exception):
    """Settings that cannot be used; the text is one line for the operator."""

    code = "CS01"


@attrs.frozen
class InvalidSetting:
    """A value that cannot be used.

    Attributes:
        json_path: JSON path of the value.
        detail: What is wrong with it.
    """

    json_path: str
    detail: str


def load(
    path: pathlib.Path,
    settings_class: type[_T],
    validate: Callable[[_T], Iterable[InvalidSetting]],
) -> _T:
    """Reads and checks a settings file.

    Args:
        path: The file, in JSON.
        settings_class: The attrs class of the settings.
        validate: Finds what the types alone do not rule out.

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
        settings = codec.strict_converter().structure(plain, settings_class)
    except Exception as error:
        place, detail = codec.first_fault(error)
        raise SettingsError(f"{path}: {place}: {detail}") from error
    for fault in validate(settings):
        raise SettingsError(f"{path}: {fault.json_path}: {fault.detail}")
    return settings


def check_addresses(
    settings: object, field_names: Iterable[str]
) -> list[InvalidSetting]:
    """Returns the attributes that hold no address; None is no fault."""
    faults = []
    for name in field_names:
        address = getattr(settings, name)
        if address is None:
            continue
        try:
            addresses.split_address(address)
        except ValueError:
            detail = f"{address!r} is no IP number with a port"
            faults.append(InvalidSetting(f"$.{name}", detail))
    return faults


def check_log_level(level: str) -> list[InvalidSetting]:
    """Returns the fault of a log level that does not exist."""
    if level in _LEVELS:
        return []
    return [
        InvalidSetting("$.log_level", "must be DEBUG, INFO, WARNING or ERROR")
    ]
