"""Choice of replicas: failures in a row, and the panic rule."""

from __future__ import annotations

import collections
import random

import pytest

from cassiahead_decisions import replicas
from cassiahead_notes import api
import virtual_shard

_TARGETS = ("a", "b", "c")


def _configuration() -> api.Configuration:
    return api.Configuration(
        failure_domains={"d": api.FailureDomain()},
        targets={t: api.Target("127.0.0.1:1", "d", 2, 25) for t in _TARGETS},
    )


def _choices(chooser: replicas.ReplicaChooser, now: float) -> list[str | None]:
    return [chooser.choose(_TARGETS, _configuration(), now) for _ in range(200)]


def test_persistently_bad_target_costs_few_attempts() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    attempts = 0
    for step in range(600):
        now = step / 10
        target = chooser.choose(_TARGETS, _configuration(), now)
        assert target is not None
        chooser.record_sent(target, now)
        if target == "a":
            attempts += 1
            chooser.record_failure(target, now)
        else:
            chooser.record_answer(target, 0.005, now)
    assert attempts <= 0.05 * 600


def test_panic_rule_suspects_the_observer() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    for target in ("a", "b"):
        chooser.record_failure(target, 10.0)
    assert {"a", "b"} <= set(_choices(chooser, 10.01))


def test_target_that_answers_again_is_chosen_again() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    for _ in range(5):
        chooser.record_failure("a", 10.0)
    assert "a" not in _choices(chooser, 10.1)
    chooser.record_answer("a", 0.005, 10.1)
    assert "a" in _choices(chooser, 10.2)


def test_replica_that_was_slow_once_gets_its_share_again() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    chooser.record_sent("a", 0.0)
    chooser.record_answer("a", 0.3, 0.0)
    asked: collections.Counter[str] = collections.Counter()
    for step in range(1, 400):
        now = step / 10
        target = chooser.choose(_TARGETS, _configuration(), now)
        assert target is not None
        chooser.record_sent(target, now)
        chooser.record_answer(target, 0.005, now)
        if now > 10:
            asked[target] += 1
    assert asked["a"] > 0.2 * asked.total()


def test_slow_replica_is_asked_rarely() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    asked = 0
    for step in range(600):
        now = step / 10
        target = chooser.choose(_TARGETS, _configuration(), now)
        assert target is not None
        chooser.record_sent(target, now)
        asked += target == "a"
        chooser.record_answer(target, 0.08 if target == "a" else 0.005, now)
    assert 0 < asked <= 0.05 * 600


def test_a_slow_replica_whose_answers_lose_to_hedges_is_asked_seldom() -> None:
    rng = random.Random(5)
    chooser = replicas.ReplicaChooser(
        "d", rng, 4.0, replicas.WeightedRandom(3.0)
    )
    domains = dict.fromkeys(("slow", "b", "c"), "d")
    asked = 0
    for number in range(600):
        now = number * 0.05
        target = chooser.choose_among(domains, now)
        assert target is not None
        chooser.record_sent(target, now)
        if target == "slow":
            # A hedge answers at 0.06 s; its own answer comes at 0.18 s.
            asked += 1
            chooser.record_inconclusive(target, now + 0.06)
            chooser.record_late_answer(target, 0.18, now + 0.18)
        else:
            chooser.record_answer(target, 0.016, now + 0.016)
    assert asked < 30


def _weighted(seed: int) -> replicas.ReplicaChooser:
    rng = random.Random(seed)
    return replicas.ReplicaChooser("d", rng, 4.0, replicas.WeightedRandom(3.0))


def test_one_good_replica_of_three_gets_nearly_all() -> None:
    chooser = _weighted(2)
    domains = dict.fromkeys(("bad1", "bad2", "good"), "d")
    counts = dict.fromkeys(domains, 0)
    for number in range(800):
        now = number * 0.05
        target = chooser.choose_among(domains, now)
        assert target is not None
        counts[target] += 1
        chooser.record_sent(target, now)
        latency = 0.016 if target == "good" else 0.18
        chooser.record_answer(target, latency, now + latency)
    assert counts["good"] > 0.85 * 800


