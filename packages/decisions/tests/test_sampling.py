"""An account far over its rate: its tokens go to callers never refused."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs
import pytest

from cassiahead_decisions import fleet_quota
from cassiahead_decisions import poison
from cassiahead_decisions import sampling

_HOSTS = 8
_RUN_S = 25.0
_REPORT_EVERY_S = 0.25
# A third of the time that callers of the slower routes wait.
_BACK_AFTER_S = 0.4
_LIMIT = fleet_quota.RateLimit(rate_per_s=30, burst=30)
# Of what is admitted under lasting excess, the part that goes to callers that
# were never refused, and the part of the rate that sampling may leave unused.
_LEAST_AT_ONCE = 2 / 3
_MOST_UNUSED = 0.05


@attrs.frozen
class _Call:
    fingerprint: str
    again: bool


@attrs.define
class _Outcome:
    at_once: int = 0
    after_refusal: int = 0
    refused: int = 0


def _play(seed: int, offered_per_s: float, sampled: bool) -> _Outcome:
    """Offers an account's requests to all hosts; the refused come back once."""
    rng = random.Random(seed)
    quotas = [fleet_quota.FleetQuota() for _ in range(_HOSTS)]
    for quota in quotas:
        quota.set_limits({"a": _LIMIT}, 0.0)
    outcome = _Outcome()
    due: list[tuple[float, int, _Call | None]] = []
    numbers = itertools.count()

    def plan(time: float, call: _Call | None) -> None:
        heapq.heappush(due, (time, next(numbers), call))

    time = 0.0
    while time < _RUN_S:
        time += rng.expovariate(offered_per_s)
        digest = poison.fingerprint("a", "r", str(rng.random()))
        plan(time, _Call(digest, again=False))
    for step in range(int(_RUN_S / _REPORT_EVERY_S)):
        plan(step * _REPORT_EVERY_S, None)
    while due:
        now, _, call = heapq.heappop(due)
        if call is None:
            _report(quotas, now)
            continue
        place = sampling.SamplePoint(0.0, 0.0)
        if sampled:
            place = sampling.SamplePoint.from_fingerprint(call.fingerprint, now)
        if rng.choice(quotas).admit("a", now, False, place):
            if call.again:
                outcome.after_refusal += 1
            else:
                outcome.at_once += 1
        elif call.again:
            outcome.refused += 1
        else:
            plan(now + _BACK_AFTER_S, attrs.evolve(call, again=True))
    return outcome


def _report(quotas: list[fleet_quota.FleetQuota], now: float) -> None:
    for number, quota in enumerate(quotas):
        counts = quota.report(now, include_idle=True)
        for other in quotas:
            if other is not quota:
                other.merge_report(
                    f"h{number}", counts, now, started_later=True
                )


@pytest.mark.parametrize("excess", [2.4, 4.0, 7.5])
@pytest.mark.parametrize("seed", range(3))
def test_tokens_go_to_callers_that_were_never_refused(
    seed: int, excess: float
) -> None:
    outcome = _play(seed, excess * _LIMIT.rate_per_s, sampled=True)
    admitted = outcome.at_once + outcome.after_refusal
    assert outcome.at_once >= _LEAST_AT_ONCE * admitted
    assert admitted >= (1 - _MOST_UNUSED) * _LIMIT.rate_per_s * _RUN_S


def test_check_finds_that_nothing_is_sampled() -> None:
    outcome = _play(0, 4.0 * _LIMIT.rate_per_s, sampled=False)
    admitted = outcome.at_once + outcome.after_refusal
    assert outcome.at_once < _LEAST_AT_ONCE * admitted


@pytest.mark.parametrize("seed", range(3))
def test_an_account_inside_its_rate_is_not_sampled(seed: int) -> None:
    outcome = _play(seed, 0.8 * _LIMIT.rate_per_s, sampled=True)
    assert outcome.after_refusal == 0
    assert outcome.refused == 0


def test_when_the_excess_ends_a_full_bucket_admits_all() -> None:
    sample = sampling.Sampler()
    last = sampling.SamplePoint(0.99, 1.0)
    taken = [sample.admits(last, 0.0, now=0.1 * step) for step in range(20)]
    assert taken[0]
    assert not taken[-1]
    assert sample.admits(last, 0.9, now=2.1)


def test_a_request_has_one_place_at_all_hosts_until_the_next_draw() -> None:
    digest = poison.fingerprint("a", "r", "q")
    first = sampling.SamplePoint.from_fingerprint(digest, 1002.0)
    again = sampling.SamplePoint.from_fingerprint(digest, 1009.5)
    other = sampling.SamplePoint.from_fingerprint(digest, 1010.5)
    assert first.position == again.position
    assert abs(other.position - first.position) > 0.3
    assert first.next_draw_in_s == pytest.approx(8.0)
    assert again.next_draw_in_s == pytest.approx(0.5)


def test_a_request_left_out_is_told_when_the_sample_changes() -> None:
    quota = fleet_quota.FleetQuota()
    quota.set_limits({"a": _LIMIT}, 0.0)
    quota.adopt_tokens({"a": 0.0})
    first = sampling.SamplePoint(0.1, 7.0)
    last = sampling.SamplePoint(0.99, 7.0)
    for step in range(40):
        quota.admit("a", 0.025 * step, False, first)
    assert not quota.is_sampled_out("a", 1.0, first)
    assert quota.retry_after_s("a", 1.0, first) < 0.1
    assert quota.is_sampled_out("a", 1.0, last)
    assert not quota.admit("a", 1.0, False, last)
    assert quota.retry_after_s("a", 1.0, last) == 7.0
