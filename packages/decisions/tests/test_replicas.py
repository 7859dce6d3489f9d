"""Choice of replicas: ejection, panic mode, latency and bad answers."""

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


def test_target_that_always_fails_gets_few_attempts() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    failure_count = 0
    for step in range(600):
        now = step / 10
        target = chooser.choose(_TARGETS, _configuration(), now)
        assert target is not None
        chooser.record_sent(target, now)
        if target == "a":
            failure_count += 1
            chooser.record_failure(target, now)
        else:
            chooser.record_answer(target, 0.005, now)
    assert failure_count <= 0.05 * 600


def test_panic_mode_ignores_ejections() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    for target in ("a", "b"):
        chooser.record_failure(target, 10.0)
    assert {"a", "b"} <= set(_choices(chooser, 10.01))


def test_good_answer_ends_the_ejection() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    for _ in range(5):
        chooser.record_failure("a", 10.0)
    assert "a" not in _choices(chooser, 10.1)
    chooser.record_answer("a", 0.005, 10.1)
    assert "a" in _choices(chooser, 10.2)


def test_replica_with_one_slow_answer_regains_its_share() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    chooser.record_sent("a", 0.0)
    chooser.record_answer("a", 0.3, 0.0)
    request_counts: collections.Counter[str] = collections.Counter()
    for step in range(1, 400):
        now = step / 10
        target = chooser.choose(_TARGETS, _configuration(), now)
        assert target is not None
        chooser.record_sent(target, now)
        chooser.record_answer(target, 0.005, now)
        if now > 10:
            request_counts[target] += 1
    assert request_counts["a"] > 0.2 * request_counts.total()


def test_slow_replica_gets_few_requests() -> None:
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    request_count = 0
    for step in range(600):
        now = step / 10
        target = chooser.choose(_TARGETS, _configuration(), now)
        assert target is not None
        chooser.record_sent(target, now)
        request_count += target == "a"
        chooser.record_answer(target, 0.08 if target == "a" else 0.005, now)
    assert 0 < request_count <= 0.05 * 600


def test_slow_replica_whose_answers_are_hedged_gets_few_requests() -> None:
    rng = random.Random(5)
    chooser = replicas.ReplicaChooser(
        "d", rng, 4.0, replicas.WeightedRandom(3.0)
    )
    domains = dict.fromkeys(("slow", "b", "c"), "d")
    request_count = 0
    for number in range(600):
        now = number * 0.05
        target = chooser.choose_among(domains, now)
        assert target is not None
        chooser.record_sent(target, now)
        if target == "slow":
            # The hedge's answer comes at 0.06 s, the slow replica's at 0.18 s.
            request_count += 1
            chooser.record_inconclusive(target, now + 0.06)
            chooser.record_late_answer(target, 0.18, now + 0.18)
        else:
            chooser.record_answer(target, 0.016, now + 0.016)
    assert request_count < 30


def _chooser_with_random_weights(seed: int) -> replicas.ReplicaChooser:
    rng = random.Random(seed)
    return replicas.ReplicaChooser("d", rng, 4.0, replicas.WeightedRandom(3.0))


def test_only_fast_replica_of_three_gets_most_requests() -> None:
    chooser = _chooser_with_random_weights(2)
    domains = dict.fromkeys(("bad1", "bad2", "good"), "d")
    counts = dict.fromkeys(domains, 0)
    for number in range(800):
        now = number * 0.05
        target = chooser.choose_among(domains, now)
        assert target is not None
        counts[target] += 1
        chooser.record_sent(target, now)
        latency_s = 0.016 if target == "good" else 0.18
        chooser.record_answer(target, latency_s, now + latency_s)
    assert counts["good"] > 0.85 * 800


def test_shedding_replica_gets_fewer_requests_until_it_recovers() -> None:
    chooser = _chooser_with_random_weights(3)
    domains = dict.fromkeys(("shedding", "b", "c"), "d")
    request_counts_by_is_shedding = {True: 0, False: 0}
    for number in range(1200):
        now = number * 0.05
        is_shedding = now < 30
        target = chooser.choose_among(domains, now)
        assert target is not None
        chooser.record_sent(target, now)
        if target == "shedding":
            request_counts_by_is_shedding[is_shedding] += 1
        if target == "shedding" and is_shedding and number % 5:
            chooser.record_bad_answer(target, now + 0.001)
        else:
            chooser.record_answer(target, 0.016, now + 0.016)
    assert request_counts_by_is_shedding[True] < 0.15 * 600
    assert request_counts_by_is_shedding[False] > 0.2 * 600


# Extra requests that the platform allows per first attempt.
_MAX_EXTRA_REQUEST_RATIO = 0.2
_WITH_BAD_ANSWER_PENALTY = replicas.WeightedRandom(
    8.0, bad_answer_penalty_s=0.1
)
_WITHOUT_BAD_ANSWER_PENALTY = replicas.WeightedRandom(8.0)


def _shed_requests_per_search(
    policy: replicas.Policy, seed: int, shedding: str
) -> float:
    shard = virtual_shard.VirtualShard(policy, seed, frozenset(shedding), 0.6)
    outcome = shard.run(15.0)
    return outcome.shed_count / outcome.search_count


@pytest.mark.parametrize("shedding", ["ab", "bc", "ac"])
@pytest.mark.parametrize("seed", range(3))
def test_shedding_idle_replicas_cost_few_extra_requests(
    seed: int, shedding: str
) -> None:
    assert (
        _shed_requests_per_search(_WITH_BAD_ANSWER_PENALTY, seed, shedding)
        < _MAX_EXTRA_REQUEST_RATIO
    )


def test_bound_on_extra_requests_needs_the_bad_answer_penalty() -> None:
    shed_requests_per_search = [
        _shed_requests_per_search(_WITHOUT_BAD_ANSWER_PENALTY, seed, "bc")
        for seed in range(3)
    ]
    assert max(shed_requests_per_search) > _MAX_EXTRA_REQUEST_RATIO


def test_silent_connection_does_not_eject_an_answering_target() -> None:
    chooser = _chooser_with_random_weights(4)
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


def test_shard_of_silent_replicas_delays_few_searches() -> None:
    """Searches skip a shard whose replicas are all ejected.

    All replicas of a shard stop answering at 25 searches a second. As in the
    gateway, each request is abandoned after 0.1 s, and its connection is
    reported silent 0.3 s later.
    """
    chooser = _chooser_with_random_weights(5)
    domains = dict.fromkeys(("a", "b", "c"), "d")
    # Further targets that answer keep the ejected fraction below the threshold
    # of panic mode.
    for number in range(20):
        chooser.record_sent(f"other{number}", 0.0)
        chooser.record_answer(f"other{number}", 0.01, 0.01)
    silent_requests: list[tuple[float, str, float]] = []
    delayed_count = 0
    for number in range(25 * 20):
        now = number / 25
        while silent_requests and silent_requests[0][0] <= now:
            silent_at, target, sent_at = silent_requests.pop(0)
            chooser.record_silence(target, sent_at, silent_at)
        if all(chooser.is_ejected(t, now) for t in domains):
            continue
        delayed_count += 1
        target = chooser.choose_among(domains, now)
        assert target is not None
        chooser.record_sent(target, now)
        chooser.record_inconclusive(target, now + 0.1)
        silent_requests.append((now + 0.4, target, now))
    # No request is known to be lost in the first 0.4 s: 10 searches. Then each
    # target gets a request after 1, 2 and 4 s, and every 4.4 s after that.
    assert delayed_count <= 10 + 3 * (3 + 20 / 4.4)
