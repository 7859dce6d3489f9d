"""Fleet-wide limits: they hold in overload, and refuse no load below them."""

from __future__ import annotations

import random

import attrs

from cassiahead_decisions import fleet_quota

_HOST_COUNT = 7
_WINDOW_S = 5.0
_STEP_S = 0.01
_REPORT_INTERVAL_S = 0.3
_LIMIT = fleet_quota.RateLimit(rate_per_s=43, burst=43)


@attrs.define
class _Fleet:
    """Hosts that report to each other every 0.3 s, unless partitioned."""

    rng: random.Random
    now: float = 0.0
    # Quotas by process; a process is named after its host and its start number.
    quotas: dict[str, fleet_quota.FleetQuota] = attrs.field(factory=dict)
    partitioned_processes: set[str] = attrs.field(factory=set)
    admission_times: list[float] = attrs.field(factory=list)
    refused_count: int = 0
    reported_at: float = 0.0
    start_count: int = 0
    started_at_by_process: dict[str, float] = attrs.field(factory=dict)

    def start(self, host: int) -> None:
        quota = fleet_quota.FleetQuota()
        quota.set_limits({"a": _LIMIT}, self.now)
        for process in [p for p in self.quotas if p.startswith(f"h{host}-")]:
            del self.quotas[process]
            for peer_quota in self.quotas.values():
                peer_quota.forget_peer(process)
        self.start_count += 1
        self.quotas[f"h{host}-{self.start_count}"] = quota
        self.started_at_by_process[f"h{host}-{self.start_count}"] = self.now

    def run(self, duration_s: float, demand_per_s: float) -> None:
        end_at = self.now + duration_s
        while self.now < end_at:
            self.now += _STEP_S
            if self.now - self.reported_at >= _REPORT_INTERVAL_S:
                self._report()
            mean_count = demand_per_s * _STEP_S
            request_count = int(mean_count) + (
                self.rng.random() < mean_count % 1
            )
            for _ in range(request_count):
                self._send_request()

    def _send_request(self) -> None:
        process = self.rng.choice(sorted(self.quotas))
        is_isolated = process in self.partitioned_processes and len(
            self.partitioned_processes
        ) * 2 <= len(self.quotas)
        if self.quotas[process].admit("a", self.now, is_isolated):
            self.admission_times.append(self.now)
        else:
            self.refused_count += 1

    def _report(self) -> None:
        self.reported_at = self.now
        for sender, sender_quota in self.quotas.items():
            for receiver, receiver_quota in self.quotas.items():
                are_separated = (sender in self.partitioned_processes) != (
                    receiver in self.partitioned_processes
                )
                if receiver != sender and not are_separated:
                    counts = sender_quota.own_admission_counts(
                        self.now, include_idle=True
                    )
                    started_later = (
                        self.started_at_by_process[sender]
                        >= self.started_at_by_process[receiver]
                    )
                    receiver_quota.merge_report(
                        sender, counts, self.now, started_later
                    )

    def max_admissions_per_window(self) -> int:
        return max(
            sum(
                1
                for t in self.admission_times
                if start <= t < start + _WINDOW_S
            )
            for start in self.admission_times
        )


_MAX_ADMISSIONS_PER_WINDOW = (
    _LIMIT.rate_per_s * _WINDOW_S + _LIMIT.burst
) * 1.25 + 20


def _fleet(seed: int) -> _Fleet:
    fleet = _Fleet(random.Random(seed))
    for host in range(_HOST_COUNT):
        fleet.start(host)
    return fleet


def test_sudden_overload_stays_within_the_limit() -> None:
    # The account sends 27 requests per second, then 7.5 times as many.
    for seed in range(5):
        fleet = _fleet(seed)
        fleet.run(4, 27)
        fleet.run(7, 7.5 * 27)
        assert fleet.max_admissions_per_window() <= _MAX_ADMISSIONS_PER_WINDOW


def test_load_below_the_limit_is_not_refused() -> None:
    for seed in range(5):
        fleet = _fleet(seed)
        fleet.run(20, 0.8 * _LIMIT.rate_per_s)
        assert fleet.refused_count == 0


def test_account_in_steady_overload_gets_its_rate() -> None:
    fleet = _fleet(1)
    fleet.run(20, 5 * _LIMIT.rate_per_s)
    admitted_count = sum(1 for t in fleet.admission_times if t >= 10)
    assert admitted_count >= 0.9 * 10 * _LIMIT.rate_per_s


def test_partitioned_hosts_do_not_exceed_the_limit() -> None:
    for seed in range(5):
        fleet = _fleet(seed)
        fleet.run(4, 27)
        fleet.partitioned_processes = set(sorted(fleet.quotas)[:2])
        fleet.run(8, 7.5 * 27)
        assert fleet.max_admissions_per_window() <= _MAX_ADMISSIONS_PER_WINDOW


def test_restart_of_all_hosts_does_not_grant_a_second_burst() -> None:
    for seed in range(5):
        fleet = _fleet(seed)
        fleet.run(4, 27)
        fleet.run(1.5, 5 * 27)
        for host in range(_HOST_COUNT):
            fleet.start(host)
        fleet.run(6, 5 * 27)
        assert fleet.max_admissions_per_window() <= _MAX_ADMISSIONS_PER_WINDOW


def test_lowered_limit_applies_at_once() -> None:
    quota = fleet_quota.FleetQuota()
    quota.set_limits({"a": _LIMIT}, 0.0)
    quota.set_limits({"a": fleet_quota.RateLimit(2, 2)}, 1.0)
    admitted_count = sum(quota.admit("a", 1.0, False) for _ in range(20))
    assert admitted_count <= 2


def test_account_with_zero_burst_gets_its_rate() -> None:
    quota = fleet_quota.FleetQuota()
    quota.set_limits({"a": fleet_quota.RateLimit(10, 0)}, 0.0)
    admitted_count = sum(quota.admit("a", 0.02 * n, False) for n in range(500))
    assert 0.9 * 100 <= admitted_count <= 100 + 1


def test_started_process_adopts_tokens_of_a_peer() -> None:
    quota = fleet_quota.FleetQuota()
    quota.set_limits({"a": _LIMIT}, 0.0)
    quota.adopt_tokens({"a": -3.0, "unknown": 9.0})
    assert not quota.admit("a", 0.0, False)
    assert 0.08 < quota.retry_after_s("a", 0.0) < 0.1


def test_reordered_reports_are_counted_once() -> None:
    quota = fleet_quota.FleetQuota()
    quota.set_limits({"a": fleet_quota.RateLimit(1, 100)}, 0.0)
    quota.adopt_tokens({"a": 100.0})
    quota.merge_report("p", {"a": 0}, 0.0)
    quota.merge_report("p", {"a": 20}, 0.1)
    quota.merge_report("p", {"a": 15}, 0.2)
    quota.merge_report("p", {"a": 20}, 0.3)
    assert 75 < quota.tokens(0.3)["a"] < 85
