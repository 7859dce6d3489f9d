"""Merging parts, and when an answer is given."""

from __future__ import annotations

import random

import pytest

from cassiahead_decisions import gathering


def _record(number: int) -> bytes:
    return number.to_bytes(gathering.RECORD_BYTES, "big")


def test_the_greatest_records_of_all_parts_come_first() -> None:
    rng = random.Random(1)
    parts = [[rng.getrandbits(128) for _ in range(25)] for _ in range(10)]
    bodies = [b"".join(map(_record, part)) for part in parts]
    everything = sorted((n for part in parts for n in part), reverse=True)
    wanted = b"".join(map(_record, everything[:20]))
    assert gathering.merge(bodies, 20) == wanted


def test_equal_records_all_count_and_a_remainder_is_none() -> None:
    body = _record(5) + _record(5) + b"\xff" * 15
    assert gathering.merge([body, _record(5)], 4) == _record(5) * 3


@pytest.mark.parametrize(
    ("total", "share", "least"),
    [(10, 0.89, 9), (10, 0.75, 8), (100, 0.89, 89), (10, 0.0, 1), (3, 1.0, 3)],
)
def test_least_parts(total: int, share: float, least: int) -> None:
    assert gathering.required_parts(total, share) == least


@pytest.mark.parametrize(
    ("present", "lost", "late", "verdict"),
    [
        (10, 0, False, gathering.GatherDecision.ANSWER),
        (9, 0, False, gathering.GatherDecision.WAIT),
        (9, 0, True, gathering.GatherDecision.ANSWER),
        (9, 1, False, gathering.GatherDecision.ANSWER),
        (8, 0, True, gathering.GatherDecision.WAIT),
        (0, 2, False, gathering.GatherDecision.GIVE_UP),
        (8, 2, True, gathering.GatherDecision.GIVE_UP),
    ],
)
def test_verdicts(
    present: int, lost: int, late: bool, verdict: gathering.GatherDecision
) -> None:
    found = gathering.decide(
        total=10,
        present=present,
        lost=lost,
        required=9,
        past_soft_deadline=late,
    )
    assert found is verdict
