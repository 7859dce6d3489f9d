"""The catalogue of errors in the docs agrees with the code."""

from __future__ import annotations

import pathlib
import re

from cassiahead_gateway import errors

_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "reference" / "errors.md"
_ROW = re.compile(r"^\| (CG\d+) \| (\w+) \| (\d+) \|", re.MULTILINE)


def test_error_codes_are_catalogued() -> None:
    rows = {row[0]: row[1:] for row in _ROW.findall(_PAGE.read_text())}
    codes = {c.number: (c.name, str(c.status)) for c in errors.Code}
    assert rows == codes
