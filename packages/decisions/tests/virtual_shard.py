"""One shard's replicas on virtual time, asked by several hosts.

Load pattern: most replicas turn away a part of their requests at once, so that
they look idle and fast, while the good one has work.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from cassiahead_decisions import replicas

__all__ = ["Outcome", "VirtualShard"]

_HOSTS = 8
_SLOTS = 2
_SEARCHES_PER_S = 98.0
_WORK_S = 0.0092
_SPREAD = 0.35
_WAY_S = 0.001
# Speed of each replica, by name.
_SPEEDS = {"a": 0.8, "b": 1.0, "c": 1.3}


@attrs.define
class Outcome:
    """What came of the searches.

    Attributes:
        searches: Their number.
        turned_away: Requests that a replica did not run.
    """

    searches: int = 0
    turned_away: int = 0


@attrs.frozen
class _Request:
    host: int
    sent_at: float
    tried: tuple[str, ...] = ()


@attrs.define(eq=False)
class VirtualShard:
    """Three replicas with slots and a queue, of which some shed."""

    policy: replicas.Policy
    seed: int
    shedding: frozenset[str]
    shed_share: float
    outcome: Outcome = attrs.field(factory=Outcome)
    _rng: random.Random = attrs.field(init=False)
    _choosers: list[replicas.ReplicaChooser] = attrs.field(init=False)
    _busy: dict[str, int] = attrs.field(init=False)
    _queues: dict[str, list[_Request]] = attrs.field(init=False)
    _due: list[tuple[float, int, Callable[[float], None]]] = attrs.field(
        factory=list
    )
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Creates the hosts and replicas."""
        self._rng = random.Random(self.seed)
        self._choosers = [
            replicas.ReplicaChooser("d", random.Random(host), 4.0, self.policy)
            for host in range(_HOSTS)
        ]
        self._busy = dict.fromkeys(_SPEEDS, 0)
        self._queues = {name: [] for name in _SPEEDS}

    def run(self, seconds: float) -> Outcome:
        """Offers searches for a time and returns what came of them."""
        time = 0.0
        while time < seconds:
            time += self._rng.expovariate(_SEARCHES_PER_S)
            host = self._rng.randrange(_HOSTS)
            self._at(time, lambda now, host=host: self._search(host, now))
        while self._due:
            now, _, action = heapq.heappop(self._due)
            action(now)
        return self.outcome

    def _at(self, time: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._due, (time, next(self._numbers), action))

    def _search(self, host: int, now: float) -> None:
        self.outcome.searches += 1
        self._ask(_Request(host, now), now)

    def _ask(self, request: _Request, now: float) -> None:
        untried = [n for n in _SPEEDS if n not in request.tried]
        domains = dict.fromkeys(untried or _SPEEDS, "d")
        chooser = self._choosers[request.host]
        name = chooser.choose_among(domains, now)
        assert name is not None
        chooser.record_sent(name, now)
        sent = attrs.evolve(request, sent_at=now)
        self._at(now + _WAY_S, lambda now: self._arrive(name, sent, now))

    def _arrive(self, name: str, request: _Request, now: float) -> None:
        if name in self.shedding and self._rng.random() < self.shed_share:
            self.outcome.turned_away += 1
            self._at(now + _WAY_S, lambda now: self._turn(name, request, now))
        elif self._busy[name] < _SLOTS:
            self._start(name, request, now)
        else:
            self._queues[name].append(request)

    def _turn(self, name: str, request: _Request, now: float) -> None:
        self._choosers[request.host].record_bad_answer(name, now)
        tried = (*request.tried, name)
        self._ask(attrs.evolve(request, tried=tried), now)

    def _start(self, name: str, request: _Request, now: float) -> None:
        self._busy[name] += 1
        work = _WORK_S * self._rng.lognormvariate(0.0, _SPREAD) / _SPEEDS[name]
        self._at(now + work, lambda now: self._finish(name, request, now))

    def _finish(self, name: str, request: _Request, now: float) -> None:
        self._busy[name] -= 1
        latency = now + _WAY_S - request.sent_at
        self._choosers[request.host].record_answer(name, latency, now + _WAY_S)
        if self._queues[name]:
            self._start(name, self._queues[name].pop(0), now)
