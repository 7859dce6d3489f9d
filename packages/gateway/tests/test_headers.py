"""Which headers the next hop gets."""

from __future__ import annotations

from tornado import httputil

from cassiahead_gateway import headers


def test_only_what_concerns_one_connection_is_dropped() -> None:
    given = httputil.HTTPHeaders({"Connection": "close, X-Hop"})
    given.add("X-Hop", "1")
    given.add("Accept", "a")
    given.add("Accept", "b")
    given.add("Authorization", "Bearer secret")
    given.add("Transfer-Encoding", "chunked")
    kept = headers.forwardable_headers(given, frozenset({"authorization"}))
    assert list(kept.get_all()) == [("Accept", "a"), ("Accept", "b")]
