"""The operator's tool: verdicts, exit codes and JSON."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from cassiactl import main as main_lib
from cassiahead_notes import api
from cassiahead_notes import codec

if TYPE_CHECKING:
    import pathlib


def run(arguments: list[str], monkeypatch: pytest.MonkeyPatch) -> int:
    monkeypatch.setattr("sys.argv", ["cassiactl", *arguments])
    with pytest.raises(SystemExit) as raised:
        main_lib.main()
    return int(raised.value.code or 0)


def two_domains() -> api.Note:
    targets = {
        f"t{n}": api.Target(f"127.0.0.1:{9000 + n}", f"d{n % 2}", 2, 25)
        for n in range(4)
    }
    return api.Note(
        number=1,
        predecessor="",
        effective=1.0,
        title="first",
        add=api.Items(
            failure_domains={d: api.FailureDomain() for d in ("d0", "d1")},
            targets=targets,
            layouts={"desk": api.Layout(1, {"s0": tuple(targets)})},
        ),
    )


def domain_out(predecessor: api.Note, name: str = "d1") -> api.Note:
    return api.Note(
        number=2,
        predecessor=codec.digest(predecessor),
        effective=2.0,
        title="take a domain out",
        change=api.Items(
            failure_domains={name: api.FailureDomain(taken_out=True)}
        ),
    )


def write(path: pathlib.Path, note: api.Note) -> str:
    path.write_text(codec.encode(note))
    return str(path)


def test_check_shows_changes_and_load(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    first = write(tmp_path / "1.json", two_domains())
    second = write(tmp_path / "2.json", domain_out(two_domains()))
    arguments = ["check", second, "--published", first, "--json"]
    assert run(arguments, monkeypatch) == 0
    plain = json.loads(capsys.readouterr().out)
    assert plain["changes"] == [
        {"kind": "changed", "path": "failure_domains.d1"}
    ]
    assert plain["loads"] == [
        {
            "layout": "desk",
            "slots_before": 8,
            "slots_after": 4,
            "fewest_replicas": 2,
        }
    ]


def test_check_refuses_with_code_and_path(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    first = write(tmp_path / "1.json", two_domains())
    second = write(tmp_path / "2.json", domain_out(two_domains(), "d9"))
    arguments = ["check", second, "--published", first]
    assert run(arguments, monkeypatch) == 1
    assert "CN05 $.change.failure_domains.d9" in capsys.readouterr().err


def test_check_names_a_missing_file(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["check", "/nowhere.json"], monkeypatch) == 2
    assert "/nowhere.json" in capsys.readouterr().err


def test_show_tells_of_a_daemon_that_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert run(["show", "127.0.0.1:1"], monkeypatch) == 3


def test_key_and_digest_belong_together(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["make-key", "--json"], monkeypatch) == 0
    plain = json.loads(capsys.readouterr().out)
    assert codec.text_digest(plain["key"]) == plain["digest"]


_ID = "108e2d1c91d0f588"


def log_line(at: float, name: str, **fields: object) -> str:
    return json.dumps({"at": at, "event": 1, "name": name} | fields)


def write_logs(folder: pathlib.Path) -> list[str]:
    """Two hosts: one served the request, the other lost the same target."""
    served = [
        log_line(90.0, "PEER_LOST", peer="long before", heard=3),
        log_line(98.0, "TARGET_GONE", target="i-1", service="s1"),
        log_line(98.1, "TARGET_GONE", target="i-9", service="other"),
        log_line(99.0, "PEER_LOST", peer="h2", heard=3),
        "no event",
        log_line(
            100.02,
            "ATTEMPT_FAILED",
            request_id=_ID,
            service="s1",
            target="i-2",
            reason="closed",
        ),
        log_line(
            100.1,
            "REQUEST_ANSWERED",
            request_id=_ID,
            status=200,
            ms=100.0,
            missing=["s1"],
        ),
    ]
    other = [
        log_line(
            99.5,
            "ATTEMPT_FAILED",
            request_id="another",
            service="s1",
            target="i-2",
            reason="closed",
        ),
        log_line(99.6, "PEER_LOST", peer="h1", heard=3),
    ]
    paths = []
    for name, lines in (("h1", served), ("h2", other)):
        path = folder / f"{name}.log"
        path.write_text("\n".join(lines) + "\n")
        paths.append(str(path))
    return paths


def test_explain_log_merges_what_hosts_tell_of_a_request(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    logs = write_logs(tmp_path)
    assert run(["explain-log", _ID, *logs], monkeypatch) == 0
    told = capsys.readouterr().out.splitlines()
    assert told[0].endswith("h1.log: 1 lines are no events")
    assert "ATTEMPT_FAILED" in told[1]
    assert "REQUEST_ANSWERED" in told[2]
    assert told[3] == "outcome: REQUEST_ANSWERED 200: answered"
    assert told[4] == "other requests at s1: 1 x closed"
    around = told[6:]
    assert [line.split()[3:5] for line in around] == [
        ["TARGET_GONE", "target=i-1"],
        ["PEER_LOST", "peer=h2"],
    ]


def test_explain_log_says_that_nothing_is_known(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    logs = write_logs(tmp_path)
    assert run(["explain-log", "none", *logs], monkeypatch) == 1
    missing = str(tmp_path / "missing.log")
    assert run(["explain-log", _ID, missing], monkeypatch) == 2


def test_check_settings_names_the_first_fault(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    plain = {
        "name": "h1",
        "failure_domain": "d1",
        "callers": "127.0.0.1:1",
        "readiness": "127.0.0.1:2",
        "peers": "127.0.0.1:3",
        "metrics": "127.0.0.1:4",
        "configuration_service": "127.0.0.1:5",
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(plain))
    assert run(["check-settings", str(path)], monkeypatch) == 0
    path.write_text(json.dumps(plain | {"grace_s": -1}))
    assert run(["check-settings", str(path)], monkeypatch) == 1
    assert "$.grace_s" in capsys.readouterr().err
