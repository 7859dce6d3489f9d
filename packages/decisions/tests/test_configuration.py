"""Accepted configurations take effect in bounded time and aren't reverted."""

from __future__ import annotations

import os
import random

import pytest

from cassiahead_decisions import membership
from cassiahead_decisions import note_log
from cassiahead_decisions import peering
from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import ledger
from cassiahead_protocol import api as protocol
import virtual_fleet

_SEEDS = range(int(os.environ.get("CASSIAHEAD_SEEDS", "12")))
_RUN_S = 90.0
_ADOPTION_BOUND_S = 15.0
_PROCESS_COUNT = 8


@pytest.mark.parametrize("seed", _SEEDS)
def test_histories_agree_and_never_revert(seed: int) -> None:
    fleet = run_with_faults(seed)
    _check_monotonic(fleet)
    _check_same_verdicts(fleet)
    _check_adopted(fleet)


def test_check_detects_a_log_that_applies_stale_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def apply_stale_reads(self, records):  # noqa: ANN001, ANN202
        self._ledger = ledger.Ledger()
        verdicts = []
        for record in sorted(records, key=lambda r: r.revision):
            self._ledger, verdict = self._ledger.apply_record(record)
            verdicts.append(verdict)
        self._configuration = None
        return verdicts

    monkeypatch.setattr(note_log.NoteLog, "apply_records", apply_stale_reads)
    with pytest.raises(AssertionError):
        for seed in _SEEDS:
            _check_monotonic(run_with_faults(seed, apply_stale_read=True))


def test_freshness_age_of_a_peer_counts_only_with_the_notes_it_has_read() -> (
    None
):
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


def _peering(address: str) -> peering.Peering:
    process = protocol.Process(address, "entry", "domain", 1)
    return peering.Peering(process, 0.0)


def test_notes_with_one_number_get_the_same_verdicts_in_any_batch() -> None:
    first = virtual_fleet.first_note(2, {"a": api.Account(1, 1)})
    rival = virtual_fleet.first_note(2, {"b": api.Account(1, 1)})
    records = [_record(1, first), _record(2, rival)]
    together, separately = note_log.NoteLog(), note_log.NoteLog()
    together.apply_records(reversed(records))
    separately.apply_records(records[:1])
    separately.apply_records(records)
    assert together.ledger == separately.ledger
    assert set(together.configuration_in_force(1.0).accounts) == {"a"}


def test_wall_clock_set_back_reverts_nothing() -> None:
    log = note_log.NoteLog()
    log.apply_records([_record(1, virtual_fleet.first_note(2, {}))])
    second = _next_note(log, effective=100.0, account="a")
    log.apply_records([_record(2, second)])
    assert set(log.configuration_in_force(101.0).accounts) == {"a"}
    log.apply_records(
        [_record(3, _next_note(log, effective=50.0, account="b"))]
    )
    assert set(log.configuration_in_force(60.0).accounts) == {"a", "b"}


def _record(revision: int, note: api.Note) -> ledger.NoteRecord:
    text = codec.encode(note)
    return ledger.NoteRecord(revision, codec.text_digest(text), text)


def _next_note(
    log: note_log.NoteLog, effective: float, account: str
) -> api.Note:
    return api.Note(
        number=log.ledger.number + 1,
        predecessor=log.ledger.head,
        effective=effective,
        title=account,
        add=api.Items(accounts={account: api.Account(1, 1)}),
    )


def test_process_without_service_and_peers_is_isolated() -> None:
    fleet = _serving_fleet()
    process = fleet.processes[0]
    process.can_reach_service = False
    for other in fleet.processes[1:]:
        fleet.cut(process.address, other.address)
    fleet.run_until(fleet.time + membership.MAX_FRESHNESS_AGE_S + 0.1)
    assert not process.is_serving()
    assert all(other.is_serving() for other in fleet.processes[1:])


def test_process_without_service_learns_notes_from_peers() -> None:
    fleet = _serving_fleet()
    process = fleet.processes[0]
    process.can_reach_service = False
    _publish_next(fleet, fleet.time)
    fleet.run_until(fleet.time + 3.0)
    assert process.is_serving()
    assert process.peering.note_log.ledger.number == 2


def test_fleet_serves_and_applies_booked_notes_in_a_service_outage() -> None:
    fleet = _serving_fleet()
    _publish_next(fleet, fleet.time + 20.0)
    fleet.run_until(fleet.time + 3.0)
    fleet.is_service_down = True
    fleet.run_until(fleet.time + 30.0)
    for process in fleet.processes:
        assert process.is_serving()
        assert "booked-2" in process.configuration().accounts


def test_new_process_learns_notes_from_peers_while_the_service_is_stale() -> (
    None
):
    fleet = _serving_fleet()
    _publish_next(fleet, fleet.time)
    fleet.run_until(fleet.time + 3.0)
    fleet.stale_revision = 1
    fresh = fleet.start("10.0.0.99:1")
    while not fresh.is_serving():
        fleet.run_until(fleet.time + 0.05)
    assert fresh.peering.note_log.ledger.number == 2


