"""Settings faults give one clear line with the path."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest

from cassiahead_daemon import settings

_VALID_SETTINGS = {
    "role": "entry",
    "failure_domain": "d",
    "inner": "127.0.0.1:1",
    "operators": "127.0.0.1:2",
    "callers": "127.0.0.1:3",
    "platform": "127.0.0.1:4",
}


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"colour": "red"}, "$: unknown key 'colour'"),
        ({"drain_limit_s": "long"}, "$.drain_limit_s"),
        ({"inner": "host:1"}, "$.inner"),
        ({"inner": "127.0.0.1:70000"}, "$.inner"),
        ({"callers": None}, "$.callers"),
        ({"role": "king"}, "$.role"),
        ({"max_body_bytes": 0}, "$.max_body_bytes"),
        ({"log_level": "LOUD"}, "$.log_level"),
    ],
)
def test_fault_names_its_path(
    tmp_path: pathlib.Path, change: dict[str, object], path: str
) -> None:
    settings_file = tmp_path / "settings.json"
    settings_file.write_text(json.dumps({**_VALID_SETTINGS, **change}))
    with pytest.raises(settings.SettingsError) as raised:
        settings.load(settings_file)
    assert path in str(raised.value)
    assert "\n" not in str(raised.value)


def test_command_checks_settings(tmp_path: pathlib.Path) -> None:
    settings_file = tmp_path / "settings.json"
    settings_file.write_text(json.dumps(_VALID_SETTINGS))
    command = pathlib.Path(sys.executable).parent / "cassiahead"
    arguments = [str(command), "--check", "--settings"]
    assert subprocess.run([*arguments, str(settings_file)]).returncode == 0
    missing = subprocess.run(
        [*arguments, str(tmp_path / "none.json")], capture_output=True
    )
    assert missing.returncode == 2
    assert b"No such file" in missing.stderr
