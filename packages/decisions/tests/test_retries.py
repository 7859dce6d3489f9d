"""Retries: what they cost, and that refusals cost no coverage."""

from __future__ import annotations

import random

import pytest

from cassiahead_decisions import hedging
from cassiahead_decisions import replicas
from cassiahead_decisions import retries
from cassiahead_notes import api as notes
from cassiahead_protocol import api

_SHARDS = 4
_QUERIES_PER_S = 4


def _failure(
    status: api.SubStatus, outcome: api.Outcome = api.Outcome.UNKNOWN
) -> api.SubAnswer:
    return api.SubAnswer("s", "t", status, outcome)


def test_full_queue_is_never_tried_again() -> None:
    failure = _failure(api.SubStatus.SHED, api.Outcome.NOT_RUN)
    assert (
        retries.decide_retry(failure, 1, has_healthy_replica=True)
        is retries.RetryDecision.NEVER
    )


def test_refusal_is_charged_when_every_other_replica_is_bad_too() -> None:
    failure = _failure(api.SubStatus.SHED)
    assert (
        retries.decide_retry(failure, 1, has_healthy_replica=False)
        is retries.RetryDecision.CHARGED
    )


@pytest.mark.parametrize("status", list(api.SubStatus))
def test_attempts_are_bounded_whatever_fails(status: api.SubStatus) -> None:
    verdict = retries.decide_retry(
        _failure(status), 12, has_healthy_replica=True
    )
    assert verdict is retries.RetryDecision.NEVER


@pytest.mark.parametrize("seed", range(20))
def test_a_third_of_replicas_refusing_at_once_costs_no_coverage(
    seed: int,
) -> None:
    entry = _Entry(random.Random(seed))
    for step in range(60 * _QUERIES_PER_S):
        now = 10 + step / _QUERIES_PER_S
        for shard in range(_SHARDS):
            assert entry.ask(shard, now), f"shard {shard} lost at {now}"


class _Entry:
    """One entry's decisions on shards whose first replica always refuses."""

    def __init__(self, rng: random.Random) -> None:
        self._chooser = replicas.ReplicaChooser("d", rng)
        self._budget = hedging.ExtraLoadBudget(0.05)
        while self._budget.try_spend():
            pass
        targets = [f"s{s}r{r}" for s in range(_SHARDS) for r in range(3)]
        self._configuration = notes.Configuration(
            failure_domains={"d": notes.FailureDomain()},
            targets={
                t: notes.Target("127.0.0.1:1", "d", 2, 25) for t in targets
            },
        )
        for target in targets:
            self._chooser.record_answer(target, 0.005, 9.0)

    def ask(self, shard: int, now: float) -> bool:
        self._budget.record_first_attempts(1)
        tried: list[str] = []
        while True:
            left = [
                target
                for target in (f"s{shard}r{r}" for r in range(3))
                if target not in tried
            ]
            target = self._chooser.choose(left, self._configuration, now)
            assert target is not None
            tried.append(target)
            self._chooser.record_sent(target, now)
            if not target.endswith("r0"):
                self._chooser.record_answer(target, 0.005, now)
                return True
            self._chooser.record_failure(target, now)
            left.remove(target)
            verdict = retries.decide_retry(
                _failure(api.SubStatus.SHED),
                len(tried),
                has_healthy_replica=any(
                    not self._chooser.is_ejected(t, now) for t in left
                ),
            )
            if (
                verdict is retries.RetryDecision.CHARGED
                and not self._budget.try_spend()
            ):
                return False
            if verdict is retries.RetryDecision.NEVER:
                return False
