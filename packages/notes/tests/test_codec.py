"""Notes with values of wrong JSON types are refused."""

from __future__ import annotations

import json

import pytest

from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import errors


@pytest.mark.parametrize(
    ("account", "path"),
    [
        ({"rate_per_s": "5", "burst": 1}, "$.rate_per_s"),
        ({"rate_per_s": True, "burst": 1}, "$.rate_per_s"),
        ({"rate_per_s": 5, "burst": "1"}, "$.burst"),
    ],
)
def test_value_that_is_not_a_json_number_is_refused(
    account: dict[str, object], path: str
) -> None:
    with pytest.raises(errors.NoteError) as raised:
        codec.decode(json.dumps(account), api.Account)
    assert raised.value.path == path


def test_number_for_a_string_is_refused() -> None:
    with pytest.raises(errors.NoteError):
        codec.decode('{"address": 1, "failure_domain": "d"}', api.Target)


def test_enumerations_and_integers_for_floats_are_accepted() -> None:
    expected = api.Account(rate_per_s=5.0, burst=1)
    assert (
        codec.decode('{"rate_per_s": 5, "burst": 1}', api.Account) == expected
    )
    route = api.Route(api.RouteKind.SEARCH, "l", 800)
    assert codec.decode(codec.encode(route), api.Route) == route
