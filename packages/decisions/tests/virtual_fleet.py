"""Simulates entry processes in virtual time, with faults.

Messages, clocks, the configuration service and faults are simulated; all
decisions are made by the product's own code.
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
from cassiahead_decisions import rate_limiter
from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import ledger
from cassiahead_protocol import api as protocol

__all__ = ["CLOCK_DRIFT_RATIO", "VirtualFleet", "VirtualProcess", "first_note"]

CLOCK_DRIFT_RATIO = 0.0004
# Longest delay of a due exchange, as on a busy host.
_MAX_TICK_DELAY_S = 0.04
_SERVICE_READ_INTERVAL_S = 1.0
_EXCHANGE_TIMEOUT_S = 0.35
_ADMISSION_TIMEOUT_S = 0.08
_ADMISSION_RETRY_DELAY_S = 0.04


def first_note(ceiling: int, accounts: dict[str, api.Account]) -> api.Note:
    """Returns note 1, with client accounts and the ceiling of entries."""
    return api.Note(
        number=1,
        predecessor="",
        effective=0.5,
        title="first",
        add=api.Items(accounts=accounts),
        change=api.Items(fleet=api.Fleet(ceiling, 1)),
    )


@attrs.define(eq=False)
class VirtualProcess:
    """One entry process: its clock, its state and its faults.

    Attributes:
        fleet: The fleet that the process belongs to.
        peering: State of the process's exchanges.
        limiter: Rate limiter of the process.
        clock_offset_s: Seconds on the process's clock at virtual time 0.
        clock_drift_ratio: Relative error of the speed of the process's clock.
        is_alive: Whether the process runs; False once it is killed.
        paused_until: Virtual time until which the process is paused.
        schedule: When the next exchange is due.
        adopted_serial: Serial number of the configuration adopted last.
        can_reach_service: Whether the process can reach the configuration
            service.
        deferred: Unused.
        verdicts: Whether each note was accepted, by the record's revision.
        adopted_notes: Virtual time of each adoption of a configuration, with
            the number of the last accepted note, which need not be in effect.
    """

    fleet: VirtualFleet
    peering: peering_lib.Peering
    limiter: rate_limiter.AccountRateLimiter
    clock_offset_s: float
    clock_drift_ratio: float
    is_alive: bool = True
    paused_until: float = 0.0
    schedule: exchange_schedule.ExchangeSchedule = attrs.field(
        factory=exchange_schedule.ExchangeSchedule
    )
    adopted_serial: int = -1
    can_reach_service: bool = True
    deferred: list[Callable[[], None]] = attrs.field(factory=list)
    verdicts: dict[int, bool] = attrs.field(factory=dict)
    adopted_notes: list[tuple[float, int]] = attrs.field(factory=list)

    @property
    def address(self) -> str:
        """IP address and port of the process."""
        return self.peering.process.address

    @property
    def now(self) -> float:
        """Time on the process's own clock, in seconds."""
        return self.clock_offset_s + self.fleet.time * (
            1 + self.clock_drift_ratio
        )

    def configuration(self) -> api.Configuration:
        """Returns the configuration in force, and adopts it if it is new.

        Mirrors ``DaemonState.configuration`` of the daemon.
        """
        note_log = self.peering.note_log
        configuration = note_log.configuration_in_force(self.fleet.time)
        if note_log.configuration_serial != self.adopted_serial:
            assert note_log.configuration_serial > self.adopted_serial
            self.adopted_serial = note_log.configuration_serial
            self.peering.configure(configuration, self.now)
            self.limiter.configure(configuration.accounts, self.now)
            self.adopted_notes.append((self.fleet.time, note_log.ledger.number))
        return configuration

    def is_serving(self) -> bool:
        """Returns whether the process takes requests."""
        return (
            self.is_alive
            and self.fleet.time >= self.paused_until
            and not self.peering.members.is_superseded()
            and self.peering.has_joined(self.now)
            and self.peering.standing(self.now)
            is not membership.Standing.ISOLATED
        )

    def apply_records(self, records: list[ledger.NoteRecord]) -> None:
        """Applies note records and keeps the verdicts."""
        for verdict in self.peering.note_log.apply_records(records):
            self.verdicts[verdict.revision] = verdict.error is None


