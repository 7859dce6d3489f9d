"""Connections that are closed for others, in order."""

from __future__ import annotations

import attrs

from cassiahead_gateway import evictions

_Stage = evictions.EvictionStage
_NOW = 10.0


@attrs.define(eq=False)
class _Connection:
    """A connection in a stage; None while its request is handled."""

    stage: evictions.EvictionStage | None
    since: float = 0.0
    held_bytes: int = 0
    is_evicted: bool = False

    @property
    def eviction_rank(self) -> evictions.EvictionRank | None:
        if self.stage is None or self.is_evicted:
            return None
        return evictions.EvictionRank(self.stage, self.since)

    def evict(self) -> None:
        self.is_evicted = True


def _evict_all(
    connections: list[_Connection],
    min_s_by_stage: dict[evictions.EvictionStage, float] | None = None,
) -> list[int]:
    """Returns the indexes of the connections, in the order of eviction."""
    queue = evictions.EvictionQueue(lambda: connections, min_s_by_stage or {})
    evicted = []
    while queue.evict(_NOW):
        [index] = [
            i
            for i, connection in enumerate(connections)
            if connection.is_evicted and i not in evicted
        ]
        evicted.append(index)
    return evicted


def test_refused_then_idle_then_the_longest_delay() -> None:
    connections = [
        _Connection(_Stage.DELAYING, 3.0),
        _Connection(None),
        _Connection(_Stage.DELAYING, 2.0),
        _Connection(_Stage.IDLE, 9.0),
        _Connection(_Stage.REFUSED, 9.5),
        _Connection(_Stage.KEPT, 1.0),
    ]
    assert _evict_all(connections) == [4, 3, 2, 0, 5]


def test_short_delays_are_borne() -> None:
    connections = [
        _Connection(_Stage.DELAYING, 9.0),
        _Connection(_Stage.DELAYING, 7.0),
        _Connection(_Stage.KEPT, 9.0),
    ]
    assert _evict_all(connections, {_Stage.DELAYING: 2.0}) == [1, 2]


def test_a_request_that_has_arrived_since_the_ranking_is_kept() -> None:
    connections = [
        _Connection(_Stage.DELAYING, 1.0),
        _Connection(_Stage.DELAYING, 2.0),
        _Connection(_Stage.DELAYING, 3.0),
    ]
    queue = evictions.EvictionQueue(lambda: connections, {})
    assert queue.evict(_NOW)
    connections[1].stage = None
    assert queue.evict(_NOW)
    assert [c.is_evicted for c in connections] == [True, False, True]


def test_connections_that_hold_nothing_are_kept() -> None:
    connections = [
        _Connection(_Stage.DELAYING, 1.0),
        _Connection(_Stage.DELAYING, 2.0, held_bytes=10),
    ]
    queue = evictions.EvictionQueue(
        lambda: connections, {}, lambda connection: connection.held_bytes > 0
    )
    assert queue.evict(_NOW)
    assert not queue.evict(_NOW)
    assert [c.is_evicted for c in connections] == [False, True]


def test_connections_are_not_ranked_for_each_eviction() -> None:
    # Ranking 2,000 of them for each new one took most of the processor time.
    ranking_count = 0

    def connections() -> list[_Connection]:
        nonlocal ranking_count
        ranking_count += 1
        return []

    queue = evictions.EvictionQueue(connections, {})
    for _ in range(10):
        assert not queue.evict(_NOW)
    assert ranking_count == 1
