"""The limit on searches under way, against a model of targets with a queue."""

from __future__ import annotations

import collections
import heapq
import random

import attrs
import pytest

from cassiahead_decisions import concurrency_limit

_SERVERS = 6
_WORK_S = 0.1
_DEADLINE_S = 1.0
_CAPACITY = _SERVERS / _WORK_S
_WARM_UP_S = 10.0
_END_S = 70.0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("factor", [1.2, 2.0, 5.0])
def test_goodput_holds_in_overload(seed: int, factor: float) -> None:
    model = _Model(random.Random(seed), factor * _CAPACITY)
    model.run()
    span = _END_S - _WARM_UP_S
    assert len(model.answered) / span >= 0.95 * _CAPACITY
    assert sorted(model.answered)[len(model.answered) // 2] < 3 * _WORK_S


@pytest.mark.parametrize("seed", range(5))
def test_light_load_is_refused_nothing(seed: int) -> None:
    model = _Model(random.Random(seed), 0.5 * _CAPACITY)
    model.run()
    assert model.refused <= 0.001 * len(model.answered)


def test_lost_answers_without_a_queue_do_not_lower_the_limit() -> None:
    limit = concurrency_limit.ConcurrencyLimit()
    before = limit.limit
    for step in range(1000):
        limit.observe(_WORK_S if step % 2 else None, 0.0, step / 10)
    assert limit.limit >= before


@attrs.define
class _Model:
    """Two entries in front of servers with one queue in order of arrival."""

    rng: random.Random
    rate: float
    answered: list[float] = attrs.field(factory=list)
    refused: int = 0
    _limits: list[concurrency_limit.ConcurrencyLimit] = attrs.field(
        factory=lambda: [concurrency_limit.ConcurrencyLimit() for _ in range(2)]
    )
    _ends: list[tuple[float, float, float, int]] = attrs.field(factory=list)
    _queue: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )

    def run(self) -> None:
        """Offers requests until the end."""
        now = 0.0
        while now < _END_S:
            now += self.rng.expovariate(self.rate)
            self._serve_until(now)
            entry = self.rng.randrange(2)
            if self._limits[entry].try_acquire(1.0):
                self._queue.append((now, entry))
                self._start(now)
            elif now > _WARM_UP_S:
                self.refused += 1

    def _serve_until(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            end, began, arrived, entry = heapq.heappop(self._ends)
            self._limits[entry].release(1.0)
            self._limits[entry].observe(_WORK_S, began - arrived, end)
            if end > _WARM_UP_S:
                self.answered.append(end - arrived)
            self._start(end)

    def _start(self, now: float) -> None:
        while self._queue and len(self._ends) < _SERVERS:
            arrived, entry = self._queue.popleft()
            if now - arrived > _DEADLINE_S - _WORK_S:
                self._limits[entry].release(1.0)
                self._limits[entry].observe(None, now - arrived, now)
                continue
            heapq.heappush(self._ends, (now + _WORK_S, now, arrived, entry))
