"""Exchanges with peers: who is there, what is published, what was admitted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math

import attrs

from cassiahead_decisions import peer_table
from cassiahead_gateway import context as context_lib
from cassiahead_gateway import http_server
from cassiahead_gateway import messages
from cassiahead_gateway import records as records_lib
from cassiahead_protocol import poison as protocol
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

__all__ = ["HeartbeatExchange"]

_PATH = "/exchange"
_INTERVAL_S = 0.25
_TIMEOUT_S = 0.5
# The process with the lower address begins the exchanges of a pair; the other
# one does so if it heard nothing for this long.
_QUIET_S = 0.6
# Processes that began within this time of each other began together.
_SAME_START_S = 1.0
# Addresses where nobody answers are tried this often.
_ABSENT_INTERVAL_S = 1.0


@attrs.define(eq=False)
class _Line:
    """The exchanges with one address."""

    pool: wire.ConnectionPool
    tried_at: float = -math.inf
    revision: int = 0
    busy: bool = False


@attrs.define(eq=False)
class HeartbeatExchange:
    """Exchanges heartbeats with all peers.

    Attributes:
        reading: Tells whether this process reads the platform's service.
        leaving: Whether this process is shutting down.
    """

    _context: context_lib.Context
    reading: Callable[[], bool]
    leaving: bool = False
    _lines: dict[str, _Line] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _heard: set[str] = attrs.field(factory=set)
    _adopted: bool = False

    async def run(self) -> None:
        """Exchanges heartbeats for as long as the process runs."""
        while True:
            now = clock.monotonic()
            self._note_lost(now)
            for address in self._context.peers.addresses():
                if self._is_due(address, now):
                    self._begin(address, now)
            self._context.peers.forget_silent_peers(now)
            self._context.quota.forget_silent_peers(now)
            await asyncio.sleep(_INTERVAL_S)

    def seed(self) -> None:
        """Notes the addresses where peers may be, by the settings."""
        now = clock.monotonic()
        for address in self._context.settings.seeds:
            self._context.peers.add_address(address, now)

    def tell_all(self) -> None:
        """Exchanges with everyone at once, such as after news."""
        now = clock.monotonic()
        for address in self._context.peers.addresses():
            line = self._line(address)
            if not line.busy:
                self._begin(address, now)

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Answers a peer's heartbeat."""
        if request.path != _PATH or request.method != "POST":
            return http_server.plain_reply(404)
        try:
            heartbeat = messages.decode(request.body)
        except messages.MessageError as error:
            events.log(events.Event.INNER_MESSAGE_MALFORMED, detail=str(error))
            return http_server.plain_reply(400)
        is_new = heartbeat.process not in self._heard
        self._take(heartbeat)
        answer = self._heartbeat(heartbeat.at, is_new)
        return http_server.plain_reply(
            200, messages.encode(answer), "application/json"
        )

    def close(self) -> None:
        """Closes all connections to peers."""
        for task in self._tasks:
            task.cancel()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes idle connections, such as after a pause."""
        for line in self._lines.values():
            line.pool.close()

    def _is_due(self, address: str, now: float) -> bool:
        line = self._line(address)
        if line.busy:
            return False
        peer = self._context.peers.peer_at(address)
        if (
            peer is None
            or now - peer.last_heartbeat_at > 2 * _ABSENT_INTERVAL_S
        ):
            return now - line.tried_at >= _ABSENT_INTERVAL_S
        if self._context.settings.peers < address:
            return True
        return now - peer.last_heartbeat_at >= _QUIET_S

    def _line(self, address: str) -> _Line:
        line = self._lines.get(address)
        if line is None:
            line = _Line(wire.ConnectionPool(address))
            self._lines[address] = line
        return line

    def _begin(self, address: str, now: float) -> None:
        line = self._line(address)
        line.busy = True
        line.tried_at = now
        task = asyncio.ensure_future(self._exchange(address, line))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(self, address: str, line: _Line) -> None:
        peer = self._context.peers.peer_at(address)
        own = self._heartbeat(line.revision, peer is None)
        try:
            response = await line.pool.post(
                _PATH, messages.encode(own), _TIMEOUT_S
            )
            heartbeat = messages.decode(response.body)
        except wire.TransportError as error:
            self._context.metrics.exchanges.add(error.kind)
            return
        except messages.MessageError as error:
            events.log(
                events.Event.INNER_MESSAGE_MALFORMED,
                peer=address,
                detail=str(error),
            )
            return
        finally:
            line.busy = False
        self._context.metrics.exchanges.add("ok")
        line.revision = max(heartbeat.at, own.at)
        self._take(heartbeat)
        if heartbeat.at < own.at and own.changes is None:
            # The peer lacks records that it was not known to lack.
            line.revision = heartbeat.at
            self._begin(address, clock.monotonic())

    def _heartbeat(self, known: int, is_new: bool) -> messages.Heartbeat:
        """Returns what this process says to one that knows a revision."""
        now = clock.monotonic()
        context = self._context
        catalogue = context.catalogue
        age = catalogue.age(now)
        changes = None
        complete = False
        if catalogue.revision > 0 and known < catalogue.revision:
            lacking = catalogue.since(known)
            complete = lacking.is_snapshot
            changes = [
                messages.RecordChange(c.key, c.revision, c.value)
                for c in lacking.changes
            ]
        return messages.Heartbeat(
            process=context.process,
            address=context.settings.peers,
            uptime_s=round(now - context.started_at, 2),
            at=catalogue.revision,
            age=None if math.isinf(age) else round(age, 3),
            reading=self.reading(),
            leaving=self.leaving,
            addresses=context.peers.addresses() if is_new else [],
            admitted=context.quota.report(now, is_new),
            crashes=[
                messages.CrashCount(r.fingerprint, r.crashes, r.ttl)
                for r in context.crashes.table.own_reports(now)
            ],
            tokens=context.quota.tokens(now) if is_new else None,
            changes=changes,
            complete=complete,
        )

    def _take(self, heartbeat: messages.Heartbeat) -> None:
        now = clock.monotonic()
        context = self._context
        self._hear(heartbeat, now)
        self._line(heartbeat.address).revision = heartbeat.at
        age = math.inf if heartbeat.age is None else heartbeat.age
        if heartbeat.changes is not None:
            changes = records_lib.Update(
                heartbeat.at,
                tuple(
                    records_lib.Change(c.key, c.revision, c.value)
                    for c in heartbeat.changes
                ),
                heartbeat.complete,
            )
            context.catalogue.apply(changes, age, heartbeat.process, now)
        elif heartbeat.age is not None:
            context.catalogue.confirm(heartbeat.at, age, now)
        if heartbeat.tokens is not None and not self._adopted:
            self._adopted = True
            context.quota.adopt_tokens(heartbeat.tokens)
        context.crashes.table.merge_reports(
            heartbeat.process,
            tuple(
                protocol.PoisonReport(c.fingerprint, c.crashes, c.ttl_s)
                for c in heartbeat.crashes
            ),
            now,
        )
        uptime_s = now - context.started_at
        context.quota.merge_report(
            heartbeat.process,
            heartbeat.admitted,
            now,
            heartbeat.uptime_s <= uptime_s + _SAME_START_S,
        )

    def _hear(self, heartbeat: messages.Heartbeat, now: float) -> None:
        peers = self._context.peers
        for address in heartbeat.addresses:
            peers.add_address(address, now)
        replaced = peers.record_heartbeat(
            peer_table.Peer(
                process=heartbeat.process,
                address=heartbeat.address,
                last_heartbeat_at=now,
                revision=heartbeat.at,
                is_reading=heartbeat.reading,
                leaving=heartbeat.leaving,
            )
        )
        if replaced is not None:
            self._context.quota.forget_peer(replaced)
            self._heard.discard(replaced)
            events.log(
                events.Event.PEER_REPLACED,
                peer=heartbeat.process,
                replaced=replaced,
            )
        if heartbeat.process not in self._heard:
            self._heard.add(heartbeat.process)
            events.log(
                events.Event.PEER_HEARD,
                peer=heartbeat.process,
                address=heartbeat.address,
                revision=heartbeat.at,
                fleet=peers.fleet_size(),
            )

    def _note_lost(self, now: float) -> None:
        heard = {p.process for p in self._context.peers.reachable_peers(now)}
        for process in sorted(self._heard - heard):
            self._heard.discard(process)
            events.log(events.Event.PEER_LOST, peer=process, heard=len(heard))
