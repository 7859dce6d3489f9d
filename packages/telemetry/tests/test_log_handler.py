"""The log handler never blocks and reports how many lines it left out."""

from __future__ import annotations

import json
import logging
import os

from cassiahead_telemetry import events
from cassiahead_telemetry import log_handler


def _record(text: str, *, is_ordinary: bool = False) -> logging.LogRecord:
    record = logging.LogRecord("t", logging.INFO, "", 0, text, (), None)
    record.ordinary = is_ordinary
    return record


def _handler(descriptor: int) -> log_handler.BoundedStreamHandler:
    handler = log_handler.BoundedStreamHandler(descriptor)
    handler.setFormatter(events.JsonFormatter())
    return handler


def _read_available(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    chunks = []
    while True:
        try:
            chunks.append(os.read(descriptor, 65536))
        except BlockingIOError:
            return b"".join(chunks)


def test_full_pipe_drops_lines_without_blocking() -> None:
    read_end, write_end = os.pipe()
    handler = _handler(write_end)
    for index in range(20_000):
        handler.emit(_record(f"line {index} {'x' * 100}"))
        if index % 100 == 0:
            handler.flush()
    assert handler.dropped_count > 0
    for _ in range(100):
        _read_available(read_end)
        handler.flush()
    handler.emit(_record("after"))
    handler.flush()
    last_lines = _read_available(read_end).splitlines()
    assert json.loads(last_lines[-1])["name"] == "after"
    assert handler.dropped_count == 0
    os.close(read_end)
    os.close(write_end)


def test_partial_writes_neither_cut_nor_repeat_lines() -> None:
    read_end, write_end = os.pipe()
    handler = _handler(write_end)
    output = b""
    for index in range(3000):
        handler.emit(_record(f"{index} {'y' * 50}"))
        handler.flush()
        if index % 500 == 0:
            output += _read_available(read_end)
    for _ in range(20):
        output += _read_available(read_end)
        handler.flush()
    lines = [json.loads(line) for line in output.splitlines()]
    indexes = [
        int(line["name"].split()[0]) for line in lines if "dropped" not in line
    ]
    assert indexes == sorted(set(indexes))
    dropped_count = sum(line.get("dropped", 0) for line in lines)
    assert len(indexes) + dropped_count == 3000
    os.close(read_end)
    os.close(write_end)


def test_only_ordinary_lines_are_sampled() -> None:
    read_end, write_end = os.pipe()
    handler = _handler(write_end)
    for _ in range(1000):
        handler.emit(_record("ordinary", is_ordinary=True))
    for _ in range(50):
        handler.emit(_record("failure"))
    handler.flush()
    lines = [
        json.loads(line) for line in _read_available(read_end).splitlines()
    ]
    event_names = [line["name"] for line in lines]
    assert event_names.count("failure") == 50
    written_count = event_names.count("ordinary")
    assert written_count < 1000
    assert lines[-1]["name"] == "LOG_LINES_LEFT_OUT"
    assert lines[-1]["sampled_out"] == 1000 - written_count
    os.close(read_end)
    os.close(write_end)
