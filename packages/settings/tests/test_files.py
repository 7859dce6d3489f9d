"""A settings file is refused with the place of its first fault."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs
import pytest

from cassiahead_settings import files

if TYPE_CHECKING:
    import pathlib


@attrs.frozen
class _Limits:
    seconds: float = 1.0


@attrs.frozen
class _Settings:
    name: str
    address: str | None = None
    log_level: str = "INFO"
    limits: _Limits = attrs.field(factory=_Limits)


def _faults(settings: _Settings) -> list[files.InvalidSetting]:
    faults = files.check_addresses(settings, ("address",))
    return faults + files.check_log_level(settings.log_level)


def _load(folder: pathlib.Path, text: str) -> _Settings:
    path = folder / "settings.json"
    path.write_text(text)
    return files.load(path, _Settings, _faults)


def test_what_is_left_out_has_its_default(tmp_path: pathlib.Path) -> None:
    loaded = _load(tmp_path, '{"name": "a", "limits": {"seconds": 2}}')
    assert loaded == _Settings("a", limits=_Limits(2.0))


@pytest.mark.parametrize(
    ("plain", "fault"),
    [
        ({}, "$: missing key 'name'"),
        ({"name": 1}, "$.name: "),
        ({"name": "a", "nme": "b"}, "$: unknown key 'nme'"),
        ({"name": "a", "limits": {"seconds": "2"}}, "$.limits.seconds: "),
        ({"name": "a", "address": "b:1"}, "$.address: 'b:1' is no IP number"),
        ({"name": "a", "log_level": "LOUD"}, "$.log_level: must be DEBUG"),
    ],
)
def test_the_first_fault_is_named(
    tmp_path: pathlib.Path, plain: dict[str, object], fault: str
) -> None:
    with pytest.raises(files.SettingsError) as raised:
        _load(tmp_path, json.dumps(plain))
    assert f"settings.json: {fault}" in str(raised.value)


def test_a_file_that_is_no_json_is_refused(tmp_path: pathlib.Path) -> None:
    with pytest.raises(files.SettingsError, match="not JSON"):
        _load(tmp_path, "{")


def test_a_file_that_is_not_there_is_refused(tmp_path: pathlib.Path) -> None:
    with pytest.raises(files.SettingsError, match="No such file"):
        files.load(tmp_path / "none.json", _Settings, _faults)