@attrs.frozen
class _AdmissionRequest:
    """A request to be admitted; times are on the entry's clock.

    Attributes:
        account: Client account of the request.
        entry: The entry that received the request.
        expires_at: Time after which the request is refused.
        asked_at: Time at which the current attempt began.
    """

    account: str
    entry: VirtualProcess
    expires_at: float
    asked_at: float


@attrs.define(eq=False)
class VirtualFleet:
    """All processes, the network between them and the configuration service.

    Attributes:
        seed: Seed of the random number generator.
        time: Virtual time in seconds.
        loss_ratio: Probability that a message is lost. A message that isn't
            lost takes 2 ms on average, and up to 3 s longer with the same
            probability.
        duplication_ratio: Probability that a message is sent twice.
        is_service_down: Whether no process can reach the configuration service.
        stale_revision: If set, the service shows no records after it.
        processes: All processes ever started.
        records: All note records published.
        admission_times_by_account: Virtual times at which requests were
            admitted.
        refused_count_by_account: Number of requests refused.
        arrival_times_by_account: Virtual times at which requests arrived.
        cut_links: Pairs of addresses between which all messages are lost.
        rng: Random number generator of the simulation.
        hosts: The published host list: role by address.
    """

    seed: int
    time: float = 0.0
    loss_ratio: float = 0.0
    duplication_ratio: float = 0.0
    is_service_down: bool = False
    stale_revision: int | None = None
    processes: list[VirtualProcess] = attrs.field(factory=list)
    records: list[ledger.NoteRecord] = attrs.field(factory=list)
    admission_times_by_account: dict[str, list[float]] = attrs.field(
        factory=dict
    )
    refused_count_by_account: dict[str, int] = attrs.field(factory=dict)
    arrival_times_by_account: dict[str, list[float]] = attrs.field(factory=dict)
    cut_links: set[frozenset[str]] = attrs.field(factory=set)
    rng: random.Random = attrs.field(init=False)
    hosts: dict[str, str] = attrs.field(factory=dict)
    # Scheduled actions, by virtual time and then in the order of scheduling.
    _queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    _action_numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Creates the random number generator from the seed."""
        self.rng = random.Random(self.seed)

    def schedule_at(self, time: float, action: Callable[[], None]) -> None:
        """Schedules an action for a virtual time."""
        heapq.heappush(self._queue, (time, next(self._action_numbers), action))

    def run_until(self, time: float) -> None:
        """Runs all actions scheduled up to a virtual time."""
        while self._queue and self._queue[0][0] <= time:
            due_at, _, action = heapq.heappop(self._queue)
            self.time = max(self.time, due_at)
            action()
        self.time = time

    def publish(self, note: api.Note) -> ledger.NoteRecord:
        """Publishes a note in the configuration service."""
        text = codec.encode(note)
        revision = len(self.records) + 1
        record = ledger.NoteRecord(revision, codec.text_digest(text), text)
        self.records.append(record)
        return record

    def start(self, address: str) -> VirtualProcess:
        """Starts an entry process, which is in the host list at once."""
        identity = protocol.Process(
            address,
            "entry",
            "domain",
            int(self.time * 1e6) + len(self.processes),
        )
        clock_drift_ratio = self.rng.uniform(
            -CLOCK_DRIFT_RATIO, CLOCK_DRIFT_RATIO
        )
        clock_offset_s = self.rng.uniform(0, 1000)
        now = clock_offset_s + self.time * (1 + clock_drift_ratio)
        peering = peering_lib.Peering(identity, now)
        limiter = rate_limiter.AccountRateLimiter(
            peering.borrower, peering.ceiling
        )
        process = VirtualProcess(
            self, peering, limiter, clock_offset_s, clock_drift_ratio
        )
        self.processes.append(process)
        self.hosts[address] = "entry"
        self.schedule_at(
            self.time
            + self.rng.uniform(0, exchange_schedule.EXCHANGE_INTERVAL_S),
            lambda: self._tick_if_due(process),
        )
        self._repeat_every(
            process,
            _SERVICE_READ_INTERVAL_S,
            lambda: self._read_service(process),
        )
        return process

    def process_at(self, address: str) -> VirtualProcess | None:
        """Returns the newest living process at an address."""
        for process in reversed(self.processes):
            if process.address == address and process.is_alive:
                return process
        return None

    def cut(self, first_address: str, second_address: str) -> None:
        """Drops messages between two addresses until the cut is cleared."""
        self.cut_links.add(frozenset((first_address, second_address)))

    def request(self, account: str, entry: VirtualProcess) -> None:
        """Sends a caller's request to an entry."""
        self.arrival_times_by_account.setdefault(account, []).append(self.time)
        expires_at = entry.now + rate_limiter.SETTLING_S
        self._request_admission(
            _AdmissionRequest(account, entry, expires_at, entry.now)
        )

    def _request_admission(self, pending: _AdmissionRequest) -> None:
        entry = pending.entry
        if not entry.is_serving():
            self._refuse(pending.account)
            return
        homes = entry.peering.home_map(entry.configuration(), entry.now)
        home = homes.home_of(rate_limiter.account_resource(pending.account))
        if home is None:
            self._handle_admission(
                pending, rate_limiter.AdmissionVerdict(0, 1.0, is_settling=True)
            )
        elif home == entry.address:
            self._handle_admission(
                pending, entry.limiter.admit(pending.account, 1, entry.now)
            )
        else:
            self._request_from_home(pending, home)

    def _request_from_home(self, pending: _AdmissionRequest, home: str) -> None:
        finished: list[bool] = []
        entry = pending.entry

        def on_reply(admission: rate_limiter.AdmissionVerdict) -> None:
            if not finished:
                finished.append(True)
                self._handle_admission(pending, admission)

        def on_request(other: VirtualProcess) -> None:
            other.configuration()
            standing = other.peering.standing(other.now)
            may_admit = standing is not membership.Standing.ISOLATED
            admission = other.limiter.admit(
                pending.account, int(may_admit), other.now
            )
            self._deliver(other, entry, lambda _: on_reply(admission))

        def on_timeout() -> None:
            if not finished:
                entry.peering.members.suspect(home)
                on_reply(
                    rate_limiter.AdmissionVerdict(0, 1.0, is_settling=True)
                )

        home_process = self.process_at(home)
        if home_process is not None:
            self._deliver(entry, home_process, on_request)
        self.schedule_at(self.time + _ADMISSION_TIMEOUT_S, on_timeout)

    def _handle_admission(
        self,
        pending: _AdmissionRequest,
        admission: rate_limiter.AdmissionVerdict,
    ) -> None:
        entry = pending.entry
        is_late = (
            entry.now - pending.asked_at > rate_limiter.ADMISSION_LIFETIME_S
        )
        if admission.granted_count and not is_late and entry.is_alive:
            self.admission_times_by_account.setdefault(
                pending.account, []
            ).append(self.time)
        elif entry.now < pending.expires_at and (
            admission.is_settling or is_late
        ):
            retry = attrs.evolve(
                pending, asked_at=entry.now + _ADMISSION_RETRY_DELAY_S
            )
            self.schedule_at(
                self.time + _ADMISSION_RETRY_DELAY_S,
                lambda: self._request_admission(retry),
            )
        else:
            self._refuse(pending.account)

    def _refuse(self, account: str) -> None:
        self.refused_count_by_account[account] = (
            self.refused_count_by_account.get(account, 0) + 1
        )

    def _repeat_every(
        self,
        process: VirtualProcess,
        interval_s: float,
        action: Callable[[], None],
    ) -> None:
        def run_and_repeat() -> None:
            if not process.is_alive:
                return
            if self.time < process.paused_until:
                self.schedule_at(process.paused_until, run_and_repeat)
                return
            action()
            self.schedule_at(
                self.time + interval_s * self.rng.uniform(0.9, 1.1),
                run_and_repeat,
            )

        self.schedule_at(
            self.time + self.rng.uniform(0, interval_s), run_and_repeat
        )

    def _tick_if_due(self, process: VirtualProcess) -> None:
        if not process.is_alive:
            return
        if self.time < process.paused_until:
            self.schedule_at(
                process.paused_until, lambda: self._tick_if_due(process)
            )
            return
        if process.now < process.schedule.next_due_at:
            return
        self._tick(process)
        process.schedule.record_exchange(
            process.peering.home_map_version(), process.now
        )
        self._schedule_tick(process)

    def _schedule_tick(self, process: VirtualProcess) -> None:
        wait_s = max(0.0, process.schedule.next_due_at - process.now) * (
            1 + CLOCK_DRIFT_RATIO
        )
        delay_s = self.rng.uniform(0.001, _MAX_TICK_DELAY_S)
        self.schedule_at(
            self.time + wait_s + delay_s, lambda: self._tick_if_due(process)
        )

    def _bring_tick_forward(self, process: VirtualProcess) -> None:
        if process.schedule.bring_forward_if_moved(
            process.peering.home_map_version()
        ):
            self._schedule_tick(process)

    def _tick(self, process: VirtualProcess) -> None:
        configuration = process.configuration()
        process.limiter.refill_all(process.now)
        process.peering.is_ready = process.is_serving()
        process.peering.tick(configuration, process.now)
        for peer in process.peering.members.peer_addresses():
            self._exchange(process, peer)

    def _exchange(self, process: VirtualProcess, peer: str) -> None:
        peer_process = self.process_at(peer)
        if peer_process is None:
            return
        request_sent_at = process.now
        request = process.peering.build_request(
            peer, process.configuration(), request_sent_at
        )

        def on_request(other: VirtualProcess) -> None:
            reply = other.peering.handle_request(
                request, other.configuration(), other.now
            )
            self._bring_tick_forward(other)
            self._deliver(other, process, lambda _: on_reply(reply))

        def on_reply(reply: protocol.Exchange) -> None:
            if process.now - request_sent_at > _EXCHANGE_TIMEOUT_S:
                return
            process.limiter.refill_all(process.now)
            result = process.peering.handle_reply(
                reply, request_sent_at, process.now
            )
            for verdict in result.verdicts:
                process.verdicts[verdict.revision] = verdict.error is None
            process.configuration()
            self._bring_tick_forward(process)

        self._deliver(process, peer_process, on_request)

    def _read_service(self, process: VirtualProcess) -> None:
        if self.is_service_down or not process.can_reach_service:
            return
        process.peering.members.set_host_list(self.hosts)
        visible_records = self.records
        if self.stale_revision is not None:
            visible_records = self.records[: self.stale_revision]
        newest_revision = visible_records[-1].revision if visible_records else 0
        if newest_revision < process.peering.note_log.revision:
            return
        process.apply_records(visible_records)
        process.peering.record_service_read(process.now)
        process.configuration()

    def _deliver(
        self,
        sender: VirtualProcess,
        receiver: VirtualProcess,
        action: Callable[[VirtualProcess], None],
    ) -> None:
        if frozenset((sender.address, receiver.address)) in self.cut_links:
            return
        copy_count = 2 if self.rng.random() < self.duplication_ratio else 1
        for _ in range(copy_count):
            if self.rng.random() < self.loss_ratio:
                continue
            delay_s = self.rng.expovariate(1 / 0.002)
            if self.rng.random() < self.loss_ratio:
                delay_s += self.rng.uniform(0, 3.0)
            self.schedule_at(
                self.time + delay_s, lambda: self._arrive(receiver, action)
            )

    def _arrive(
        self, receiver: VirtualProcess, action: Callable[[VirtualProcess], None]
    ) -> None:
        if not receiver.is_alive:
            return
        if self.time < receiver.paused_until:
            self.schedule_at(
                receiver.paused_until,
                lambda: self._arrive(receiver, action),
            )
            return
        action(receiver)
