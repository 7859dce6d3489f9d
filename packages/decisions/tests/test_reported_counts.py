"""Reports of counts contain what the peer may lack, and little else."""

from __future__ import annotations

import random

from cassiahead_decisions import reported_counts


def _report(
    reported: reported_counts.ReportedCounts,
    numbers: reported_counts.ReportNumbers,
    counts: dict[str, int],
    is_full: bool = False,
) -> dict[str, int]:
    numbers.advance()
    return reported.lacking(counts, is_full)


def test_acknowledged_counts_are_left_out() -> None:
    numbers = reported_counts.ReportNumbers(100)
    reported = reported_counts.ReportedCounts(numbers)
    assert _report(reported, numbers, {"a": 1, "b": 2}) == {"a": 1, "b": 2}
    numbers.acknowledge(numbers.last)
    assert _report(reported, numbers, {"a": 1, "b": 2}) == {}
    assert _report(reported, numbers, {"a": 1, "b": 3}) == {"b": 3}


def test_change_is_repeated_until_a_report_with_it_is_acknowledged() -> None:
    numbers = reported_counts.ReportNumbers(0)
    reported = reported_counts.ReportedCounts(numbers)
    _report(reported, numbers, {"a": 1})
    first_number = numbers.last
    _report(reported, numbers, {"a": 2})
    second_number = numbers.last
    numbers.acknowledge(first_number)
    assert _report(reported, numbers, {"a": 2}) == {"a": 2}
    numbers.acknowledge(second_number)
    assert _report(reported, numbers, {"a": 2}) == {}


def test_full_report_has_all_counts() -> None:
    numbers = reported_counts.ReportNumbers(0)
    reported = reported_counts.ReportedCounts(numbers)
    _report(reported, numbers, {"a": 1})
    numbers.acknowledge(numbers.last)
    assert _report(reported, numbers, {"a": 1}, is_full=True) == {"a": 1}


def test_report_with_a_limit_leaves_the_rest_for_later() -> None:
    numbers = reported_counts.ReportNumbers(0)
    reported = reported_counts.ReportedCounts(numbers)
    counts = {f"a{number}": 1 for number in range(10)}
    told: list[str] = []
    for _ in range(4):
        numbers.advance()
        told += reported.lacking(counts, False, limit=3)
        numbers.acknowledge(numbers.last)
    assert sorted(told) == sorted(counts)


def test_names_without_a_count_are_forgotten() -> None:
    numbers = reported_counts.ReportNumbers(0)
    reported = reported_counts.ReportedCounts(numbers)
    for number in range(1000):
        _report(reported, numbers, {f"a{number}": 1})
    assert len(reported._changes) < 100


def test_acknowledgement_of_a_previous_process_is_ignored() -> None:
    numbers = reported_counts.ReportNumbers(1000)
    reported = reported_counts.ReportedCounts(numbers)
    _report(reported, numbers, {"a": 1})
    for number in (3, 1000, numbers.last + 1):
        numbers.acknowledge(number)
    assert _report(reported, numbers, {"a": 1}) == {"a": 1}


def test_peer_gets_each_change_over_links_that_lose_and_reorder() -> None:
    for seed in range(30):
        rng = random.Random(seed)
        numbers = reported_counts.ReportNumbers(rng.getrandbits(40))
        reported = reported_counts.ReportedCounts(numbers)
        counts = {f"a{n}": 0 for n in range(20)}
        known_counts = dict.fromkeys(counts, 0)
        in_transit: list[tuple[int, dict[str, int]]] = []
        applied_number = 0
        for step in range(300):
            if step < 250:
                counts[rng.choice(list(counts))] += 1
            report = _report(reported, numbers, counts)
            in_transit.append((numbers.last, report))
            rng.shuffle(in_transit)
            is_lossy = step < 280
            while in_transit and (not is_lossy or rng.random() < 0.6):
                number, reported_now = in_transit.pop()
                if is_lossy and rng.random() < 0.3:
                    continue
                for account, count in reported_now.items():
                    known_counts[account] = max(known_counts[account], count)
                applied_number = max(applied_number, number)
                if rng.random() < 0.7:
                    numbers.acknowledge(applied_number)
        assert known_counts == counts