def run_with_faults(
    seed: int, apply_stale_read: bool = False
) -> virtual_fleet.VirtualFleet:
    """Runs 8 entry processes while notes are published and faults occur.

    Args:
        seed: Seed of the random number generators.
        apply_stale_read: Whether all processes apply only the first record
            again at 30 s, as after a stale read of the service.
    """
    rng = random.Random(seed)
    fleet = virtual_fleet.VirtualFleet(seed)
    fleet.publish(virtual_fleet.first_note(_PROCESS_COUNT, {}))
    addresses = [f"10.0.0.{n}:1" for n in range(_PROCESS_COUNT)]
    for address in addresses:
        fleet.start(address)
    fleet.schedule_at(5.0, lambda: _inject_event(fleet, "race", addresses))
    time = 5.0
    while time < _RUN_S - 2 * _ADOPTION_BOUND_S:
        time += rng.uniform(0.5, 5.0)
        action = rng.choice(
            (
                "note",
                "note",
                "race",
                "outage",
                "stale",
                "partition",
                "pause",
                "new",
            )
        )
        fleet.schedule_at(
            time, lambda a=action: _inject_event(fleet, a, addresses)
        )
    fleet.schedule_at(
        _RUN_S - 2 * _ADOPTION_BOUND_S, lambda: _end_faults(fleet)
    )
    if apply_stale_read:
        fleet.schedule_at(30.0, lambda: _apply_stale_read(fleet))
    fleet.run_until(_RUN_S)
    return fleet


def _apply_stale_read(fleet: virtual_fleet.VirtualFleet) -> None:
    for process in fleet.processes:
        process.apply_records(fleet.records[:1])
        process.configuration()


def _inject_event(
    fleet: virtual_fleet.VirtualFleet, action: str, addresses: list[str]
) -> None:
    rng = fleet.rng
    address = rng.choice(addresses)
    process = fleet.process_at(address)
    ends_at = fleet.time + rng.uniform(1.0, 20.0)
    match action:
        case "note":
            _publish_next(fleet, fleet.time + rng.choice((0.0, 5.0, 20.0)))
        case "race":
            _publish_next(fleet, fleet.time, rival=True)
        case "outage":
            fleet.is_service_down = True
            fleet.schedule_at(
                ends_at, lambda: setattr(fleet, "is_service_down", False)
            )
        case "stale":
            fleet.stale_revision = rng.randint(1, len(fleet.records))
            fleet.schedule_at(
                ends_at, lambda: setattr(fleet, "stale_revision", None)
            )
        case "partition" if process:
            process.can_reach_service = rng.random() < 0.3
            for other in rng.sample(addresses, rng.choice((2, _PROCESS_COUNT))):
                fleet.cut(address, other)
            fleet.schedule_at(ends_at, lambda: _end_faults(fleet))
        case "pause" if process:
            process.paused_until = ends_at
        case "new" if process:
            process.is_alive = False
            fleet.schedule_at(ends_at, lambda: fleet.start(address))


def _end_faults(fleet: virtual_fleet.VirtualFleet) -> None:
    fleet.cut_links.clear()
    fleet.is_service_down = False
    fleet.stale_revision = None
    for process in fleet.processes:
        process.can_reach_service = True
        process.paused_until = min(process.paused_until, fleet.time)


def _publish_next(
    fleet: virtual_fleet.VirtualFleet, effective: float, rival: bool = False
) -> None:
    """Publishes the next note, like an operator who has seen all records.

    With ``rival``, a second operator publishes another note with the same
    number right after.
    """
    full_ledger = ledger.Ledger()
    for record in fleet.records:
        full_ledger, _ = full_ledger.apply_record(record)
    number = full_ledger.number + 1
    names = [f"booked-{number}"]
    if rival:
        names.append(f"rival-{number}")
    for name in names:
        fleet.publish(
            api.Note(
                number=number,
                predecessor=full_ledger.head,
                effective=max(0.6, effective),
                title=name,
                add=api.Items(accounts={name: api.Account(1, 1)}),
            )
        )


def _serving_fleet() -> virtual_fleet.VirtualFleet:
    fleet = virtual_fleet.VirtualFleet(1)
    fleet.publish(virtual_fleet.first_note(4, {}))
    for number in range(4):
        fleet.start(f"10.0.0.{number}:1")
    fleet.run_until(6.0)
    assert all(process.is_serving() for process in fleet.processes)
    return fleet


def _check_monotonic(fleet: virtual_fleet.VirtualFleet) -> None:
    for process in fleet.processes:
        numbers = [number for _, number in process.adopted_notes]
        assert numbers == sorted(numbers)


def _check_same_verdicts(fleet: virtual_fleet.VirtualFleet) -> None:
    verdicts: dict[int, bool] = {}
    for process in fleet.processes:
        for revision, accepted in process.verdicts.items():
            assert verdicts.setdefault(revision, accepted) == accepted
    assert False in verdicts.values()
    heads = {
        process.peering.note_log.ledger.head
        for process in fleet.processes
        if process.is_alive
    }
    assert len(heads) == 1


def _check_adopted(fleet: virtual_fleet.VirtualFleet) -> None:
    """Checks that the processes have adopted the configuration in time.

    All processes must serve, and have adopted the accounts of the notes that
    were in effect ``_ADOPTION_BOUND_S`` ago.
    """
    full_ledger = ledger.Ledger()
    for record in fleet.records:
        full_ledger, _ = full_ledger.apply_record(record)
    expected = full_ledger.configuration_at(fleet.time - _ADOPTION_BOUND_S)
    serving = [process for process in fleet.processes if process.is_serving()]
    assert len(serving) == _PROCESS_COUNT
    for process in serving:
        assert (
            expected.accounts.keys() <= process.configuration().accounts.keys()
        )


def test_requests_queued_during_a_pause_do_not_count_as_contact() -> None:
    fleet = _serving_fleet()
    process = fleet.processes[0]
    fleet.is_service_down = True
    fleet.run_until(fleet.time + membership.MAX_FRESHNESS_AGE_S)
    assert process.is_serving()
    for peer in fleet.processes[1:]:
        request = peer.peering.build_request(
            process.address, peer.configuration(), peer.now
        )
        handled_at = process.now + 2 * membership.MAX_FRESHNESS_AGE_S
        process.peering.handle_request(
            request, process.configuration(), handled_at
        )
    standing = process.peering.standing(handled_at)
    assert standing is membership.Standing.ISOLATED
