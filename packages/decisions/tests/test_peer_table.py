"""The fleet as one process hears it."""

from __future__ import annotations

from cassiahead_decisions import peer_table


def _peer(number: int, process: str, heard_at: float) -> peer_table.Peer:
    return peer_table.Peer(process, f"10.0.0.{number}:1", heard_at)


def test_a_new_start_replaces_the_process_at_its_address() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    assert table.record_heartbeat(_peer(1, "a", 0.0)) is None
    assert table.record_heartbeat(_peer(1, "a", 0.1)) is None
    assert table.record_heartbeat(_peer(1, "b", 0.2)) == "a"
    assert table.fleet_size() == 2


def test_peers_out_of_hearing_still_count_in_the_size() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    for number in range(3):
        table.record_heartbeat(_peer(number, f"p{number}", 0.0))
    table.record_heartbeat(_peer(0, "p0", 5.0))
    assert [p.process for p in table.reachable_peers(5.0)] == ["p0"]
    assert table.fleet_size() == 4
    table.forget_silent_peers(31.0)
    assert table.fleet_size() == 2


def test_a_process_is_isolated_that_hears_at_most_half_of_the_fleet() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    assert not table.is_isolated(0.0)
    for number in range(3):
        table.record_heartbeat(_peer(number, f"p{number}", 0.0))
    assert not table.is_isolated(0.0)
    table.record_heartbeat(_peer(0, "p0", 5.0))
    assert table.is_isolated(5.0)
    table.record_heartbeat(_peer(1, "p1", 5.0))
    assert not table.is_isolated(5.0)


def test_processes_that_leave_do_not_isolate_the_rest() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    for number in range(3):
        peer = _peer(number, f"p{number}", 0.0)
        peer.leaving = True
        table.record_heartbeat(peer)
    assert not table.is_isolated(5.0)


def test_its_own_address_is_no_peer() -> None:
    table = peer_table.PeerTable("own", "10.0.0.9:1")
    table.add_address("10.0.0.9:1", 0.0)
    table.record_heartbeat(_peer(9, "own", 0.0))
    assert table.fleet_size() == 1
    assert table.addresses() == []
