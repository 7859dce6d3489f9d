"""Connections that are closed for others, in order."""

from __future__ import annotations

import attrs
import pytest

from cassiahead_gateway import evictions
from cassiahead_wire import clock

_Stage = evictions.EvictionStage


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


@pytest.fixture(autouse=True)
def _clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clock, "monotonic", lambda: 100.0)


def _evict_all(
    connections: list[_Connection], until: float = 100.0
) -> list[int]:
    """Returns the indexes of the connections, in the order of eviction."""
    queue = evictions.EvictionQueue(lambda: connections)
    evicted = []
    while (connection := queue.evict(until)) is not None:
        evicted.append(connections.index(connection))
    return evicted


def test_refused_then_idle_then_the_longest_delay() -> None:
    connections = [
        _Connection(_Stage.DELAYING, 3.0),
        _Connection(None),
        _Connection(_Stage.DELAYING, 2.0),
        _Connection(_Stage.IDLE, 9.0),
        _Connection(_Stage.REFUSED, 9.5),
    ]
    assert _evict_all(connections) == [4, 3, 2, 0]


def test_short_delays_are_borne() -> None:
    connections = [
        _Connection(_Stage.DELAYING, 9.0),
        _Connection(_Stage.DELAYING, 7.0),
    ]
    assert _evict_all(connections, until=8.0) == [1]


def test_a_request_that_has_arrived_since_the_ranking_is_kept() -> None:
    connections = [
        _Connection(_Stage.DELAYING, 1.0),
        _Connection(_Stage.DELAYING, 2.0),
        _Connection(_Stage.DELAYING, 3.0),
    ]
    queue = evictions.EvictionQueue(lambda: connections)
    assert queue.evict(100.0) is connections[0]
    connections[1].stage = None
    assert queue.evict(100.0) is connections[2]


def test_connections_that_hold_nothing_are_kept() -> None:
    connections = [
        _Connection(_Stage.DELAYING, 1.0),
        _Connection(_Stage.DELAYING, 2.0, held_bytes=10),
    ]
    queue = evictions.EvictionQueue(lambda: connections)
    evicted = queue.evict(100.0, lambda connection: connection.held_bytes > 0)
    assert evicted is connections[1]
