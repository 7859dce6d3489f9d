"""Notes with values of wrong JSON types are refused."""

from __future__ import annotations

import json

import pytest

from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import errors


@pytest.mark.parametrize(
    ("plain", "place"),
    [
        ({"rate_per_s": "5", "burst": 1}, "$.rate_per_s"),
        ({"rate_per_s": True, "burst": 1}, "$.rate_per_s"),
        ({"rate_per_s": 5, "burst": "1"}, "$.burst"),
    ],
)
def test_a_number_must_be_one(plain: dict[str, object], place: str) -> None:
    with pytest.raises(errors.NoteError) as raised:
        codec.decode(json.dumps(plain), api.Account)
    assert raised.value.path == place


def test_a_string_is_no_number() -> None:
    with pytest.raises(errors.NoteError):
        codec.decode('{"address": 1, "failure_domain": "d"}', api.Target)


def test_enumerations_and_whole_numbers_are_taken() -> None:
    note = api.Account(rate_per_s=5.0, burst=1)
    assert codec.decode('{"rate_per_s": 5, "burst": 1}', api.Account) == note
    route = api.Route(api.RouteKind.SEARCH, "l", 800)
    assert codec.decode(codec.encode(route), api.Route) == route
