"""Applies a release note to a configuration and validates the result."""

from __future__ import annotations

import ipaddress
import math
import re
from typing import Any

import attrs

from cassiahead_notes import api
from cassiahead_notes import errors

__all__ = ["apply_note", "validate"]

# For each section, the section whose items refer to its items.
_REFERRING_SECTIONS = {
    "accounts": "keys",
    "failure_domains": "targets",
    "targets": "layouts",
    "layouts": "routes",
}
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_MAX_PORT = 65535


def apply_note(
    configuration: api.Configuration, note: api.Note
) -> api.Configuration:
    """Applies one note to a configuration.

    The function is pure, so that every daemon reaches the same verdict. Items
    are withdrawn first, then changed, then added.

    Args:
        configuration: Configuration in force before the note; not modified.
        note: The note to apply.

    Returns:
        The configuration after the note.

    Raises:
        errors.NoteError: If the note adds an item that exists, changes or
            withdraws one that doesn't, holds an invalid value, or leaves a
            reference to an item that doesn't exist.
    """
    sections = {
        section: _apply_to_section(configuration, note, section)
        for section in api.SECTIONS
    }
    if note.add.fleet is not None:
        raise _note_error(
            errors.NoteErrorCode.ALREADY_EXISTS,
            "$.add.fleet",
            "the fleet always exists; change it instead",
        )
    fleet = note.change.fleet or configuration.fleet
    next_configuration = attrs.evolve(configuration, fleet=fleet, **sections)
    _validate_change(next_configuration, note)
    return next_configuration


def validate(configuration: api.Configuration) -> None:
    """Checks all values and references of a configuration.

    Raises:
        errors.NoteError: At the first invalid value: with code ``BAD_VALUE`` if
            it is out of range, with ``DANGLING_REFERENCE`` if it refers to an
            item that doesn't exist.
    """
    _validate_fleet(configuration.fleet)
    for section in api.SECTIONS:
        _validate_items(configuration, section, getattr(configuration, section))


def _validate_change(configuration: api.Configuration, note: api.Note) -> None:
    """Checks the items that a note may have made invalid.

    These are the items added or changed and, for a section from which items
    are withdrawn, all items of the section that refers to it. Other items are
    skipped, so that the cost depends on the note rather than on the size of the
    configuration.
    """
    if note.change.fleet is not None:
        _validate_fleet(note.change.fleet)
    for section in api.SECTIONS:
        _validate_items(configuration, section, getattr(note.add, section))
        _validate_items(configuration, section, getattr(note.change, section))
    for section, referring_section in _REFERRING_SECTIONS.items():
        if getattr(note.withdraw, section):
            items = getattr(configuration, referring_section)
            _validate_items(configuration, referring_section, items)


def _validate_items(
    configuration: api.Configuration, section: str, items: dict[str, Any]
) -> None:
    for name, item in items.items():
        path = f"$.{section}.{name}"
        match item:
            case api.Account():
                _validate_account(path, item)
            case api.Key():
                _validate_key(path, name, item, configuration)
            case api.Target():
                _validate_target(path, item, configuration)
            case api.Layout():
                _validate_layout(path, item, configuration)
            case api.Route():
                _validate_route(path, item, configuration)


def _apply_to_section(
    configuration: api.Configuration, note: api.Note, section: str
) -> dict[str, Any]:
    items = dict(getattr(configuration, section))
    for name in getattr(note.withdraw, section):
        if name not in items:
            raise _note_error(
                errors.NoteErrorCode.DOES_NOT_EXIST,
                f"$.withdraw.{section}.{name}",
                "cannot withdraw an item that does not exist",
            )
        del items[name]
    for name, item in getattr(note.change, section).items():
        if name not in items:
            raise _note_error(
                errors.NoteErrorCode.DOES_NOT_EXIST,
                f"$.change.{section}.{name}",
                "cannot change an item that does not exist",
            )
        items[name] = item
    for name, item in getattr(note.add, section).items():
        if name in items:
            raise _note_error(
                errors.NoteErrorCode.ALREADY_EXISTS,
                f"$.add.{section}.{name}",
                "cannot add an item that already exists",
            )
        items[name] = item
    return items


