"""Membership of the fleet, from heartbeats."""

from __future__ import annotations

from cassiahead_decisions import peer_table


def _peer(
    number: int, process_name: str, last_heartbeat_at: float
) -> peer_table.Peer:
    return peer_table.Peer(
        process_name, f"10.0.0.{number}:1", last_heartbeat_at
    )


def test_restarted_process_replaces_the_previous_one_at_its_address() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    assert table.record_heartbeat(_peer(1, "a", 0.0)) is None
    assert table.record_heartbeat(_peer(1, "a", 0.1)) is None
    assert table.record_heartbeat(_peer(1, "b", 0.2)) == "a"
    assert table.fleet_size() == 2


def test_unreachable_peers_count_in_the_fleet_size_until_forgotten() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    for number in range(3):
        table.record_heartbeat(_peer(number, f"p{number}", 0.0))
    table.record_heartbeat(_peer(0, "p0", 5.0))
    assert [p.process_name for p in table.reachable_peers(5.0)] == ["p0"]
    assert table.fleet_size() == 4
    table.forget_silent_peers(31.0)
    assert table.fleet_size() == 2


def test_process_that_reaches_at_most_half_of_the_fleet_is_isolated() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    assert not table.is_isolated(0.0)
    for number in range(3):
        table.record_heartbeat(_peer(number, f"p{number}", 0.0))
    assert not table.is_isolated(0.0)
    table.record_heartbeat(_peer(0, "p0", 5.0))
    assert table.is_isolated(5.0)
    table.record_heartbeat(_peer(1, "p1", 5.0))
    assert not table.is_isolated(5.0)


def test_leaving_peers_do_not_isolate_a_process() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    for number in range(3):
        peer = _peer(number, f"p{number}", 0.0)
        peer.is_leaving = True
        table.record_heartbeat(peer)
    assert not table.is_isolated(5.0)


def test_own_address_is_not_added_as_a_peer() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    table.add_address("10.0.0.9:1", 0.0)
    table.record_heartbeat(_peer(9, "own", 0.0))
    assert table.fleet_size() == 1
    assert table.addresses() == []
