"""Simulation of one shard's replicas under the searches of several hosts.

Load pattern: most replicas shed a part of their requests without delay, and so
appear idle and fast, while the replica that sheds nothing has requests
outstanding.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from cassiahead_decisions import replicas

__all__ = ["Outcome", "VirtualShard"]

_HOST_COUNT = 8
_SLOTS_PER_REPLICA = 2
_SEARCHES_PER_S = 98.0
_SERVICE_TIME_S = 0.0092
# Standard deviation of the logarithm of a service time.
_SERVICE_TIME_LOG_STDDEV = 0.35
_NETWORK_DELAY_S = 0.001
# Speed of each replica as a multiple of the nominal speed, by name.
_SPEED_RATIOS = {"a": 0.8, "b": 1.0, "c": 1.3}


@attrs.define
class Outcome:
    """Result of a simulation run.

    Attributes:
        search_count: Searches offered.
        shed_count: Requests that a replica shed without running them.
    """

    search_count: int = 0
    shed_count: int = 0


@attrs.frozen
class _Request:
    host: int
    sent_at: float
    tried_replicas: tuple[str, ...] = ()


@attrs.define(eq=False)
class VirtualShard:
    """Three replicas with slots and a queue each; some of them shed requests.

    Attributes:
        policy: Policy of all hosts' choosers.
        seed: Seed of arrivals, service times and shedding.
        shedding_replicas: Names of the replicas that shed.
        shed_fraction: Fraction of their requests that these replicas shed.
        outcome: Counts so far.
    """

    policy: replicas.Policy
    seed: int
    shedding_replicas: frozenset[str]
    shed_fraction: float
    outcome: Outcome = attrs.field(factory=Outcome)
    _rng: random.Random = attrs.field(init=False)
    _choosers: list[replicas.ReplicaChooser] = attrs.field(init=False)
    _busy_slot_counts: dict[str, int] = attrs.field(init=False)
    _queues: dict[str, list[_Request]] = attrs.field(init=False)
    _pending_events: list[tuple[float, int, Callable[[float], None]]] = (
        attrs.field(factory=list)
    )
    _event_numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Creates the hosts and replicas."""
        self._rng = random.Random(self.seed)
        self._choosers = [
            replicas.ReplicaChooser("d", random.Random(host), 4.0, self.policy)
            for host in range(_HOST_COUNT)
        ]
        self._busy_slot_counts = dict.fromkeys(_SPEED_RATIOS, 0)
        self._queues = {replica: [] for replica in _SPEED_RATIOS}

    def run(self, duration_s: float) -> Outcome:
        """Offers searches for a time and returns the counts at the end.

        Args:
            duration_s: Time during which searches arrive; the simulation goes
                on until all of them are answered.
        """
        arrival_at = 0.0
        while arrival_at < duration_s:
            arrival_at += self._rng.expovariate(_SEARCHES_PER_S)
            host = self._rng.randrange(_HOST_COUNT)
            self._schedule(
                arrival_at, lambda now, host=host: self._search(host, now)
            )
        while self._pending_events:
            now, _, action = heapq.heappop(self._pending_events)
            action(now)
        return self.outcome

    def _schedule(
        self, event_at: float, action: Callable[[float], None]
    ) -> None:
        heapq.heappush(
            self._pending_events,
            (event_at, next(self._event_numbers), action),
        )

    def _search(self, host: int, now: float) -> None:
        self.outcome.search_count += 1
        self._send(_Request(host, now), now)

    def _send(self, request: _Request, now: float) -> None:
        untried_replicas = [
            n for n in _SPEED_RATIOS if n not in request.tried_replicas
        ]
        domains = dict.fromkeys(untried_replicas or _SPEED_RATIOS, "d")
        chooser = self._choosers[request.host]
        replica = chooser.choose_among(domains, now)
        assert replica is not None
        chooser.record_sent(replica, now)
        sent_request = attrs.evolve(request, sent_at=now)
        self._schedule(
            now + _NETWORK_DELAY_S,
            lambda now: self._receive(replica, sent_request, now),
        )

    def _receive(self, replica: str, request: _Request, now: float) -> None:
        if (
            replica in self.shedding_replicas
            and self._rng.random() < self.shed_fraction
        ):
            self.outcome.shed_count += 1
            self._schedule(
                now + _NETWORK_DELAY_S,
                lambda now: self._handle_shed(replica, request, now),
            )
        elif self._busy_slot_counts[replica] < _SLOTS_PER_REPLICA:
            self._start(replica, request, now)
        else:
            self._queues[replica].append(request)

    def _handle_shed(self, replica: str, request: _Request, now: float) -> None:
        self._choosers[request.host].record_bad_answer(replica, now)
        tried_replicas = (*request.tried_replicas, replica)
        self._send(attrs.evolve(request, tried_replicas=tried_replicas), now)

    def _start(self, replica: str, request: _Request, now: float) -> None:
        self._busy_slot_counts[replica] += 1
        service_time_s = (
            _SERVICE_TIME_S
            * self._rng.lognormvariate(0.0, _SERVICE_TIME_LOG_STDDEV)
            / _SPEED_RATIOS[replica]
        )
        self._schedule(
            now + service_time_s,
            lambda now: self._finish(replica, request, now),
        )

    def _finish(self, replica: str, request: _Request, now: float) -> None:
        self._busy_slot_counts[replica] -= 1
        latency_s = now + _NETWORK_DELAY_S - request.sent_at
        self._choosers[request.host].record_answer(
            replica, latency_s, now + _NETWORK_DELAY_S
        )
        if self._queues[replica]:
            self._start(replica, self._queues[replica].pop(0), now)