def _note_error(
    code: errors.NoteErrorCode, path: str, detail: str
) -> errors.NoteError:
    return errors.NoteError(code, path, detail)


def _require(is_valid: bool, path: str, detail: str) -> None:
    if not is_valid:
        raise _note_error(errors.NoteErrorCode.BAD_VALUE, path, detail)


def _require_reference(is_valid: bool, path: str, detail: str) -> None:
    if not is_valid:
        raise _note_error(errors.NoteErrorCode.DANGLING_REFERENCE, path, detail)


def _validate_fleet(fleet: api.Fleet) -> None:
    _require(
        fleet.entry_ceiling >= 1, "$.fleet.entry_ceiling", "must be at least 1"
    )
    _require(
        fleet.relay_ceiling >= 1, "$.fleet.relay_ceiling", "must be at least 1"
    )


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _validate_account(path: str, account: api.Account) -> None:
    _require(
        _is_positive(account.rate_per_s),
        f"{path}.rate_per_s",
        "must be a finite number above 0",
    )
    _require(
        _is_positive(account.burst) and account.burst >= 1,
        f"{path}.burst",
        "must be a finite number of at least 1",
    )
    _require(
        _is_positive(account.weight),
        f"{path}.weight",
        "must be a finite number above 0",
    )


def _validate_key(
    path: str, name: str, key: api.Key, configuration: api.Configuration
) -> None:
    _require(
        _DIGEST_PATTERN.fullmatch(name) is not None,
        path,
        "the name of a key must be the SHA-256 digest of its secret in"
        " hexadecimal",
    )
    _require_reference(
        key.account in configuration.accounts,
        f"{path}.account",
        f"client account {key.account!r} does not exist",
    )


def _validate_target(
    path: str, target: api.Target, configuration: api.Configuration
) -> None:
    _require(
        _is_address(target.address),
        f"{path}.address",
        "must be an IP address and a port, such as 127.0.0.1:9000",
    )
    _require_reference(
        target.failure_domain in configuration.failure_domains,
        f"{path}.failure_domain",
        f"failure domain {target.failure_domain!r} does not exist",
    )
    _require(target.slots >= 1, f"{path}.slots", "must be at least 1")
    _require(
        target.connections >= target.slots,
        f"{path}.connections",
        "must be at least the number of slots",
    )
    _require(
        1 <= target.cold_slots <= target.slots,
        f"{path}.cold_slots",
        "must be between 1 and the number of slots",
    )


def _is_address(address: str) -> bool:
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
        return 0 < int(port) <= _MAX_PORT
    except ValueError:
        return False


def _validate_layout(
    path: str, layout: api.Layout, configuration: api.Configuration
) -> None:
    _require(layout.generation >= 1, f"{path}.generation", "must be at least 1")
    _require(bool(layout.shards), f"{path}.shards", "must not be empty")
    for shard, targets in layout.shards.items():
        shard_path = f"{path}.shards.{shard}"
        _require(bool(targets), shard_path, "must name at least one target")
        _require(
            len(set(targets)) == len(targets),
            shard_path,
            "must not name a target twice",
        )
        for target in targets:
            _require_reference(
                target in configuration.targets,
                shard_path,
                f"target {target!r} does not exist",
            )


def _validate_route(
    path: str, route: api.Route, configuration: api.Configuration
) -> None:
    _require_reference(
        route.layout in configuration.layouts,
        f"{path}.layout",
        f"layout {route.layout!r} does not exist",
    )
    _require(route.deadline_ms >= 1, f"{path}.deadline_ms", "must be positive")
    _require(
        0 <= route.min_coverage <= 1,
        f"{path}.min_coverage",
        "must be between 0 and 1",
    )
    _require(
        0 <= route.max_extra_load <= 1,
        f"{path}.max_extra_load",
        "must be between 0 and 1",
    )
