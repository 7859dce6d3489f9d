"""What is served on the metrics address."""

from __future__ import annotations

import collections

from cassiahead_gateway import metrics as metrics_lib
from cassiahead_telemetry import exposition


def _values() -> dict[str, float]:
    """Returns what is served, by name and labels.

    Gateways of other tests in the same process are served beside.
    """
    values: dict[str, float] = collections.defaultdict(float)
    for line in exposition.prometheus_text().decode().splitlines():
        if not line.startswith("#"):
            series, _, value = line.rpartition(" ")
            values[series] += float(value)
    return values


def _gained(
    before: dict[str, float], after: dict[str, float], name: str, label: str
) -> float:
    """Returns by how much all series of a name and label have grown."""
    found = [s for s in after if s.startswith(f"{name}{{") and label in s]
    assert found, name
    return sum(after[series] - before.get(series, 0.0) for series in found)


def test_counters_and_latencies_are_served_under_their_names() -> None:
    before = _values()
    metrics = metrics_lib.Metrics()
    metrics.attempts.add("first")
    metrics.attempts.add("first")
    metrics.attempts.add("hedge")
    metrics.outcomes.add("good")
    metrics.exchanges.add("ok")
    metrics.reads.add("refused")
    metrics.requests.add(1, {"route": "board", "result": "200"})
    metrics.latency.record(0.05, {"route": "board"})
    after = _values()

    def gained(name: str, label: str) -> float:
        return _gained(before, after, name, label)

    attempts = "cassiahead_attempts_total"
    assert gained(attempts, 'cause="first"') == 2
    assert gained(attempts, 'cause="hedge"') == 1
    outcomes = "cassiahead_attempt_outcomes_total"
    assert gained(outcomes, 'outcome="good"') == 1
    assert gained("cassiahead_exchanges_total", 'result="ok"') == 1
    assert gained("cassiahead_reads_total", 'result="refused"') == 1
    assert gained("cassiahead_requests_total", 'result="200"') == 1
    fast = gained("cassiahead_request_seconds_bucket", 'le="0.06"')
    assert fast == 1
