"""Reports of counts contain what the peer may lack, and little else."""

from __future__ import annotations

import random

from cassiahead_decisions import reported_counts


def test_acknowledged_counts_are_left_out() -> None:
    reported = reported_counts.ReportedCounts(100)
    report = reported.report({"a": 1, "b": 2}, False)
    assert report.counts == {"a": 1, "b": 2}
    reported.acknowledge(report.number)
    assert reported.report({"a": 1, "b": 2}, False).counts == {}
    assert reported.report({"a": 1, "b": 3}, False).counts == {"b": 3}


def test_change_is_repeated_until_a_report_with_it_is_acknowledged() -> None:
    reported = reported_counts.ReportedCounts(0)
    first = reported.report({"a": 1}, False)
    second = reported.report({"a": 2}, False)
    reported.acknowledge(first.number)
    assert reported.report({"a": 2}, False).counts == {"a": 2}
    reported.acknowledge(second.number)
    assert reported.report({"a": 2}, False).counts == {}


def test_full_report_has_all_counts() -> None:
    reported = reported_counts.ReportedCounts(0)
    reported.acknowledge(reported.report({"a": 1}, False).number)
    assert reported.report({"a": 1}, True).counts == {"a": 1}


def test_acknowledgement_of_a_previous_process_is_ignored() -> None:
    reported = reported_counts.ReportedCounts(1000)
    report = reported.report({"a": 1}, False)
    for number in (3, 1000, report.number + 1):
        reported.acknowledge(number)
    assert reported.report({"a": 1}, False).counts == {"a": 1}


def test_peer_gets_each_change_over_links_that_lose_and_reorder() -> None:
    for seed in range(30):
        rng = random.Random(seed)
        reported = reported_counts.ReportedCounts(rng.getrandbits(40))
        counts = {f"a{n}": 0 for n in range(20)}
        known_counts = dict.fromkeys(counts, 0)
        in_transit: list[reported_counts.CountReport] = []
        applied_number = 0
        for step in range(300):
            if step < 250:
                counts[rng.choice(list(counts))] += 1
            in_transit.append(reported.report(counts, False))
            rng.shuffle(in_transit)
            is_lossy = step < 280
            while in_transit and (not is_lossy or rng.random() < 0.6):
                report = in_transit.pop()
                if is_lossy and rng.random() < 0.3:
                    continue
                for account, count in report.counts.items():
                    known_counts[account] = max(known_counts[account], count)
                applied_number = max(applied_number, report.number)
                if rng.random() < 0.7:
                    reported.acknowledge(applied_number)
        assert known_counts == counts
