"""Quiet relays: found by requests in vain, cleared by any word."""

from __future__ import annotations

from cassiahead_decisions import relay_monitor

_RELAYS = ("r1", "r2")
_PATIENCE_S = 0.1


def _quiet(watch: relay_monitor.RelayMonitor, now: float) -> list[str]:
    watch.find_newly_quiet(_RELAYS, _PATIENCE_S, now)
    return [relay for relay in _RELAYS if watch.is_quiet(relay)]


def test_relay_asked_in_vain_is_quiet_until_heard() -> None:
    watch = relay_monitor.RelayMonitor()
    watch.record_request("r1", 10.0)
    watch.record_request("r2", 10.0)
    watch.record_response("r2")
    assert _quiet(watch, 10.09) == []
    assert _quiet(watch, 10.11) == ["r1"]
    assert watch.record_response("r1")
    assert _quiet(watch, 20.0) == []


def test_relay_is_reported_quiet_once() -> None:
    watch = relay_monitor.RelayMonitor()
    watch.record_request("r1", 0.0)
    assert watch.find_newly_quiet(_RELAYS, _PATIENCE_S, 1.0) == ["r1"]
    assert watch.find_newly_quiet(_RELAYS, _PATIENCE_S, 2.0) == []


def test_later_requests_do_not_put_off_the_verdict() -> None:
    watch = relay_monitor.RelayMonitor()
    for step in range(20):
        watch.record_request("r1", step / 100)
    assert _quiet(watch, 0.15) == ["r1"]


def test_relay_that_nobody_asked_is_not_quiet() -> None:
    watch = relay_monitor.RelayMonitor()
    watch.record_response("r1")
    assert _quiet(watch, 1000.0) == []


def test_short_patience_is_not_taken_at_its_word() -> None:
    watch = relay_monitor.RelayMonitor()
    watch.record_request("r1", 0.0)
    assert watch.find_newly_quiet(_RELAYS, 0.001, 0.03) == []
