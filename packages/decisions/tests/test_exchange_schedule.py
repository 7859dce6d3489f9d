"""Exchanges are due at an interval, and earlier after homes have moved."""

from __future__ import annotations

import pytest

from cassiahead_decisions import exchange_schedule


def test_exchanges_are_due_at_the_interval_without_moves() -> None:
    schedule = exchange_schedule.ExchangeSchedule()
    schedule.record_exchange("a", 10.0)
    schedule.record_exchange("a", 10.1)
    assert schedule.next_due_at == pytest.approx(
        10.1 + exchange_schedule.EXCHANGE_INTERVAL_S
    )
    assert not schedule.bring_forward_if_moved("a")
    assert schedule.next_due_at == pytest.approx(
        10.1 + exchange_schedule.EXCHANGE_INTERVAL_S
    )


def test_move_brings_the_next_exchange_forward() -> None:
    schedule = exchange_schedule.ExchangeSchedule()
    schedule.record_exchange("a", 10.0)
    schedule.record_exchange("a", 10.1)
    assert schedule.bring_forward_if_moved("b")
    assert schedule.next_due_at == pytest.approx(
        10.1 + exchange_schedule.INTERVAL_AFTER_CHANGE_S
    )


def test_exchanges_are_bounded_while_homes_move_all_the_time() -> None:
    schedule = exchange_schedule.ExchangeSchedule()
    now = 10.0
    exchange_count = 0
    for step in range(1000):
        now += 0.01
        schedule.bring_forward_if_moved(step)
        if now >= schedule.next_due_at:
            schedule.record_exchange(step, now)
            exchange_count += 1
    assert (
        exchange_count <= 10.0 / exchange_schedule.INTERVAL_AFTER_CHANGE_S + 1
    )
