"""State of one process's exchanges with its peers.

An exchange is a request and its reply. It shows that both processes are alive
and carries leases, note records and counts of requests that crashed targets.
The module does no input or output: it builds and handles messages, which the
daemon sends over the network and the tests over a simulated one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import ceiling as ceiling_lib
from cassiahead_decisions import home_map as home_map_lib
from cassiahead_decisions import membership
from cassiahead_decisions import note_log as note_log_lib
from cassiahead_decisions import poison as poison_lib
from cassiahead_decisions import rate_limiter
from cassiahead_decisions import rights
from cassiahead_notes import ledger
from cassiahead_protocol import api

if TYPE_CHECKING:
    from cassiahead_notes import api as notes

__all__ = ["ReplyResult", "Peering", "incarnation_id"]


def incarnation_id(process: api.Process) -> str:
    """Returns ``address#incarnation``, which no two processes share."""
    return f"{process.address}#{process.incarnation}"


@attrs.frozen
class ReplyResult:
    """Results of handling a peer's reply, for the daemon to report.

    Attributes:
        verdicts: Verdicts on the note records that were new.
        has_ledger_conflict: Whether the ledgers of the peer and of this process
            have the same revision but different last accepted notes.
    """

    verdicts: tuple[ledger.Verdict, ...] = ()
    has_ledger_conflict: bool = False


