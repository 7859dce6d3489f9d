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
    "Fault",
    "SettingsError",
    "address_faults",
    "level_faults",
    "load",
]

_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

_T = TypeVar("_T")


class SettingsError(Exception):
    """Settings that cannot be used; the text is one line for the operator."""

    code = "CS01"


@attrs.frozen
class Fault:
    """A value that cannot be used.

    Attributes:
        place: JSON path of the value.
        detail: What is wrong with it.
    """

    place: str
    detail: str


def load(
    path: pathlib.Path,
    shape: type[_T],
    find_faults: Callable[[_T], Iterable[Fault]],
) -> _T:
    """Reads and checks a settings file.

    Args:
        path: The file, in JSON.
        shape: The attrs class of the settings.
        find_faults: Finds what the types alone do not rule out.

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
        settings = codec.strict_converter().structure(plain, shape)
    except Exception as error:
        place, detail = codec.first_fault(error)
        raise SettingsError(f"{path}: {place}: {detail}") from error
    for fault in find_faults(settings):
        raise SettingsError(f"{path}: {fault.place}: {fault.detail}")
    return settings


def address_faults(settings: object, names: Iterable[str]) -> list[Fault]:
    """Returns the attributes that hold no address; None is no fault."""
    faults = []
    for name in names:
        address = getattr(settings, name)
        if address is None:
            continue
        try:
            addresses.split_address(address)
        except ValueError:
            detail = f"{address!r} is no IP number with a port"
            faults.append(Fault(f"$.{name}", detail))
    return faults


def level_faults(level: str) -> list[Fault]:
    """Returns the fault of a log level that does not exist."""
    if level in _LEVELS:
        return []
    return [Fault("$.log_level", "must be DEBUG, INFO, WARNING or ERROR")]
