"""The tables of events and error codes in the docs agree with the code."""

from __future__ import annotations

import pathlib
import re

from cassiahead_daemon import errors
from cassiahead_notes import errors as note_errors
from cassiahead_telemetry import events

_DOCS = pathlib.Path(__file__).parents[4] / "docs"
_TABLE_ROW = re.compile(r"^\| (\w+) \| (\w+) \|", re.MULTILINE)


def test_events_are_catalogued() -> None:
    name_by_number = dict(_TABLE_ROW.findall((_DOCS / "EVENTS.md").read_text()))
    del name_by_number["Number"]
    assert name_by_number == {str(e.number): e.name for e in events.Event}


def test_error_codes_are_catalogued() -> None:
    name_by_code_on_page = dict(
        _TABLE_ROW.findall((_DOCS / "reference" / "errors.md").read_text())
    )
    name_by_code = {code.identifier: code.name for code in errors.ErrorCode}
    name_by_code |= {
        code.value: code.name for code in note_errors.NoteErrorCode
    }
    assert name_by_code_on_page.items() >= name_by_code.items()
