"""Overloaded shards get what they serve, and searches come in time."""

from __future__ import annotations

import random

from cassiahead_decisions import shard_admission

_STEP_S = 0.005
_WORK_S = 0.0165
_SLOTS = 2
_ALLOWED_S = 0.1


def _run(
    lost: dict[str, float], *, decides: bool, demand_per_s: float = 100.0
) -> tuple[int, int]:
    """Plays searches over shards of which some lack replicas.

    Args:
        lost: Part of the capacity that is left, by shard.
        decides: Whether overloaded shards are left out.
        demand_per_s: Searches a second.

    Returns:
        Searches asked, and those answered in time with one shard missing at
        the most.
    """
    rng = random.Random(7)
    shards = [f"s{number}" for number in range(10)]
    queue = dict.fromkeys(shards, 0.0)
    estimate = dict.fromkeys(shards, _WORK_S)
    asked = served = 0
    for _ in range(int(20 / _STEP_S)):
        for shard in shards:
            drained = _STEP_S * _SLOTS * lost.get(shard, 3.0)
            queue[shard] = max(0.0, queue[shard] - drained)
        if rng.random() >= demand_per_s * _STEP_S:
            continue
        asked += 1
        plan = shard_admission.Plan(frozenset(), True)
        if decides:
            plan = shard_admission.plan(estimate, _ALLOWED_S, 1, rng)
        if not plan.admitted:
            continue
        in_time = 0
        for shard in shards:
            if shard in plan.left_out:
                continue
            wait = queue[shard] / (_SLOTS * lost.get(shard, 3.0))
            # A full queue turns requests away.
            if wait > 0.15:
                continue
            queue[shard] += _WORK_S
            latency = wait + _WORK_S
            estimate[shard] += 0.2 * (latency - estimate[shard])
            in_time += latency <= _ALLOWED_S
        served += in_time >= 9
    return asked, served


def test_calm_shards_are_all_asked() -> None:
    rng = random.Random(1)
    expected = {f"s{n}": 0.05 for n in range(10)}
    for _ in range(100):
        found = shard_admission.plan(expected, 0.1, 1, rng)
        assert found == shard_admission.Plan(frozenset(), True)


def test_two_overloaded_shards_do_not_spoil_the_searches() -> None:
    # Each of two shards serves 0.75 of the demand; a search may lack one.
    lost = {"s1": 0.62, "s2": 0.62}
    asked, without = _run(lost, decides=False)
    _, served = _run(lost, decides=True)
    assert without < 0.5 * asked
    assert served > 0.85 * asked


def test_more_overloaded_shards_than_it_may_lack_refuse_searches() -> None:
    lost = {"s1": 0.5, "s2": 0.5, "s3": 0.5}
    asked, without = _run(lost, decides=False)
    _, served = _run(lost, decides=True)
    assert served > without
    assert served > 0.4 * asked


def test_the_slowest_shards_are_left_out() -> None:
    rng = random.Random(1)
    expected = {"a": 0.01, "b": 0.5, "c": 0.9}
    for _ in range(50):
        found = shard_admission.plan(expected, 0.1, 2, rng)
        assert found.admitted
        assert "a" not in found.left_out
