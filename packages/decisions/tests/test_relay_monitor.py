"""A relay that does not respond in time is unresponsive until it responds."""

from __future__ import annotations

from cassiahead_decisions import relay_monitor

_RELAYS = ("r1", "r2")
_RESPONSE_TIMEOUT_S = 0.1


def _unresponsive_relays(
    monitor: relay_monitor.RelayMonitor, now: float
) -> list[str]:
    monitor.find_newly_unresponsive(_RELAYS, _RESPONSE_TIMEOUT_S, now)
    return [relay for relay in _RELAYS if monitor.is_unresponsive(relay)]


def test_relay_that_does_not_respond_is_unresponsive_until_it_does() -> None:
    monitor = relay_monitor.RelayMonitor()
    monitor.record_request("r1", 10.0)
    monitor.record_request("r2", 10.0)
    monitor.record_response("r2")
    assert _unresponsive_relays(monitor, 10.09) == []
    assert _unresponsive_relays(monitor, 10.11) == ["r1"]
    assert monitor.record_response("r1")
    assert _unresponsive_relays(monitor, 20.0) == []


def test_relay_is_reported_unresponsive_once() -> None:
    monitor = relay_monitor.RelayMonitor()
    monitor.record_request("r1", 0.0)
    assert monitor.find_newly_unresponsive(
        _RELAYS, _RESPONSE_TIMEOUT_S, 1.0
    ) == ["r1"]
    assert (
        monitor.find_newly_unresponsive(_RELAYS, _RESPONSE_TIMEOUT_S, 2.0) == []
    )


def test_later_requests_do_not_restart_the_timeout() -> None:
    monitor = relay_monitor.RelayMonitor()
    for step in range(20):
        monitor.record_request("r1", step / 100)
    assert _unresponsive_relays(monitor, 0.15) == ["r1"]


def test_relay_without_requests_is_not_unresponsive() -> None:
    monitor = relay_monitor.RelayMonitor()
    monitor.record_response("r1")
    assert _unresponsive_relays(monitor, 1000.0) == []


def test_response_timeout_has_a_minimum() -> None:
    monitor = relay_monitor.RelayMonitor()
    monitor.record_request("r1", 0.0)
    assert monitor.find_newly_unresponsive(_RELAYS, 0.001, 0.03) == []
