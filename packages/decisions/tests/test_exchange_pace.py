"""Exchanges come at an interval and soon after homes have moved."""

from __future__ import annotations

import pytest

from cassiahead_decisions import exchange_pace


def test_without_moves_exchanges_keep_their_interval() -> None:
    pace = exchange_pace.ExchangePace()
    pace.exchanged("a", 10.0)
    pace.exchanged("a", 10.1)
    assert pace.due == pytest.approx(10.1 + exchange_pace.INTERVAL_S)
    assert not pace.follow("a")
    assert pace.due == pytest.approx(10.1 + exchange_pace.INTERVAL_S)


def test_a_move_brings_the_next_exchange_forward() -> None:
    pace = exchange_pace.ExchangePace()
    pace.exchanged("a", 10.0)
    pace.exchanged("a", 10.1)
    assert pace.follow("b")
    assert pace.due == pytest.approx(10.1 + exchange_pace.AFTER_CHANGE_S)


def test_homes_that_move_all_the_time_bound_the_exchanges() -> None:
    pace = exchange_pace.ExchangePace()
    now = 10.0
    exchanges = 0
    for step in range(1000):
        now += 0.01
        pace.follow(step)
        if now >= pace.due:
            pace.exchanged(step, now)
            exchanges += 1
    assert exchanges <= 10.0 / exchange_pace.AFTER_CHANGE_S + 1
