"""Entry daemons on virtual time, with a network and a service that fail.

Only messages, clocks and faults are simulated here; every decision is taken by
the product's own code.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from cassiahead_decisions import exchange_schedule
from cassiahead_decisions import membership
from cassiahead_decisions import peering as peering_lib
from cassiahead_decisions import rate_limiter as limiter_lib
from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import ledger
from cassiahead_protocol import api as protocol

__all__ = ["CLOCK_DRIFT", "VirtualFleet", "VirtualNode", "first_note"]

CLOCK_DRIFT = 0.0004
# How late a due exchange may begin, on a busy machine.
_TICK_LATE_S = 0.04
_READ_S = 1.0
_REPLY_LIMIT_S = 0.35
_ASK_LIMIT_S = 0.08
_REPEAT_S = 0.04


def first_note(ceiling: int, accounts: dict[str, api.Account]) -> api.Note:
    """Returns a note with the accounts and nothing else."""
    return api.Note(
        number=1,
        predecessor="",
        effective=0.5,
        title="first",
        add=api.Items(accounts=accounts),
        change=api.Items(fleet=api.Fleet(ceiling, 1)),
    )


@attrs.define(eq=False)
class VirtualNode:
    """One process: its clock, its state and its faults."""

    fleet: VirtualFleet
    peering: peering_lib.Peering
    limiter: limiter_lib.AccountRateLimiter
    offset: float
    drift: float
    alive: bool = True
    paused_until: float = 0.0
    pace: exchange_schedule.ExchangeSchedule = attrs.field(
        factory=exchange_schedule.ExchangeSchedule
    )
    serial: int = -1
    reads_service: bool = True
    deferred: list[Callable[[], None]] = attrs.field(factory=list)
    verdicts: dict[int, bool] = attrs.field(factory=dict)
    seen: list[tuple[float, int]] = attrs.field(factory=list)

    @property
    def address(self) -> str:
        """The process's address."""
        return self.peering.process.address

    @property
    def now(self) -> float:
        """The process's own clock."""
        return self.offset + self.fleet.time * (1 + self.drift)

    def configuration(self) -> api.Configuration:
        """Takes over what is in force, as the daemon's node does."""
        book = self.peering.note_log
        configuration = book.configuration_in_force(self.fleet.time)
        if book.configuration_serial != self.serial:
            assert book.configuration_serial > self.serial
            self.serial = book.configuration_serial
            self.peering.configure(configuration, self.now)
            self.limiter.configure(configuration.accounts, self.now)
            self.seen.append((self.fleet.time, book.ledger.number))
        return configuration

    def serving(self) -> bool:
        """Returns whether the process takes requests."""
        return (
            self.alive
            and self.fleet.time >= self.paused_until
            and not self.peering.members.is_superseded()
            and self.peering.has_joined(self.now)
            and self.peering.standing(self.now)
            is not membership.Standing.ISOLATED
        )

    def ingest(self, records: list[ledger.NoteRecord]) -> None:
        """Reads records and keeps the verdicts."""
        for verdict in self.peering.note_log.ingest(records):
            self.verdicts[verdict.revision] = verdict.error is None


@attrs.frozen
class _Ask:
    account: str
    node: VirtualNode
    give_up: float
    asked_at: float


