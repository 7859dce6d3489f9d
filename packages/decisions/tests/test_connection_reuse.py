"""A host that rarely sends requests returns to targets it is connected to."""

from __future__ import annotations

import random

from cassiahead_decisions import replica_policies
from cassiahead_decisions import replicas

_SHARD_COUNT = 42
_SEARCH_INTERVAL_S = 4.0
_SEARCH_COUNT = 12
_KEEP_ALIVE_S = 15.0
_UNCONNECTED_COST_FACTOR = 1.5


def _new_connection_ratio(
    host_number: int, unconnected_factor: float, sent_counts: dict[str, int]
) -> float:
    """Returns the new connections of one host by its requests."""
    rng = random.Random(host_number)
    chooser = replicas.ReplicaChooser(
        "d0", rng, 4.0, replica_policies.WeightedRandom(8.0, 0.006, 0.1)
    )
    used_at: dict[str, float] = {}
    connect_count = 0
    now = 100.0
    for _ in range(_SEARCH_COUNT):
        now += _SEARCH_INTERVAL_S * rng.uniform(0.5, 1.5)
        for shard in range(_SHARD_COUNT):
            targets = {f"t{shard}-{replica}": "d0" for replica in range(3)}
            idle = {
                t for t in targets if now - used_at.get(t, 0.0) < _KEEP_ALIVE_S
            }
            factors = {t: unconnected_factor for t in targets if t not in idle}
            target = chooser.choose_among(targets, now, factors)
            assert target is not None
            connect_count += target not in idle
            used_at[target] = now
            sent_counts[target] = sent_counts.get(target, 0) + 1
            chooser.record_sent(target, now)
            latency_s = 0.022 * rng.uniform(0.8, 1.3)
            chooser.record_answer(target, latency_s, now + latency_s)
    return connect_count / _SEARCH_COUNT / _SHARD_COUNT


def test_few_requests_need_a_new_connection() -> None:
    # A host with one search in 4 s chose among all replicas alike; up to two
    # fifths of its requests opened a connection.
    sent_counts: dict[str, int] = {}
    ratios = [
        _new_connection_ratio(number, _UNCONNECTED_COST_FACTOR, sent_counts)
        for number in range(150)
    ]
    assert sum(ratios) / len(ratios) < 0.1
    # Over the hosts, the replicas still share the load.
    assert max(sent_counts.values()) < 2 * min(sent_counts.values())
