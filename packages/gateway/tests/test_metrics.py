"""What is served on the metrics address."""

from __future__ import annotations

import re

from cassiahead_gateway import metrics as metrics_lib
from cassiahead_telemetry import exposition


def _value(text: str, name: str, label: str) -> float:
    [line] = [
        line
        for line in text.splitlines()
        if line.startswith(f"{name}{{") and label in line
    ]
    return float(re.split(r"\s+", line)[-1])


def test_counters_and_latencies_are_served_under_their_names() -> None:
    metrics = metrics_lib.Metrics()
    metrics.attempts.add("first")
    metrics.attempts.add("first")
    metrics.attempts.add("hedge")
    metrics.outcomes.add("good")
    metrics.exchanges.add("ok")
    metrics.reads.add("refused")
    metrics.requests.add(1, {"route": "board", "result": "200"})
    metrics.latency.record(0.05, {"route": "board"})
    text = exposition.prometheus_text().decode()
    attempts = "cassiahead_attempts_total"
    assert _value(text, attempts, 'cause="first"') == 2
    assert _value(text, attempts, 'cause="hedge"') == 1
    outcomes = "cassiahead_attempt_outcomes_total"
    assert _value(text, outcomes, 'outcome="good"') == 1
    assert _value(text, "cassiahead_exchanges_total", 'result="ok"') == 1
    assert _value(text, "cassiahead_reads_total", 'result="refused"') == 1
    assert _value(text, "cassiahead_requests_total", 'result="200"') == 1
    fast = _value(text, "cassiahead_request_seconds_bucket", 'le="0.06"')
    assert fast == 1