@attrs.define(eq=False)
class VirtualFleet:
    """All processes, the network between them, and the service."""

    seed: int
    time: float = 0.0
    loss: float = 0.0
    repeat: float = 0.0
    service_down: bool = False
    stale_revision: int | None = None
    nodes: list[VirtualNode] = attrs.field(factory=list)
    records: list[ledger.NoteRecord] = attrs.field(factory=list)
    ran: dict[str, list[float]] = attrs.field(factory=dict)
    refused: dict[str, int] = attrs.field(factory=dict)
    asked: dict[str, list[float]] = attrs.field(factory=dict)
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    rng: random.Random = attrs.field(init=False)
    hosts: dict[str, str] = attrs.field(factory=dict)
    _queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    _ids: itertools.count[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Seeds the random numbers."""
        self.rng = random.Random(self.seed)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Plans an action."""
        heapq.heappush(self._queue, (time, next(self._ids), action))

    def run_until(self, time: float) -> None:
        """Runs all actions planned up to a time."""
        while self._queue and self._queue[0][0] <= time:
            due, _, action = heapq.heappop(self._queue)
            self.time = max(self.time, due)
            action()
        self.time = time

    def publish(self, note: api.Note) -> ledger.NoteRecord:
        """Publishes a note at the service."""
        text = codec.encode(note)
        revision = len(self.records) + 1
        record = ledger.NoteRecord(revision, codec.text_digest(text), text)
        self.records.append(record)
        return record

    def start(self, address: str) -> VirtualNode:
        """Starts a process at an address, listed as a host at once."""
        process = protocol.Process(
            address, "entry", "domain", int(self.time * 1e6) + len(self.nodes)
        )
        drift = self.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        offset = self.rng.uniform(0, 1000)
        now = offset + self.time * (1 + drift)
        peering = peering_lib.Peering(process, now)
        limiter = limiter_lib.AccountRateLimiter(
            peering.borrower, peering.ceiling
        )
        node = VirtualNode(self, peering, limiter, offset, drift)
        self.nodes.append(node)
        self.hosts[address] = "entry"
        self.at(
            self.time
            + self.rng.uniform(0, exchange_schedule.EXCHANGE_INTERVAL_S),
            lambda: self._tick_if_due(node),
        )
        self._every(node, _READ_S, lambda: self._read(node))
        return node

    def node_at(self, address: str) -> VirtualNode | None:
        """Returns the newest living process at an address."""
        for node in reversed(self.nodes):
            if node.address == address and node.alive:
                return node
        return None

    def cut(self, a: str, b: str) -> None:
        """Cuts the network between two addresses."""
        self.cuts.add(frozenset((a, b)))

    def request(self, account: str, node: VirtualNode) -> None:
        """A caller sends a request to an entry."""
        self.asked.setdefault(account, []).append(self.time)
        give_up = node.now + limiter_lib.SETTLING_S
        self._ask(_Ask(account, node, give_up, node.now))

    def _ask(self, ask: _Ask) -> None:
        node = ask.node
        if not node.serving():
            self._refuse(ask.account)
            return
        homes = node.peering.home_map(node.configuration(), node.now)
        home = homes.home_of(limiter_lib.account_resource(ask.account))
        if home is None:
            self._settle(ask, limiter_lib.Admission(0, 1.0, settling=True))
        elif home == node.address:
            self._settle(ask, node.limiter.admit(ask.account, 1, node.now))
        else:
            self._ask_home(ask, home)

    def _ask_home(self, ask: _Ask, home: str) -> None:
        settled: list[bool] = []
        node = ask.node

        def on_reply(admission: limiter_lib.Admission) -> None:
            if not settled:
                settled.append(True)
                self._settle(ask, admission)

        def on_request(other: VirtualNode) -> None:
            other.configuration()
            standing = other.peering.standing(other.now)
            wanted = standing is not membership.Standing.ISOLATED
            admission = other.limiter.admit(ask.account, int(wanted), other.now)
            self._deliver(other, node, lambda _: on_reply(admission))

        def on_timeout() -> None:
            if not settled:
                node.peering.members.suspect(home)
                on_reply(limiter_lib.Admission(0, 1.0, settling=True))

        target = self.node_at(home)
        if target is not None:
            self._deliver(node, target, on_request)
        self.at(self.time + _ASK_LIMIT_S, on_timeout)

    def _settle(self, ask: _Ask, admission: limiter_lib.Admission) -> None:
        node = ask.node
        late = node.now - ask.asked_at > limiter_lib.ADMISSION_LIFETIME_S
        if admission.granted and not late and node.alive:
            self.ran.setdefault(ask.account, []).append(self.time)
        elif node.now < ask.give_up and (admission.settling or late):
            again = attrs.evolve(ask, asked_at=node.now + _REPEAT_S)
            self.at(self.time + _REPEAT_S, lambda: self._ask(again))
        else:
            self._refuse(ask.account)

    def _refuse(self, account: str) -> None:
        self.refused[account] = self.refused.get(account, 0) + 1

    def _every(
        self, node: VirtualNode, interval: float, action: Callable[[], None]
    ) -> None:
        def again() -> None:
            if not node.alive:
                return
            if self.time < node.paused_until:
                self.at(node.paused_until, again)
                return
            action()
            self.at(self.time + interval * self.rng.uniform(0.9, 1.1), again)

        self.at(self.time + self.rng.uniform(0, interval), again)

    def _tick_if_due(self, node: VirtualNode) -> None:
        if not node.alive:
            return
        if self.time < node.paused_until:
            self.at(node.paused_until, lambda: self._tick_if_due(node))
            return
        if node.now < node.pace.next_due_at:
            return
        self._tick(node)
        node.pace.record_exchange(node.peering.home_map_version(), node.now)
        self._plan_tick(node)

    def _plan_tick(self, node: VirtualNode) -> None:
        wait = max(0.0, node.pace.next_due_at - node.now) * (1 + CLOCK_DRIFT)
        late = self.rng.uniform(0.001, _TICK_LATE_S)
        self.at(self.time + wait + late, lambda: self._tick_if_due(node))

    def _follow_moves(self, node: VirtualNode) -> None:
        if node.pace.bring_forward_if_moved(node.peering.home_map_version()):
            self._plan_tick(node)

    def _tick(self, node: VirtualNode) -> None:
        configuration = node.configuration()
        node.limiter.refill_all(node.now)
        node.peering.ready = node.serving()
        node.peering.tick(configuration, node.now)
        for peer in node.peering.members.peer_addresses():
            self._exchange(node, peer)

    def _exchange(self, node: VirtualNode, peer: str) -> None:
        target = self.node_at(peer)
        if target is None:
            return
        asked_at = node.now
        request = node.peering.build_request(
            peer, node.configuration(), asked_at
        )

        def on_request(other: VirtualNode) -> None:
            reply = other.peering.handle_request(
                request, other.configuration(), other.now
            )
            self._follow_moves(other)
            self._deliver(other, node, lambda _: on_reply(reply))

        def on_reply(reply: protocol.Exchange) -> None:
            if node.now - asked_at > _REPLY_LIMIT_S:
                return
            node.limiter.refill_all(node.now)
            absorbed = node.peering.handle_reply(reply, asked_at, node.now)
            for verdict in absorbed.verdicts:
                node.verdicts[verdict.revision] = verdict.error is None
            node.configuration()
            self._follow_moves(node)

        self._deliver(node, target, on_request)

    def _read(self, node: VirtualNode) -> None:
        if self.service_down or not node.reads_service:
            return
        node.peering.members.set_listed(self.hosts)
        visible = self.records
        if self.stale_revision is not None:
            visible = self.records[: self.stale_revision]
        newest = visible[-1].revision if visible else 0
        if newest < node.peering.note_log.revision:
            return
        node.ingest(visible)
        node.peering.record_service_read(node.now)
        node.configuration()

    def _deliver(
        self,
        sender: VirtualNode,
        receiver: VirtualNode,
        action: Callable[[VirtualNode], None],
    ) -> None:
        if frozenset((sender.address, receiver.address)) in self.cuts:
            return
        copies = 2 if self.rng.random() < self.repeat else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            delay = self.rng.expovariate(1 / 0.002)
            if self.rng.random() < self.loss:
                delay += self.rng.uniform(0, 3.0)
            self.at(self.time + delay, lambda: self._arrive(receiver, action))

    def _arrive(
        self, receiver: VirtualNode, action: Callable[[VirtualNode], None]
    ) -> None:
        if not receiver.alive:
            return
        if self.time < receiver.paused_until:
            self.at(
                receiver.paused_until,
                lambda: self._arrive(receiver, action),
            )
            return
        action(receiver)
