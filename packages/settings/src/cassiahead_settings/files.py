"""Reads settings files and reports the JSON path of the first error."""

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

_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

_T = TypeVar("_T")


class SettingsError(Exception):
    """Settings could not be read or are invalid.

    The text is one line for the operator, with the file, the JSON path (unless
    the file could not be read) and the error.
    """

    code = "CS01"


@attrs.frozen
class InvalidSetting:
    """A setting whose value is invalid.

    Attributes:
        json_path: JSON path of the value, such as ``$.log_level``.
        detail: Reason why the value is invalid, for the operator.
    """

    json_path: str
    detail: str


def load(
    path: pathlib.Path,
    settings_class: type[_T],
    validate: Callable[[_T], Iterable[InvalidSetting]],
) -> _T:
    """Reads and validates a settings file.

    Unknown keys are errors, and so are missing keys without a default. A key
    whose value is null counts as missing: a platform that fills in a template
    writes null for what a deployment does not have.

    Args:
        path: Path of the settings file, in JSON.
        settings_class: The attrs class of the settings.
        validate: Returns the settings whose values are invalid although their
            types are right.

    Raises:
        SettingsError: If the file cannot be read or is not JSON, or a setting
            is invalid.
    """
    try:
        document = json.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: $: not JSON: {error}") from error
    try:
        settings = codec.strict_converter().structure(
            _without_nulls(document), settings_class
        )
    except Exception as error:
        json_path, detail = codec.first_fault(error)
        raise SettingsError(f"{path}: {json_path}: {detail}") from error
    for invalid_setting in validate(settings):
        raise SettingsError(
            f"{path}: {invalid_setting.json_path}: {invalid_setting.detail}"
        )
    return settings


def check_addresses(
    settings: object, field_names: Iterable[str]
) -> list[InvalidSetting]:
    """Checks settings that hold socket addresses.

    Args:
        settings: The settings.
        field_names: Attributes of ``settings`` that must hold ``IP:port``, or
            None if the address is optional and omitted.

    Returns:
        The settings that hold something else.
    """
    invalid_settings = []
    for name in field_names:
        address = getattr(settings, name)
        if address is not None and not addresses.is_address(address):
            detail = f"{address!r} is not an IP address with a port"
            invalid_settings.append(InvalidSetting(f"$.{name}", detail))
    return invalid_settings


def check_log_level(level: str) -> list[InvalidSetting]:
    """Checks a log level.

    Args:
        level: Value of the setting ``log_level``.

    Returns:
        A list with the invalid setting; empty if the level is valid.
    """
    if level in _LOG_LEVELS:
        return []
    return [
        InvalidSetting("$.log_level", "must be DEBUG, INFO, WARNING or ERROR")
    ]


def _without_nulls(document: object) -> object:
    """Returns a JSON document without the keys whose values are null."""
    if isinstance(document, list):
        return [_without_nulls(item) for item in document]
    if not isinstance(document, dict):
        return document
    return {
        key: _without_nulls(value)
        for key, value in document.items()
        if value is not None
    }
