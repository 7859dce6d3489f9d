"""What one process exchanges with the others, as a state machine.

An exchange is one request and its reply. It carries the heartbeat, lease
traffic, note records and counts of crashes. The state machine sends nothing
itself: the daemon and the tests carry its messages.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import ceiling as ceiling_lib
from cassiahead_decisions import home_map as homes_lib
from cassiahead_decisions import membership
from cassiahead_decisions import note_log as book_lib
from cassiahead_decisions import poison as poison_lib
from cassiahead_decisions import rate_limiter as limiter_lib
from cassiahead_decisions import rights
from cassiahead_notes import ledger
from cassiahead_protocol import api

if TYPE_CHECKING:
    from cassiahead_notes import api as notes

__all__ = ["ReplyResult", "Peering", "incarnation_id"]


def incarnation_id(process: api.Process) -> str:
    """Returns the name under which a process borrows rights."""
    return f"{process.address}#{process.incarnation}"


@attrs.frozen
class ReplyResult:
    """What a reply brought.

    Attributes:
        verdicts: Verdicts on notes that were new.
        has_ledger_conflict: Whether the peer's ledger contradicts this
            process's.
    """

    verdicts: tuple[ledger.Verdict, ...] = ()
    has_ledger_conflict: bool = False


@attrs.define
class Peering:
    """One process's side of all exchanges.

    Attributes:
        process: This process.
        started_at: Its start, on its own clock.
        ready: Whether it takes requests; the daemon sets it.
        draining: Whether it is about to stop; the daemon sets it.
        is_in_use: Tells whether work in flight depends on a resource.
    """

    process: api.Process
    started_at: float
    ready: bool = False
    draining: bool = False
    is_in_use: Callable[[str], bool] = attrs.field(default=lambda _: False)
    note_log: book_lib.NoteLog = attrs.field(factory=book_lib.NoteLog)
    freshness: membership.Freshness = attrs.field(factory=membership.Freshness)
    poison: poison_lib.PoisonTable = attrs.field(factory=poison_lib.PoisonTable)
    borrower: rights.Borrower = attrs.field(factory=rights.Borrower)
    members: membership.Members = attrs.field(init=False)
    lender: rights.Lender = attrs.field(init=False)
    ceiling: ceiling_lib.Ceiling = attrs.field(init=False)
    _homes: homes_lib.HomeMap = attrs.field(init=False)
    _homes_basis: object = None
    _sequence: int = 0
    _to_hand_back: dict[str, set[str]] = attrs.field(factory=dict)
    _joined: bool = False

    def __attrs_post_init__(self) -> None:
        """Creates the parts that depend on the process."""
        self.members = membership.Members(self.process)
        self.lender = rights.Lender(self.started_at)
        self.ceiling = ceiling_lib.Ceiling(limiter_lib.LIMIT_CHANGE_OVERLAP_S)
        self._homes = homes_lib.HomeMap({})

    def configure(self, configuration: notes.Configuration, now: float) -> None:
        """Takes over the ceiling of a configuration that is now in force."""
        fleet = configuration.fleet
        is_entry = self.process.role == "entry"
        value = fleet.entry_ceiling if is_entry else fleet.relay_ceiling
        self.ceiling.configure(value, now)

    def home_map(
        self, configuration: notes.Configuration, now: float
    ) -> homes_lib.HomeMap:
        """Returns the homes of this role's resources in this one's view."""
        alive = self._candidates(now)
        basis = (
            self.note_log.configuration_serial,
            tuple(p.address for p in alive),
        )
        if basis != self._homes_basis:
            is_entry = self.process.role == "entry"
            spread = (
                homes_lib.HomeMap.for_entries
                if is_entry
                else homes_lib.HomeMap.for_relays
            )
            self._homes = spread(configuration, alive)
            self._homes_basis = basis
        return self._homes

    def home_map_version(self) -> object:
        """Returns what the homes depend on; it differs after they move.

        Peers that fell silent are seen at the next ``tick``.
        """
        serial = self.note_log.configuration_serial
        return serial, self.ready, self.draining, self.members.change_count

    def tick(self, configuration: notes.Configuration, now: float) -> None:
        """Uses own rights where this is the home, and leaves other homes."""
        self._sequence += 1
        self.members.mark_silent(now)
        ceiling = self.ceiling.effective_value(now)
        above = self.members.count_older(self.process.role, now) >= ceiling
        self.lender.set_suspended(above or self.members.is_superseded())
        mine = set(
            self.home_map(configuration, now).resources_of(self.process.address)
        )
        me = incarnation_id(self.process)
        for resource in self.borrower.held_resources():
            if resource not in mine and not self.is_in_use(resource):
                self._leave(resource, now)
        for resource in mine:
            if self.lender.lend(resource, me, self._sequence, now):
                self.borrower.record_lease(
                    resource, self.process.address, now, rights.LEASE_S, now
                )

    def build_request(
        self, peer: str, configuration: notes.Configuration, now: float
    ) -> api.Exchange:
        """Returns the request for a peer."""
        self._sequence += 1
        mine = self.home_map(configuration, now).resources_of(
            self.process.address
        )
        hand_back = self._to_hand_back.pop(peer, set())
        return self._message(
            now,
            borrow=tuple(mine),
            release=tuple(sorted(hand_back.difference(mine))),
        )

    def handle_request(
        self,
        request: api.Exchange,
        configuration: notes.Configuration,
        now: float,
    ) -> api.Exchange:
        """Takes a peer's request and returns the reply."""
        sender = request.sender
        current = self.members.record_message(sender, request.ready, now)
        self.members.merge_incarnations(request.known)
        self.poison.merge_reports(incarnation_id(sender), request.poison, now)
        granted: list[str] = []
        if current and sender.role == self.process.role:
            borrower = incarnation_id(sender)
            for resource in request.release:
                self.lender.release(resource, borrower, request.sequence)
            homes = self.home_map(configuration, now)
            granted = [
                resource
                for resource in request.borrow
                if homes.home_of(resource) == sender.address
                and self.lender.lend(resource, borrower, request.sequence, now)
            ]
        records = self.note_log.records_after(request.revision)
        return self._message(
            now,
            granted=tuple(granted),
            lease=rights.LEASE_S,
            records=tuple(
                api.NoteRecordMessage(r.revision, r.digest, r.text)
                for r in records
            ),
        )

    def handle_reply(
        self, reply: api.Exchange, asked_at: float, now: float
    ) -> ReplyResult:
        """Takes a peer's reply to a request composed at ``asked_at``."""
        sender = reply.sender
        if not self.members.record_message(sender, reply.ready, now):
            return ReplyResult()
        self.members.merge_incarnations(reply.known)
        self.lender.record_reply(asked_at)
        self.members.record_reply(sender.address, asked_at)
        self.poison.merge_reports(incarnation_id(sender), reply.poison, now)
        verdicts = self.note_log.ingest(
            ledger.NoteRecord(r.revision, r.digest, r.text)
            for r in reply.records
        )
        if sender.role == self.process.role:
            for resource in reply.granted:
                self.borrower.record_lease(
                    resource, sender.address, asked_at, reply.lease, now
                )
        own = self.note_log.ledger
        if own.revision >= reply.revision:
            # A peer's age vouches only for the notes that came with it.
            self.freshness.record_peer_age(asked_at, reply.freshness_age)
        conflict = own.revision == reply.revision and own.head != reply.head
        return ReplyResult(tuple(verdicts), conflict)

    def record_service_read(self, started_at: float) -> None:
        """Notes a read of the configuration service begun at ``started``."""
        self.freshness.record_read(started_at)
        if not self.members.peer_addresses():
            self.lender.record_reply(started_at)

    def has_joined(self, now: float) -> bool:
        """Returns whether a fresh process knows and holds enough to serve.

        It has read notes from the service or a peer, has heard from a listed
        process, if there are others, and may use and lend its own rights: a
        fleet that starts together could else promise what no home holds yet.
        """
        if self._joined:
            return True
        if self.note_log.ledger.number == 0:
            return False
        if now < self.started_at + rights.QUARANTINE_S:
            return False
        contacts = self.members.peer_addresses()
        heard = self.members.count_replied_since(contacts, self.started_at)
        self._joined = heard > 0 or not contacts
        return self._joined

    def standing(self, now: float) -> membership.Standing:
        """Returns whether this process can trust that it hears of changes."""
        return self.freshness.standing(self.members, now)

    def rights_held(self, resource: str, until: float) -> int:
        """Returns the rights held here until ``until``."""
        return self.borrower.rights_held(resource, until)

    def _candidates(self, now: float) -> list[api.Process]:
        alive = self.members.alive_processes(self.process.role, now)
        if self.ready and not self.draining:
            return alive
        return [p for p in alive if p.address != self.process.address]

    def _leave(self, resource: str, now: float) -> None:
        for lender in self.borrower.drop(resource, now):
            if lender == self.process.address:
                self.lender.release(
                    resource, incarnation_id(self.process), self._sequence
                )
            else:
                self._to_hand_back.setdefault(lender, set()).add(resource)

    def _message(
        self,
        now: float,
        borrow: tuple[str, ...] = (),
        release: tuple[str, ...] = (),
        granted: tuple[str, ...] = (),
        lease: float = 0.0,
        records: tuple[api.NoteRecordMessage, ...] = (),
    ) -> api.Exchange:
        return api.Exchange(
            sender=self.process,
            sequence=self._sequence,
            revision=self.note_log.revision,
            head=self.note_log.ledger.head,
            freshness_age=self.freshness.age_s(now),
            ready=self.ready and not self.draining,
            known=self.members.newest_incarnations(),
            borrow=borrow,
            release=release,
            granted=granted,
            lease=lease,
            poison=self.poison.own_reports(now),
            records=records,
        )
