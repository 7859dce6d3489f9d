"""Exchanges come at an interval and soon after homes have moved."""

from __future__ import annotations

import pytest

from cassiahead_decisions import exchange_schedule


def test_without_moves_exchanges_keep_their_interval() -> None:
    pace = exchange_schedule.ExchangeSchedule()
    pace.record_exchange("a", 10.0)
    pace.record_exchange("a", 10.1)
    assert pace.next_due_at == pytest.approx(
        10.1 + exchange_schedule.EXCHANGE_INTERVAL_S
    )
    assert not pace.bring_forward_if_moved("a")
    assert pace.next_due_at == pytest.approx(
        10.1 + exchange_schedule.EXCHANGE_INTERVAL_S
    )


def test_a_move_brings_the_next_exchange_forward() -> None:
    pace = exchange_schedule.ExchangeSchedule()
    pace.record_exchange("a", 10.0)
    pace.record_exchange("a", 10.1)
    assert pace.bring_forward_if_moved("b")
    assert pace.next_due_at == pytest.approx(
        10.1 + exchange_schedule.INTERVAL_AFTER_CHANGE_S
    )


def test_homes_that_move_all_the_time_bound_the_exchanges() -> None:
    pace = exchange_schedule.ExchangeSchedule()
    now = 10.0
    exchanges = 0
    for step in range(1000):
        now += 0.01
        pace.bring_forward_if_moved(step)
        if now >= pace.next_due_at:
            pace.record_exchange(step, now)
            exchanges += 1
    assert exchanges <= 10.0 / exchange_schedule.INTERVAL_AFTER_CHANGE_S + 1
