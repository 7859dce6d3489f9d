"""An account's rate holds over the fleet, and nothing below it is refused."""

from __future__ import annotations

import random

import attrs

from cassiahead_decisions import fleet_quota

_HOSTS = 7
_WINDOW_S = 5.0
_STEP_S = 0.01
_REPORT_EVERY_S = 0.3
_LIMIT = fleet_quota.RateLimit(rate_per_s=43, burst=43)


@attrs.define
class _Fleet:
    """Hosts that hear each other's counts with a delay, unless cut off."""

    rng: random.Random
    now: float = 0.0
    quotas: dict[str, fleet_quota.FleetQuota] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    admitted: list[float] = attrs.field(factory=list)
    refused: int = 0
    reported: float = 0.0
    starts: int = 0
    began: dict[str, float] = attrs.field(factory=dict)

    def start(self, host: int) -> None:
        quota = fleet_quota.FleetQuota()
        quota.set_limits({"a": _LIMIT}, self.now)
        for name in [n for n in self.quotas if n.startswith(f"h{host}-")]:
            del self.quotas[name]
            for other in self.quotas.values():
                other.forget_peer(name)
        self.starts += 1
        self.quotas[f"h{host}-{self.starts}"] = quota
        self.began[f"h{host}-{self.starts}"] = self.now

    def run(self, seconds: float, demand_per_s: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_S
            if self.now - self.reported >= _REPORT_EVERY_S:
                self._report()
            count = demand_per_s * _STEP_S
            whole = int(count) + (self.rng.random() < count % 1)
            for _ in range(whole):
                self._ask()

    def _ask(self) -> None:
        name = self.rng.choice(sorted(self.quotas))
        isolated = name in self.cut and len(self.cut) * 2 <= len(self.quotas)
        if self.quotas[name].admit("a", self.now, isolated):
            self.admitted.append(self.now)
        else:
            self.refused += 1

    def _report(self) -> None:
        self.reported = self.now
        for name, quota in self.quotas.items():
            for other, receiver in self.quotas.items():
                apart = (name in self.cut) != (other in self.cut)
                if other != name and not apart:
                    counts = quota.report(self.now, include_idle=True)
                    later = self.began[name] >= self.began[other]
                    receiver.merge_report(name, counts, self.now, later)

    def most_in_window(self) -> int:
        return max(
            sum(1 for t in self.admitted if start <= t < start + _WINDOW_S)
            for start in self.admitted
        )


_BOUND = (_LIMIT.rate_per_s * _WINDOW_S + _LIMIT.burst) * 1.25 + 20


def _fleet(seed: int) -> _Fleet:
    fleet = _Fleet(random.Random(seed))
    for host in range(_HOSTS):
        fleet.start(host)
    return fleet


def test_seven_times_the_usual_stays_within_the_limit() -> None:
    for seed in range(5):
        fleet = _fleet(seed)
        fleet.run(4, 27)
        fleet.run(7, 7.5 * 27)
        assert fleet.most_in_window() <= _BOUND


def test_what_is_below_the_limit_is_not_refused() -> None:
    for seed in range(5):
        fleet = _fleet(seed)
        fleet.run(20, 0.8 * _LIMIT.rate_per_s)
        assert fleet.refused == 0


def test_a_pressing_account_gets_its_rate() -> None:
    fleet = _fleet(1)
    fleet.run(20, 5 * _LIMIT.rate_per_s)
    late = sum(1 for t in fleet.admitted if t >= 10)
    assert late >= 0.9 * 10 * _LIMIT.rate_per_s


def test_hosts_that_are_cut_off_do_not_double_the_rate() -> None:
    for seed in range(5):
        fleet = _fleet(seed)
        fleet.run(4, 27)
        fleet.cut = set(sorted(fleet.quotas)[:2])
        fleet.run(8, 7.5 * 27)
        assert fleet.most_in_window() <= _BOUND


def test_a_fleet_that_is_killed_does_not_begin_with_a_second_burst() -> None:
    for seed in range(5):
        fleet = _fleet(seed)
        fleet.run(4, 27)
        fleet.run(1.5, 5 * 27)
        for host in range(_HOSTS):
            fleet.start(host)
        fleet.run(6, 5 * 27)
        assert fleet.most_in_window() <= _BOUND


def test_a_lower_limit_binds_at_once() -> None:
    quota = fleet_quota.FleetQuota()
    quota.set_limits({"a": _LIMIT}, 0.0)
    quota.set_limits({"a": fleet_quota.RateLimit(2, 2)}, 1.0)
    admitted = sum(quota.admit("a", 1.0, False) for _ in range(20))
    assert admitted <= 2


def test_an_account_without_a_burst_gets_its_rate() -> None:
    quota = fleet_quota.FleetQuota()
    quota.set_limits({"a": fleet_quota.RateLimit(10, 0)}, 0.0)
    admitted = sum(quota.admit("a", 0.02 * n, False) for n in range(500))
    assert 0.9 * 100 <= admitted <= 100 + 1


def test_a_process_that_starts_takes_over_what_its_peers_know() -> None:
    quota = fleet_quota.FleetQuota()
    quota.set_limits({"a": _LIMIT}, 0.0)
    quota.adopt_tokens({"a": -3.0, "unknown": 9.0})
    assert not quota.admit("a", 0.0, False)
    assert 0.08 < quota.retry_after_s("a", 0.0) < 0.1


def test_reports_that_overtake_each_other_count_once() -> None:
    quota = fleet_quota.FleetQuota()
    quota.set_limits({"a": fleet_quota.RateLimit(1, 100)}, 0.0)
    quota.adopt_tokens({"a": 100.0})
    quota.merge_report("p", {"a": 0}, 0.0)
    quota.merge_report("p", {"a": 20}, 0.1)
    quota.merge_report("p", {"a": 15}, 0.2)
    quota.merge_report("p", {"a": 20}, 0.3)
    assert 75 < quota.tokens(0.3)["a"] < 85
