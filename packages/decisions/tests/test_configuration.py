"""An accepted configuration is in force within seconds and never reverts."""

from __future__ import annotations

import os
import random

import pytest

from cassiahead_decisions import membership
from cassiahead_decisions import note_log as book_lib
from cassiahead_decisions import peering as peering_lib
from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import ledger
from cassiahead_protocol import api as protocol
import virtual_fleet

_SEEDS = range(int(os.environ.get("CASSIAHEAD_SEEDS", "12")))
_RUN_S = 90.0
_BOUND_S = 15.0
_DAEMONS = 8


@pytest.mark.parametrize("seed", _SEEDS)
def test_histories_agree_and_never_revert(seed: int) -> None:
    fleet = run_with_faults(seed)
    _check_monotonic(fleet)
    _check_one_verdict(fleet)
    _check_in_force(fleet)


def test_check_finds_a_book_that_follows_stale_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def follow(self, records):  # noqa: ANN001, ANN202
        self._ledger = ledger.Ledger()
        verdicts = []
        for record in sorted(records, key=lambda r: r.revision):
            self._ledger, verdict = self._ledger.apply_record(record)
            verdicts.append(verdict)
        self._configuration = None
        return verdicts

    monkeypatch.setattr(book_lib.NoteLog, "ingest", follow)
    with pytest.raises(AssertionError):
        for seed in _SEEDS:
            _check_monotonic(run_with_faults(seed, regress=True))


def test_age_of_a_peer_vouches_only_for_notes_that_it_passes_on() -> None:
    ahead = _peering("10.0.0.1:1")
    base = ledger.Ledger(number=5, head="five", revision=5)
    assert ahead.note_log.adopt_base(base)
    ahead.record_service_read(100.0)
    behind = _peering("10.0.0.2:1")
    configuration = api.Configuration()
    request = behind.build_request("10.0.0.1:1", configuration, 100.0)
    reply = ahead.handle_request(request, configuration, 100.0)
    behind.handle_reply(reply, 100.0, 100.1)
    assert reply.records == ()
    assert behind.freshness.age_s(100.1) > membership.MAX_FRESHNESS_AGE_S


def _peering(address: str) -> peering_lib.Peering:
    process = protocol.Process(address, "entry", "domain", 1)
    return peering_lib.Peering(process, 0.0)


def test_racing_operators_get_one_verdict_in_any_batch() -> None:
    first = virtual_fleet.first_note(2, {"a": api.Account(1, 1)})
    rival = virtual_fleet.first_note(2, {"b": api.Account(1, 1)})
    records = [_record(1, first), _record(2, rival)]
    together, apart = book_lib.NoteLog(), book_lib.NoteLog()
    together.ingest(reversed(records))
    apart.ingest(records[:1])
    apart.ingest(records)
    assert together.ledger == apart.ledger
    assert set(together.configuration_in_force(1.0).accounts) == {"a"}


def test_wall_clock_that_goes_back_reverts_nothing() -> None:
    book = book_lib.NoteLog()
    book.ingest([_record(1, virtual_fleet.first_note(2, {}))])
    second = _next_note(book, effective=100.0, account="a")
    book.ingest([_record(2, second)])
    assert set(book.configuration_in_force(101.0).accounts) == {"a"}
    book.ingest([_record(3, _next_note(book, effective=50.0, account="b"))])
    assert set(book.configuration_in_force(60.0).accounts) == {"a", "b"}


def _record(revision: int, note: api.Note) -> ledger.NoteRecord:
    text = codec.encode(note)
    return ledger.NoteRecord(revision, codec.text_digest(text), text)


def _next_note(
    book: book_lib.NoteLog, effective: float, account: str
) -> api.Note:
    return api.Note(
        number=book.ledger.number + 1,
        predecessor=book.ledger.head,
        effective=effective,
        title=account,
        add=api.Items(accounts={account: api.Account(1, 1)}),
    )


def test_daemon_that_hears_nobody_is_isolated() -> None:
    fleet = _quiet_fleet()
    node = fleet.nodes[0]
    node.reads_service = False
    for other in fleet.nodes[1:]:
        fleet.cut(node.address, other.address)
    fleet.run_until(fleet.time + membership.MAX_FRESHNESS_AGE_S + 0.1)
    assert not node.serving()
    assert all(other.serving() for other in fleet.nodes[1:])


def test_daemon_cut_from_the_service_alone_follows_its_peers() -> None:
    fleet = _quiet_fleet()
    node = fleet.nodes[0]
    node.reads_service = False
    _publish_next(fleet, fleet.time)
    fleet.run_until(fleet.time + 3.0)
    assert node.serving()
    assert node.peering.note_log.ledger.number == 2


def test_fleet_goes_on_through_an_outage_and_a_booked_note() -> None:
    fleet = _quiet_fleet()
    _publish_next(fleet, fleet.time + 20.0)
    fleet.run_until(fleet.time + 3.0)
    fleet.service_down = True
    fleet.run_until(fleet.time + 30.0)
    for node in fleet.nodes:
        assert node.serving()
        assert "booked-2" in node.configuration().accounts


def test_fresh_daemon_learns_from_peers_while_the_service_is_stale() -> None:
    fleet = _quiet_fleet()
    _publish_next(fleet, fleet.time)
    fleet.run_until(fleet.time + 3.0)
    fleet.stale_revision = 1
    fresh = fleet.start("10.0.0.99:1")
    while not fresh.serving():
        fleet.run_until(fleet.time + 0.05)
    assert fresh.peering.note_log.ledger.number == 2


