"""Forwarding of headers to the next hop."""

from __future__ import annotations

from tornado import httputil

from cassiahead_gateway import headers


def test_hop_by_hop_and_excluded_headers_are_not_forwarded() -> None:
    received = httputil.HTTPHeaders({"Connection": "close, X-Hop"})
    received.add("X-Hop", "1")
    received.add("Accept", "a")
    received.add("Accept", "b")
    received.add("Authorization", "Bearer secret")
    received.add("Transfer-Encoding", "chunked")
    forwarded = headers.forwardable_headers(
        received, frozenset({"authorization"})
    )
    assert list(forwarded.get_all()) == [("Accept", "a"), ("Accept", "b")]
