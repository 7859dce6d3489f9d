"""Few read the service, and a lost reader is replaced in time."""

from __future__ import annotations

import random

from cassiahead_decisions import reader_role

_STEP_S = 0.05
_HEARTBEAT_S = 0.25
_NAMES = [f"h{number}" for number in range(7)]


class _Fleet:
    """Hosts that read by their duty and hear ages with each heartbeat."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.now = 0.0
        self.duties = {
            n: reader_role.ReaderRole.at_start(rng, 0.0) for n in _NAMES
        }
        self.confirmed = dict.fromkeys(_NAMES, float("-inf"))
        self.refused: set[str] = set()
        self.dead: set[str] = set()
        self.calls = 0
        self.oldest = 0.0

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_S
            for name in self._living():
                self._decide(name)
            if int(self.now / _STEP_S) % int(_HEARTBEAT_S / _STEP_S) == 0:
                newest = max(self.confirmed[n] for n in self._living())
                for name in self._living():
                    self.confirmed[name] = newest
            oldest = max(self.now - self.confirmed[n] for n in self._living())
            self.oldest = max(self.oldest, oldest)

    def readers(self) -> list[str]:
        return [n for n in self._living() if self.duties[n].is_reading]

    def _living(self) -> list[str]:
        return [n for n in _NAMES if n not in self.dead]

    def _decide(self, name: str) -> None:
        others = [n for n in self._living() if n != name]
        rank = reader_role.reader_rank(name, others)
        better = any(
            self.duties[n].is_reading
            and reader_role.reader_rank(n, [name]) == 0
            for n in others
        )
        age = self.now - self.confirmed[name]
        duty = self.duties[name]
        if not duty.decide(self.now, age, rank, better):
            return
        self.calls += 1
        if name in self.refused:
            duty.record_failure(self.now)
        else:
            duty.record_success()
            self.confirmed[name] = self.now


def test_one_reads_once_all_have_heard() -> None:
    for seed in range(10):
        fleet = _Fleet(seed)
        fleet.run(5)
        assert len(fleet.readers()) == 1


def test_a_lost_reader_is_replaced_within_the_bound() -> None:
    for seed in range(10):
        fleet = _Fleet(seed)
        fleet.run(5)
        fleet.oldest = 0.0
        fleet.dead = set(fleet.readers())
        fleet.run(5)
        assert len(fleet.readers()) == 1
        assert fleet.oldest < 2.5


def test_hosts_that_are_refused_leave_it_to_the_others() -> None:
    for seed in range(10):
        fleet = _Fleet(seed)
        fleet.run(5)
        fleet.refused = {*fleet.readers(), *_NAMES[:2]}
        fleet.oldest = 0.0
        fleet.run(9)
        assert fleet.oldest < 2.5
        assert not set(fleet.readers()) & fleet.refused


def test_a_service_that_is_down_is_asked_seldom() -> None:
    fleet = _Fleet(3)
    fleet.run(5)
    fleet.refused = set(_NAMES)
    fleet.calls = 0
    fleet.run(5)
    assert fleet.calls < 60
    fleet.refused = set()
    fleet.run(4)
    assert fleet.now - max(fleet.confirmed.values()) < 1
