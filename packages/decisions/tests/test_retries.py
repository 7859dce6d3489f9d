"""Retries: charges, bounds, and full coverage while replicas refuse."""

from __future__ import annotations

import random

import pytest

from cassiahead_decisions import hedging
from cassiahead_decisions import replicas
from cassiahead_decisions import retries
from cassiahead_notes import api as notes
from cassiahead_protocol import api

_SHARD_COUNT = 4
_SEARCHES_PER_S = 4


def _failure(
    status: api.SubStatus, outcome: api.Outcome = api.Outcome.UNKNOWN
) -> api.SubAnswer:
    return api.SubAnswer("s", "t", status, outcome)


def test_sub_request_shed_by_a_full_queue_is_not_retried() -> None:
    failure = _failure(api.SubStatus.SHED, api.Outcome.NOT_RUN)
    assert (
        retries.decide_retry(failure, 1, has_healthy_replica=True)
        is retries.RetryDecision.NEVER
    )


def test_retry_without_a_healthy_replica_is_charged() -> None:
    failure = _failure(api.SubStatus.SHED)
    assert (
        retries.decide_retry(failure, 1, has_healthy_replica=False)
        is retries.RetryDecision.CHARGED
    )


@pytest.mark.parametrize("status", list(api.SubStatus))
def test_attempts_are_bounded_for_every_status(status: api.SubStatus) -> None:
    decision = retries.decide_retry(
        _failure(status), 12, has_healthy_replica=True
    )
    assert decision is retries.RetryDecision.NEVER


@pytest.mark.parametrize("seed", range(20))
def test_one_refusing_replica_per_shard_costs_no_coverage(
    seed: int,
) -> None:
    entry = _Entry(random.Random(seed))
    for step in range(60 * _SEARCHES_PER_S):
        now = 10 + step / _SEARCHES_PER_S
        for shard in range(_SHARD_COUNT):
            assert entry.search_shard(shard, now), (
                f"shard {shard} lost at {now}"
            )


class _Entry:
    """Retry decisions of one entry; the first replica of each shard refuses.

    The budget for extra load starts without credit.
    """

    def __init__(self, rng: random.Random) -> None:
        self._chooser = replicas.ReplicaChooser("d", rng)
        self._budget = hedging.ExtraLoadBudget(0.05)
        while self._budget.try_spend():
            pass
        targets = [f"s{s}r{r}" for s in range(_SHARD_COUNT) for r in range(3)]
        self._configuration = notes.Configuration(
            failure_domains={"d": notes.FailureDomain()},
            targets={
                t: notes.Target("127.0.0.1:1", "d", 2, 25) for t in targets
            },
        )
        for target in targets:
            self._chooser.record_answer(target, 0.005, 9.0)

    def search_shard(self, shard: int, now: float) -> bool:
        self._budget.record_first_attempts(1)
        tried: list[str] = []
        while True:
            untried = [
                target
                for target in (f"s{shard}r{r}" for r in range(3))
                if target not in tried
            ]
            target = self._chooser.choose(untried, self._configuration, now)
            assert target is not None
            tried.append(target)
            self._chooser.record_sent(target, now)
            if not target.endswith("r0"):
                self._chooser.record_answer(target, 0.005, now)
                return True
            self._chooser.record_failure(target, now)
            untried.remove(target)
            decision = retries.decide_retry(
                _failure(api.SubStatus.SHED),
                len(tried),
                has_healthy_replica=any(
                    not self._chooser.is_ejected(t, now) for t in untried
                ),
            )
            if (
                decision is retries.RetryDecision.CHARGED
                and not self._budget.try_spend()
            ):
                return False
            if decision is retries.RetryDecision.NEVER:
                return False
