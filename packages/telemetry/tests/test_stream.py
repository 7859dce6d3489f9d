"""The log stream never blocks and tells what it left out."""

from __future__ import annotations

import json
import logging
import os

from cassiahead_telemetry import events
from cassiahead_telemetry import log_handler


def _record(text: str, *, ordinary: bool = False) -> logging.LogRecord:
    record = logging.LogRecord("t", logging.INFO, "", 0, text, (), None)
    record.ordinary = ordinary
    return record


def _handler(descriptor: int) -> log_handler.BoundedStreamHandler:
    handler = log_handler.BoundedStreamHandler(descriptor)
    handler.setFormatter(events.JsonFormatter())
    return handler


def _read_all(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    pieces = []
    while True:
        try:
            pieces.append(os.read(descriptor, 65536))
        except BlockingIOError:
            return b"".join(pieces)


def test_a_pipe_that_nobody_reads_does_not_block() -> None:
    reading, writing = os.pipe()
    handler = _handler(writing)
    for number in range(20_000):
        handler.emit(_record(f"line {number} {'x' * 100}"))
        if number % 100 == 0:
            handler.flush()
    assert handler.dropped > 0
    for _ in range(100):
        _read_all(reading)
        handler.flush()
    handler.emit(_record("after"))
    handler.flush()
    last = _read_all(reading).splitlines()
    assert json.loads(last[-1])["name"] == "after"
    assert handler.dropped == 0
    os.close(reading)
    os.close(writing)


def test_no_line_is_cut_or_doubled() -> None:
    reading, writing = os.pipe()
    handler = _handler(writing)
    got = b""
    for number in range(3000):
        handler.emit(_record(f"{number} {'y' * 50}"))
        handler.flush()
        if number % 500 == 0:
            got += _read_all(reading)
    for _ in range(20):
        got += _read_all(reading)
        handler.flush()
    lines = [json.loads(line) for line in got.splitlines()]
    numbers = [
        int(line["name"].split()[0]) for line in lines if "dropped" not in line
    ]
    assert numbers == sorted(set(numbers))
    left_out = sum(line.get("dropped", 0) for line in lines)
    assert len(numbers) + left_out == 3000
    os.close(reading)
    os.close(writing)


def test_ordinary_lines_are_sampled_and_failures_are_not() -> None:
    reading, writing = os.pipe()
    handler = _handler(writing)
    for _ in range(1000):
        handler.emit(_record("ordinary", ordinary=True))
    for _ in range(50):
        handler.emit(_record("failure"))
    handler.flush()
    lines = [json.loads(line) for line in _read_all(reading).splitlines()]
    names = [line["name"] for line in lines]
    assert names.count("failure") == 50
    sampled = names.count("ordinary")
    assert sampled < 1000
    assert lines[-1]["name"] == "LOG_LINES_LEFT_OUT"
    assert lines[-1]["sampled_out"] == 1000 - sampled
    os.close(reading)
    os.close(writing)
