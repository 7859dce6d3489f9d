"""Matching of requests to routes and of API keys to client accounts."""

from __future__ import annotations

import pytest

from cassiahead_gateway import api
from cassiahead_gateway import errors
from cassiahead_gateway import routing


def _route(name: str, prefix: str, *, is_open: bool = False) -> api.Route:
    return api.Route(
        name,
        "h.example",
        prefix,
        api.SingleService("s"),
        True,
        1,
        1,
        2,
        is_open=is_open,
    )


def _router() -> routing.Router:
    account = api.Account("acme")
    return routing.Router.from_configuration(
        api.Configuration(
            4,
            routes=(
                _route("short", "/a/"),
                _route("long", "/a/b/"),
                _route("free", "/free/", is_open=True),
            ),
            accounts={"acme": account},
            account_name_by_key={"k1": "acme"},
        )
    )


@pytest.mark.parametrize(
    ("path", "route_name"),
    [
        ("/a/x", "short"),
        ("/a/b/x?q=/c/", "long"),
        ("/a/b", "short"),
        ("/free/?a", "free"),
    ],
)
def test_longest_matching_prefix_is_chosen(path: str, route_name: str) -> None:
    router = _router()
    assert router.find_route("h.example", path).name == route_name
    assert router.find_route("H.EXAMPLE:8080", path).name == route_name


@pytest.mark.parametrize(
    ("host", "path"), [("h.example", "/b/"), ("x.example", "/a/")]
)
def test_request_without_a_matching_route_raises_an_error(
    host: str, path: str
) -> None:
    with pytest.raises(errors.RequestError) as caught:
        _router().find_route(host, path)
    assert caught.value.code is errors.ErrorCode.NO_ROUTE


def test_account_is_found_by_api_key() -> None:
    router = _router()
    route = router.find_route("h.example", "/a/")
    account = router.find_account(route, "Bearer k1")
    assert account is not None
    assert account.name == "acme"
    with pytest.raises(errors.RequestError) as caught:
        router.find_account(route, "Bearer k2")
    assert caught.value.code is errors.ErrorCode.KEY_INVALID
    with pytest.raises(errors.RequestError) as caught:
        router.find_account(route, None)
    assert caught.value.code is errors.ErrorCode.KEY_MISSING
    open_route = router.find_route("h.example", "/free/")
    assert router.find_account(open_route, "Bearer k2") is None
