"""Limit on searches in flight: simulation of targets that share a queue."""

from __future__ import annotations

import collections
import heapq
import random

import attrs
import pytest

from cassiahead_decisions import concurrency_limit

_TARGET_COUNT = 6
_SERVICE_TIME_S = 0.1
_DEADLINE_S = 1.0
_CAPACITY_PER_S = _TARGET_COUNT / _SERVICE_TIME_S
_WARM_UP_S = 10.0
_DURATION_S = 70.0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("load_ratio", [1.2, 2.0, 5.0])
def test_goodput_and_latency_hold_in_overload(
    seed: int, load_ratio: float
) -> None:
    simulation = _Simulation(random.Random(seed), load_ratio * _CAPACITY_PER_S)
    simulation.run()
    measured_s = _DURATION_S - _WARM_UP_S
    assert len(simulation.latencies_s) / measured_s >= 0.95 * _CAPACITY_PER_S
    assert (
        sorted(simulation.latencies_s)[len(simulation.latencies_s) // 2]
        < 3 * _SERVICE_TIME_S
    )


@pytest.mark.parametrize("seed", range(5))
def test_light_load_is_hardly_refused(seed: int) -> None:
    simulation = _Simulation(random.Random(seed), 0.5 * _CAPACITY_PER_S)
    simulation.run()
    assert simulation.refused_count <= 0.001 * len(simulation.latencies_s)


def test_lost_answers_without_queue_time_do_not_lower_the_limit() -> None:
    limit = concurrency_limit.ConcurrencyLimit()
    initial_limit = limit.limit
    for step in range(1000):
        limit.record_request_times(
            _SERVICE_TIME_S if step % 2 else None, 0.0, step / 10
        )
    assert limit.limit >= initial_limit


@attrs.define
class _Simulation:
    """Two entries send searches to targets that share one queue (FIFO).

    Attributes:
        rng: Random source of the arrivals and of the entry of each search.
        rate_per_s: Rate of arrivals.
        latencies_s: Latencies of the searches served after the warm-up.
        refused_count: Searches refused after the warm-up.
    """

    rng: random.Random
    rate_per_s: float
    latencies_s: list[float] = attrs.field(factory=list)
    refused_count: int = 0
    _limits: list[concurrency_limit.ConcurrencyLimit] = attrs.field(
        factory=lambda: [concurrency_limit.ConcurrencyLimit() for _ in range(2)]
    )
    # Heap of the end, start and arrival times and the entry of each search.
    _in_service: list[tuple[float, float, float, int]] = attrs.field(
        factory=list
    )
    # Arrival time and entry of each search that waits.
    _queue: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )

    def run(self) -> None:
        """Offers searches until the end of the simulation."""
        now = 0.0
        while now < _DURATION_S:
            now += self.rng.expovariate(self.rate_per_s)
            self._serve_until(now)
            entry = self.rng.randrange(2)
            if self._limits[entry].try_acquire(1.0):
                self._queue.append((now, entry))
                self._start_queued(now)
            elif now > _WARM_UP_S:
                self.refused_count += 1

    def _serve_until(self, now: float) -> None:
        while self._in_service and self._in_service[0][0] <= now:
            end_at, started_at, arrived_at, entry = heapq.heappop(
                self._in_service
            )
            self._limits[entry].release(1.0)
            self._limits[entry].record_request_times(
                _SERVICE_TIME_S, started_at - arrived_at, end_at
            )
            if end_at > _WARM_UP_S:
                self.latencies_s.append(end_at - arrived_at)
            self._start_queued(end_at)

    def _start_queued(self, now: float) -> None:
        while self._queue and len(self._in_service) < _TARGET_COUNT:
            arrived_at, entry = self._queue.popleft()
            if now - arrived_at > _DEADLINE_S - _SERVICE_TIME_S:
                self._limits[entry].release(1.0)
                self._limits[entry].record_request_times(
                    None, now - arrived_at, now
                )
                continue
            heapq.heappush(
                self._in_service,
                (now + _SERVICE_TIME_S, now, arrived_at, entry),
            )
