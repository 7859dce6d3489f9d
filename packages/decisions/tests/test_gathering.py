"""Gathering: merge of parts, and the decision to answer."""

from __future__ import annotations

import random

import pytest

from cassiahead_decisions import gathering


def _result(number: int) -> bytes:
    return number.to_bytes(gathering.RESULT_BYTES, "big")


def test_merge_returns_the_greatest_results_in_descending_order() -> None:
    rng = random.Random(1)
    parts = [[rng.getrandbits(128) for _ in range(25)] for _ in range(10)]
    bodies = [b"".join(map(_result, part)) for part in parts]
    descending = sorted((n for part in parts for n in part), reverse=True)
    expected = b"".join(map(_result, descending[:20]))
    assert gathering.merge(bodies, 20) == expected


def test_merge_keeps_duplicates_and_ignores_incomplete_results() -> None:
    body = _result(5) + _result(5) + b"\xff" * 15
    assert gathering.merge([body, _result(5)], 4) == _result(5) * 3


@pytest.mark.parametrize(
    ("total", "min_coverage", "required"),
    [(10, 0.89, 9), (10, 0.75, 8), (100, 0.89, 89), (10, 0.0, 1), (3, 1.0, 3)],
)
def test_required_parts_round_up_to_at_least_one(
    total: int, min_coverage: float, required: int
) -> None:
    assert gathering.required_part_count(total, min_coverage) == required


@pytest.mark.parametrize(
    ("present", "lost", "is_past_soft_deadline", "expected"),
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
def test_decision_depends_on_parts_and_soft_deadline(
    present: int,
    lost: int,
    is_past_soft_deadline: bool,
    expected: gathering.GatherDecision,
) -> None:
    decision = gathering.decide(
        total_count=10,
        present_count=present,
        lost_count=lost,
        required_count=9,
        is_past_soft_deadline=is_past_soft_deadline,
    )
    assert decision is expected
