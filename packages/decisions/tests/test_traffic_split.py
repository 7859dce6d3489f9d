"""Shares of a route's services, by weight."""

from __future__ import annotations

import collections

from cassiahead_decisions import traffic_split


def test_shares_are_exact_over_short_runs() -> None:
    split = traffic_split.TrafficSplit()
    weights = {"a": 70.0, "b": 25.0, "c": 5.0}
    chosen = [split.next_service(weights) for _ in range(200)]
    for start in range(0, 100, 20):
        counts = collections.Counter(chosen[start : start + 100])
        assert abs(counts["a"] - 70) <= 1
        assert abs(counts["b"] - 25) <= 1
        assert abs(counts["c"] - 5) <= 1


def test_shares_follow_changed_weights_and_services() -> None:
    split = traffic_split.TrafficSplit()
    for _ in range(7):
        split.next_service({"a": 1.0, "b": 1.0})
    chosen = collections.Counter(
        split.next_service({"b": 9.0, "c": 1.0}) for _ in range(100)
    )
    assert abs(chosen["b"] - 90) <= 1
    assert chosen["a"] == 0