def run_with_faults(
    seed: int, regress: bool = False
) -> virtual_fleet.VirtualFleet:
    """Runs 8 daemons while notes are published and things fail."""
    rng = random.Random(seed)
    fleet = virtual_fleet.VirtualFleet(seed)
    fleet.publish(virtual_fleet.first_note(_DAEMONS, {}))
    addresses = [f"10.0.0.{n}:1" for n in range(_DAEMONS)]
    for address in addresses:
        fleet.start(address)
    fleet.at(5.0, lambda: _act(fleet, "race", addresses))
    time = 5.0
    while time < _RUN_S - 2 * _BOUND_S:
        time += rng.uniform(0.5, 5.0)
        action = rng.choice(
            ("note", "note", "race", "down", "stale", "alone", "pause", "new")
        )
        fleet.at(time, lambda a=action: _act(fleet, a, addresses))
    fleet.at(_RUN_S - 2 * _BOUND_S, lambda: _heal(fleet))
    if regress:
        fleet.at(30.0, lambda: _go_stale(fleet))
    fleet.run_until(_RUN_S)
    return fleet


def _go_stale(fleet: virtual_fleet.VirtualFleet) -> None:
    for node in fleet.nodes:
        node.ingest(fleet.records[:1])
        node.configuration()


def _act(
    fleet: virtual_fleet.VirtualFleet, action: str, addresses: list[str]
) -> None:
    rng = fleet.rng
    address = rng.choice(addresses)
    node = fleet.node_at(address)
    soon = fleet.time + rng.uniform(1.0, 20.0)
    match action:
        case "note":
            _publish_next(fleet, fleet.time + rng.choice((0.0, 5.0, 20.0)))
        case "race":
            _publish_next(fleet, fleet.time, rival=True)
        case "down":
            fleet.service_down = True
            fleet.at(soon, lambda: setattr(fleet, "service_down", False))
        case "stale":
            fleet.stale_revision = rng.randint(1, len(fleet.records))
            fleet.at(soon, lambda: setattr(fleet, "stale_revision", None))
        case "alone" if node:
            node.reads_service = rng.random() < 0.3
            for other in rng.sample(addresses, rng.choice((2, _DAEMONS))):
                fleet.cut(address, other)
            fleet.at(soon, lambda: _heal(fleet))
        case "pause" if node:
            node.paused_until = soon
        case "new" if node:
            node.alive = False
            fleet.at(soon, lambda: fleet.start(address))


def _heal(fleet: virtual_fleet.VirtualFleet) -> None:
    fleet.cuts.clear()
    fleet.service_down = False
    fleet.stale_revision = None
    for node in fleet.nodes:
        node.reads_service = True
        node.paused_until = min(node.paused_until, fleet.time)


def _publish_next(
    fleet: virtual_fleet.VirtualFleet, effective: float, rival: bool = False
) -> None:
    """Publishes what an operator who sees everything would publish next.

    With ``rival`` another operator publishes the same number just after.
    """
    whole = ledger.Ledger()
    for record in fleet.records:
        whole, _ = whole.apply_record(record)
    number = whole.number + 1
    names = [f"booked-{number}"]
    if rival:
        names.append(f"rival-{number}")
    for name in names:
        fleet.publish(
            api.Note(
                number=number,
                predecessor=whole.head,
                effective=max(0.6, effective),
                title=name,
                add=api.Items(accounts={name: api.Account(1, 1)}),
            )
        )


def _quiet_fleet() -> virtual_fleet.VirtualFleet:
    fleet = virtual_fleet.VirtualFleet(1)
    fleet.publish(virtual_fleet.first_note(4, {}))
    for number in range(4):
        fleet.start(f"10.0.0.{number}:1")
    fleet.run_until(6.0)
    assert all(node.serving() for node in fleet.nodes)
    return fleet


def _check_monotonic(fleet: virtual_fleet.VirtualFleet) -> None:
    for node in fleet.nodes:
        numbers = [number for _, number in node.seen]
        assert numbers == sorted(numbers)


def _check_one_verdict(fleet: virtual_fleet.VirtualFleet) -> None:
    verdicts: dict[int, bool] = {}
    for node in fleet.nodes:
        for revision, accepted in node.verdicts.items():
            assert verdicts.setdefault(revision, accepted) == accepted
    assert False in verdicts.values()
    heads = {
        node.peering.note_log.ledger.head for node in fleet.nodes if node.alive
    }
    assert len(heads) == 1


def _check_in_force(fleet: virtual_fleet.VirtualFleet) -> None:
    """Checks the bound after the last fault, at every serving daemon."""
    whole = ledger.Ledger()
    for record in fleet.records:
        whole, _ = whole.apply_record(record)
    wanted = whole.configuration_at(fleet.time - _BOUND_S)
    serving = [node for node in fleet.nodes if node.serving()]
    assert len(serving) == _DAEMONS
    for node in serving:
        assert wanted.accounts.keys() <= node.configuration().accounts.keys()


def test_requests_that_waited_during_a_pause_are_no_contact() -> None:
    fleet = _quiet_fleet()
    node = fleet.nodes[0]
    fleet.service_down = True
    fleet.run_until(fleet.time + membership.MAX_FRESHNESS_AGE_S)
    assert node.serving()
    for peer in fleet.nodes[1:]:
        request = peer.peering.build_request(
            node.address, peer.configuration(), peer.now
        )
        late = node.now + 2 * membership.MAX_FRESHNESS_AGE_S
        node.peering.handle_request(request, node.configuration(), late)
    standing = node.peering.standing(late)
    assert standing is membership.Standing.ISOLATED
