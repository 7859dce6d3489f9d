"""Which requests a draining process still takes."""

from __future__ import annotations

import math
import random

from cassiahead_decisions import drain_schedule


def test_requests_are_taken_while_the_balancer_may_send_callers() -> None:
    schedule = drain_schedule.DrainSchedule.from_signal(100.0, 6.0)
    assert schedule.stop_listening_at == 103.0
    assert schedule.accepts(math.inf, 103.2)
    assert not schedule.accepts(math.inf, 103.3)


def test_late_request_is_taken_if_it_ends_in_time() -> None:
    schedule = drain_schedule.DrainSchedule.from_signal(100.0, 6.0)
    assert schedule.accepts(105.4, 104.2)
    assert not schedule.accepts(105.6, 104.2)


def test_times_of_any_grace_period_are_in_order() -> None:
    rng = random.Random(7)
    for _ in range(200):
        grace_s = rng.uniform(0.1, 30.0)
        schedule = drain_schedule.DrainSchedule.from_signal(50.0, grace_s)
        assert (
            50.0
            < schedule.stop_listening_at
            <= schedule.accept_all_until
            <= schedule.answer_all_at
            < schedule.close_all_at
            < schedule.kill_at
        )
        assert schedule.close_idle_at <= schedule.answer_all_at