def test_replicas_that_shed_are_asked_less_and_recover() -> None:
    chooser = _weighted(3)
    domains = dict.fromkeys(("shedding", "b", "c"), "d")
    counts = {True: 0, False: 0}
    for number in range(1200):
        now = number * 0.05
        is_bad = now < 30
        target = chooser.choose_among(domains, now)
        assert target is not None
        chooser.record_sent(target, now)
        if target == "shedding":
            counts[is_bad] += 1
        if target == "shedding" and is_bad and number % 5:
            chooser.record_bad_answer(target, now + 0.001)
        else:
            chooser.record_answer(target, 0.016, now + 0.016)
    assert counts[True] < 0.15 * 600
    assert counts[False] > 0.2 * 600


# Extra requests that the platform allows per first one.
_EXTRA_REQUESTS = 0.2
_WITH_FAULT_COST = replicas.WeightedRandom(8.0, fault_penalty_s=0.1)
_WITHOUT_FAULT_COST = replicas.WeightedRandom(8.0)


def _turned_away(policy: replicas.Policy, seed: int, shedding: str) -> float:
    """Returns how many requests are turned away for each search."""
    shard = virtual_shard.VirtualShard(policy, seed, frozenset(shedding), 0.6)
    outcome = shard.run(15.0)
    return outcome.turned_away / outcome.searches


@pytest.mark.parametrize("shedding", ["ab", "bc", "ac"])
@pytest.mark.parametrize("seed", range(3))
def test_idle_replicas_that_shed_do_not_use_up_the_extra_requests(
    seed: int, shedding: str
) -> None:
    assert _turned_away(_WITH_FAULT_COST, seed, shedding) < _EXTRA_REQUESTS


def test_check_finds_that_faults_cost_nothing() -> None:
    rates = [_turned_away(_WITHOUT_FAULT_COST, seed, "bc") for seed in range(3)]
    assert max(rates) > _EXTRA_REQUESTS


def test_a_silent_connection_is_not_blamed_on_its_target() -> None:
    chooser = _weighted(4)
    chooser.record_sent("a", 0.0)
    chooser.record_inconclusive("a", 0.1)
    chooser.record_sent("a", 0.1)
    chooser.record_answer("a", 0.02, 0.12)
    chooser.record_silence("a", 0.0, 0.4)
    assert not chooser.is_ejected("a", 0.5)
    chooser.record_sent("a", 1.0)
    chooser.record_inconclusive("a", 1.1)
    chooser.record_silence("a", 1.0, 1.4)
    assert chooser.is_ejected("a", 1.5)


def test_dead_replicas_of_a_shard_hold_up_few_searches() -> None:
    """All replicas of a shard fall silent under 25 searches a second.

    Each is given up after 0.1 s and found silent 0.3 s later, as the gateway
    does. While none may well answer, searches leave the shard out.
    """
    chooser = _weighted(5)
    domains = dict.fromkeys(("a", "b", "c"), "d")
    for number in range(20):
        chooser.record_sent(f"other{number}", 0.0)
        chooser.record_answer(f"other{number}", 0.01, 0.01)
    found: list[tuple[float, str, float]] = []
    held_up = 0
    for number in range(25 * 20):
        now = number / 25
        while found and found[0][0] <= now:
            at, target, asked_at = found.pop(0)
            chooser.record_silence(target, asked_at, at)
        if all(chooser.is_ejected(t, now) for t in domains):
            continue
        held_up += 1
        target = chooser.choose_among(domains, now)
        assert target is not None
        chooser.record_sent(target, now)
        chooser.record_inconclusive(target, now + 0.1)
        found.append((now + 0.4, target, now))
    # The first 0.4 s are not known to be lost: 10 searches. Then each target is
    # asked once after 1, 2, and 4 s, and again each 4.4 s.
    assert held_up <= 10 + 3 * (3 + 20 / 4.4)
