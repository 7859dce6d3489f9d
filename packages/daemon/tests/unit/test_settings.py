"""Invalid settings are reported in one line that names their JSON path."""

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
    ("changed_settings", "expected_text"),
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
def test_invalid_setting_is_reported_with_its_path(
    tmp_path: pathlib.Path,
    changed_settings: dict[str, object],
    expected_text: str,
) -> None:
    settings_file = tmp_path / "settings.json"
    settings_file.write_text(
        json.dumps({**_VALID_SETTINGS, **changed_settings})
    )
    with pytest.raises(settings.SettingsError) as raised:
        settings.load(settings_file)
    assert expected_text in str(raised.value)
    assert "\n" not in str(raised.value)


def test_command_checks_settings(tmp_path: pathlib.Path) -> None:
    settings_file = tmp_path / "settings.json"
    settings_file.write_text(json.dumps(_VALID_SETTINGS))
    executable = pathlib.Path(sys.executable).parent / "cassiahead"
    arguments = [str(executable), "--check", "--settings"]
    assert subprocess.run([*arguments, str(settings_file)]).returncode == 0
    missing_file_result = subprocess.run(
        [*arguments, str(tmp_path / "none.json")], capture_output=True
    )
    assert missing_file_result.returncode == 2
    assert b"No such file" in missing_file_result.stderr