@attrs.define
class Peering:
    """One process's side of the exchanges with all peers.

    Attributes:
        process: This process.
        started_at: Start of this process on its own clock.
        is_ready: Whether this process takes requests; set by the daemon.
        is_draining: Whether this process is about to stop; set by the daemon.
        is_in_use: Function that returns whether work in flight depends on the
            resource with a given name. Rights to such a resource aren't
            released.
        note_log: Published notes and the configuration in force.
        freshness: Age of the newest known read of the configuration service.
        poison_table: Counts of requests that crashed targets, own and from
            peers.
        borrower: Rights that this process holds.
        members: Peers of this process.
        lender: Rights that this process lends.
        ceiling: Number of rights that each resource of the role is divided
            into.
    """

    process: api.Process
    started_at: float
    is_ready: bool = False
    is_draining: bool = False
    is_in_use: Callable[[str], bool] = attrs.field(default=lambda _: False)
    note_log: note_log_lib.NoteLog = attrs.field(factory=note_log_lib.NoteLog)
    freshness: membership.Freshness = attrs.field(factory=membership.Freshness)
    poison_table: poison_lib.PoisonTable = attrs.field(
        factory=poison_lib.PoisonTable
    )
    borrower: rights.Borrower = attrs.field(factory=rights.Borrower)
    members: membership.Members = attrs.field(init=False)
    lender: rights.Lender = attrs.field(init=False)
    ceiling: ceiling_lib.Ceiling = attrs.field(init=False)
    _home_map: home_map_lib.HomeMap = attrs.field(init=False)
    # Configuration serial and addresses that ``_home_map`` was built from.
    _home_map_key: object = None
    # Sequence number of the newest request, or of the newest call of ``tick``,
    # which lends this process its own rights. Lenders recognise by this number
    # the requests that arrive late.
    _sequence: int = 0
    # Resources to release in the next request, by address of the lender.
    _pending_releases: dict[str, set[str]] = attrs.field(factory=dict)
    _has_joined: bool = False

    def __attrs_post_init__(self) -> None:
        """Creates the members, lender, ceiling and home map of the process."""
        self.members = membership.Members(self.process)
        self.lender = rights.Lender(self.started_at)
        self.ceiling = ceiling_lib.Ceiling(rate_limiter.LIMIT_CHANGE_OVERLAP_S)
        self._home_map = home_map_lib.HomeMap({})

    def configure(self, configuration: notes.Configuration, now: float) -> None:
        """Adopts the role's ceiling from a configuration now in force."""
        fleet = configuration.fleet
        is_entry = self.process.role == "entry"
        role_ceiling = fleet.entry_ceiling if is_entry else fleet.relay_ceiling
        self.ceiling.configure(role_ceiling, now)

    def home_map(
        self, configuration: notes.Configuration, now: float
    ) -> home_map_lib.HomeMap:
        """Returns this process's view of the homes of its role's resources.

        The map is cached until the configuration in force or the set of live
        processes changes.
        """
        candidates = self._home_candidates(now)
        home_map_key = (
            self.note_log.configuration_serial,
            tuple(p.address for p in candidates),
        )
        if home_map_key != self._home_map_key:
            is_entry = self.process.role == "entry"
            build_home_map = (
                home_map_lib.HomeMap.for_entries
                if is_entry
                else home_map_lib.HomeMap.for_relays
            )
            self._home_map = build_home_map(configuration, candidates)
            self._home_map_key = home_map_key
        return self._home_map

    def home_map_version(self) -> object:
        """Returns a value that changes when homes may have moved.

        A peer's silence changes the value only at the next ``tick``.
        """
        serial = self.note_log.configuration_serial
        return (
            serial,
            self.is_ready,
            self.is_draining,
            self.members.change_count,
        )

    def tick(self, configuration: notes.Configuration, now: float) -> None:
        """Updates members and rights before a round of exchanges.

        Marks silent peers, suspends lending if this process is above the
        ceiling or superseded, forgets rights to resources whose home has moved
        away, unless the resources are in use, and lends this process its own
        rights to the resources whose home it is. The forgotten rights are
        released to their lenders.
        """
        self._sequence += 1
        self.members.mark_silent(now)
        ceiling = self.ceiling.effective_value(now)
        is_above_ceiling = (
            self.members.count_older(self.process.role, now) >= ceiling
        )
        self.lender.set_suspended(
            is_above_ceiling or self.members.is_superseded()
        )
        own_resources = set(
            self.home_map(configuration, now).resources_of(self.process.address)
        )
        own_id = incarnation_id(self.process)
        for resource in self.borrower.held_resources():
            if resource not in own_resources and not self.is_in_use(resource):
                self._forget_and_release(resource, now)
        for resource in own_resources:
            if self.lender.lend(resource, own_id, self._sequence, now):
                self.borrower.record_lease(
                    resource, self.process.address, now, rights.LEASE_S, now
                )

    def build_request(
        self, peer: str, configuration: notes.Configuration, now: float
    ) -> api.Exchange:
        """Builds a request that borrows rights and releases forgotten ones.

        Args:
            peer: Address of the peer.
            configuration: Configuration in force.
            now: Time on this process's clock.
        """
        self._sequence += 1
        own_resources = self.home_map(configuration, now).resources_of(
            self.process.address
        )
        releases = self._pending_releases.pop(peer, set())
        return self._build_message(
            now,
            borrow=tuple(own_resources),
            release=tuple(sorted(releases.difference(own_resources))),
        )

    def handle_request(
        self,
        request: api.Exchange,
        configuration: notes.Configuration,
        now: float,
    ) -> api.Exchange:
        """Handles a peer's request.

        Returns:
            The reply, with the rights lent and the note records that the peer
            lacks. A right is lent only if the sender is the resource's home in
            this process's view. A superseded sender or one of another role is
            lent nothing.
        """
        sender = request.sender
        is_current = self.members.record_message(sender, request.ready, now)
        self.members.merge_incarnations(request.known)
        self.poison_table.merge_reports(
            incarnation_id(sender), request.poison, now
        )
        granted: list[str] = []
        if is_current and sender.role == self.process.role:
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
        return self._build_message(
            now,
            granted=tuple(granted),
            lease=rights.LEASE_S,
            records=tuple(
                api.NoteRecordMessage(r.revision, r.digest, r.text)
                for r in records
            ),
        )

    def handle_reply(
        self, reply: api.Exchange, request_sent_at: float, now: float
    ) -> ReplyResult:
        """Handles a peer's reply.

        Args:
            reply: The reply.
            request_sent_at: Time at which the request was sent, or just before.
            now: Time on this process's clock.

        Returns:
            Verdicts on new notes and whether the ledgers conflict. If the
            sender is superseded, the reply is ignored and the result is empty.
        """
        sender = reply.sender
        if not self.members.record_message(sender, reply.ready, now):
            return ReplyResult()
        self.members.merge_incarnations(reply.known)
        self.lender.record_contact(request_sent_at)
        self.members.record_reply(sender.address, request_sent_at)
        self.poison_table.merge_reports(
            incarnation_id(sender), reply.poison, now
        )
        verdicts = self.note_log.apply_records(
            ledger.NoteRecord(r.revision, r.digest, r.text)
            for r in reply.records
        )
        if sender.role == self.process.role:
            for resource in reply.granted:
                self.borrower.record_lease(
                    resource, sender.address, request_sent_at, reply.lease, now
                )
        own_ledger = self.note_log.ledger
        if own_ledger.revision >= reply.revision:
            # The peer's freshness age holds for the peer's revision, so it
            # counts only once this process has read up to that revision.
            self.freshness.record_peer_age(request_sent_at, reply.freshness_age)
        has_ledger_conflict = (
            own_ledger.revision == reply.revision
            and own_ledger.head != reply.head
        )
        return ReplyResult(tuple(verdicts), has_ledger_conflict)

    def record_service_read(self, started_at: float) -> None:
        """Records a successful read of the configuration service.

        If there are no peers, the read also counts as contact for the lender.

        Args:
            started_at: Time at which the read began.
        """
        self.freshness.record_read(started_at)
        if not self.members.peer_addresses():
            self.lender.record_contact(started_at)

    def has_joined(self, now: float) -> bool:
        """Returns whether this process has met the conditions for serving.

        The conditions are that the process has accepted a note, read from the
        service or a peer, that its quarantine is over, and that a peer has
        replied to it, if there are peers. Without the quarantine, a fleet whose
        processes all start at once would take requests before any home holds
        rights. Once the conditions have been met, the result stays True.
        """
        if self._has_joined:
            return True
        if self.note_log.ledger.number == 0:
            return False
        if now < self.started_at + rights.QUARANTINE_S:
            return False
        peers = self.members.peer_addresses()
        replied_count = self.members.count_replied_since(peers, self.started_at)
        self._has_joined = replied_count > 0 or not peers
        return self._has_joined

    def standing(self, now: float) -> membership.Standing:
        """Returns whether this process is current, in an outage or isolated."""
        return self.freshness.standing(self.members, now)

    def held_right_count(self, resource: str, until: float) -> int:
        """Returns the number of rights whose leases end after ``until``."""
        return self.borrower.held_right_count(resource, until)

    def _home_candidates(self, now: float) -> list[api.Process]:
        """Returns the live processes of this role that take requests."""
        candidates = self.members.alive_processes(self.process.role, now)
        if self.is_ready and not self.is_draining:
            return candidates
        return [p for p in candidates if p.address != self.process.address]

    def _forget_and_release(self, resource: str, now: float) -> None:
        for lender in self.borrower.forget_rights(resource, now):
            if lender == self.process.address:
                self.lender.release(
                    resource, incarnation_id(self.process), self._sequence
                )
            else:
                self._pending_releases.setdefault(lender, set()).add(resource)

    def _build_message(
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
            ready=self.is_ready and not self.is_draining,
            known=self.members.newest_incarnations(),
            borrow=borrow,
            release=release,
            granted=granted,
            lease=lease,
            poison=self.poison_table.own_reports(now),
            records=records,
        )
