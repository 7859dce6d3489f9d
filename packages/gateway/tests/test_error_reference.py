"""The reference page of the error codes agrees with the code."""

from __future__ import annotations

import pathlib
import re

from cassiahead_gateway import errors

_REFERENCE_PAGE = (
    pathlib.Path(__file__).parents[3] / "docs" / "reference" / "errors.md"
)
_TABLE_ROW = re.compile(r"^\| (CG\d+) \| (\w+) \| (\d+) \|", re.MULTILINE)


def test_reference_page_lists_all_error_codes() -> None:
    rows = {
        row[0]: row[1:]
        for row in _TABLE_ROW.findall(_REFERENCE_PAGE.read_text())
    }
    codes = {c.identifier: (c.name, str(c.status)) for c in errors.ErrorCode}
    assert rows == codes
