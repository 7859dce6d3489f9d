"""The budget for extra attempts."""

from __future__ import annotations

from cassiahead_decisions import hedging


def test_extra_attempts_stay_within_the_fraction() -> None:
    budget = hedging.ExtraLoadBudget(0.05)
    spent = 0
    for _ in range(1000):
        budget.record_first_attempts(10)
        while budget.try_spend():
            spent += 1
    assert spent <= 0.05 * 10_000 + budget.max_credit


def test_hedges_leave_credit_for_lost_answers() -> None:
    budget = hedging.ExtraLoadBudget(0.05)
    while budget.try_spend(is_required=False):
        pass
    assert sum(budget.try_spend(is_required=True) for _ in range(100)) == 10


def test_delay_follows_the_shard_and_overdue_follows_the_delay() -> None:
    window = hedging.LatencyWindow()
    for number in range(128):
        window.record(0.1 if number % 10 == 0 else 0.01)
    assert window.hedge_delay_s == 0.1
    assert window.overdue_delay_s > window.hedge_delay_s


def test_a_process_that_starts_has_credit_for_retries_only() -> None:
    budget = hedging.ExtraLoadBudget.at_start(0.2, 8.0)
    assert not budget.try_spend(is_required=False)
    assert sum(budget.try_spend() for _ in range(100)) == 4
