"""A target in cold start gets no more than it bears from all hosts."""

from __future__ import annotations

from cassiahead_decisions import cold_start


def test_a_cold_target_gets_at_most_its_rate_over_the_fleet() -> None:
    names = [f"h{number}" for number in range(9)]
    guards = {n: cold_start.ColdStartLimiter(5.0, n) for n in names}
    asked = []
    for step in range(400):
        now = step * 0.01
        for name, guard in guards.items():
            others = [n for n in names if n != name]
            if guard.try_admit("t", others, now):
                asked.append(now)
    assert asked
    for start in asked:
        assert sum(1 for t in asked if start <= t < start + 1.0) <= 5


def test_a_lone_host_asks_a_cold_target() -> None:
    guard = cold_start.ColdStartLimiter(5.0, "h")
    assert guard.try_admit("t", [], 0.0)
    assert not guard.try_admit("t", [], 0.5)
    assert guard.try_admit("t", [], 1.2)
    guard.forget_target("t")
    assert guard.try_admit("t", [], 1.3)
