"""Carries the exchanges with the other daemons."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from cassiahead_daemon import node as node_lib
from cassiahead_decisions import exchange_schedule
from cassiahead_protocol import api
from cassiahead_protocol import codec
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

__all__ = ["EXCHANGE_PATH", "Exchanger"]

EXCHANGE_PATH = "/inner/exchange"
_TIMEOUT_S = 0.35
_PAUSE_S = 1.0
_FANOUT = 24


@attrs.define
class Exchanger:
    """Exchanges messages with the other daemons at a fixed interval."""

    _node: node_lib.Node
    _ticked_at: float = attrs.field(factory=clock.monotonic)
    _was_ready: bool = False
    _was_superseded: bool = False
    _was_conflicting: bool = False
    _was_exceeded: bool = False
    _homes: frozenset[str] = frozenset()
    _pace: exchange_schedule.ExchangeSchedule = attrs.field(
        factory=exchange_schedule.ExchangeSchedule
    )
    _moved: asyncio.Event = attrs.field(factory=asyncio.Event)
    _asking: set[str] = attrs.field(factory=set)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self) -> None:
        """Exchanges until cancelled, more often just after a change."""
        while True:
            self.tick()
            basis = self._node.peering.home_map_version()
            self._pace.record_exchange(basis, clock.monotonic())
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        while (wait := self._pace.next_due_at - clock.monotonic()) > 0:
            self._moved.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._moved.wait(), wait)

    def _follow_moves(self) -> None:
        """Exchanges soon if a message shows that the homes have moved."""
        basis = self._node.peering.home_map_version()
        if self._pace.bring_forward_if_moved(basis):
            self._moved.set()

    def tick(self) -> None:
        """Does the work of one interval; exchanges go on in the background."""
        now = clock.monotonic()
        if now - self._ticked_at > _PAUSE_S:
            events.log(
                events.Event.PAUSED, seconds=round(now - self._ticked_at, 3)
            )
        self._ticked_at = now
        configuration = self._node.configuration()
        self._follow_readiness()
        peering = self._node.peering
        peering.tick(configuration, now)
        peering.members.forget_silent_peers(now)
        peering.poison.forget_expired(now)
        self._follow_homes()
        self._follow_ceiling()
        contacts = peering.members.peer_addresses()
        if len(contacts) > _FANOUT:
            contacts = self._node.rng.sample(contacts, _FANOUT)
        for peer in contacts:
            self._start_asking(peer)

    def answer(self, body: bytes) -> bytes:
        """Answers the exchange of a peer.

        Raises:
            codec.ProtocolError: If the body is no exchange.
        """
        request = codec.decode(body, api.Exchange)
        now = clock.monotonic()
        peering = self._node.peering
        reply = peering.handle_request(request, self._node.configuration(), now)
        if request.revision > peering.note_log.revision:
            self._start_asking(request.sender.address)
        self._follow_superseded()
        self._follow_moves()
        return codec.encode(reply)

    async def hand_back(self) -> None:
        """Exchanges once with all peers, to hand back what was dropped."""
        self.tick()
        while self._tasks:
            await asyncio.wait(self._tasks)
        self.tick()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _start_asking(self, peer: str) -> None:
        if peer in self._asking:
            return
        self._asking.add(peer)
        task = asyncio.ensure_future(self._ask(peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, peer: str) -> None:
        node = self._node
        try:
            asked_at = clock.monotonic()
            request = node.peering.build_request(
                peer, node.configuration(), asked_at
            )
            response = await node.pool(peer).post(
                EXCHANGE_PATH, codec.encode(request), _TIMEOUT_S
            )
            reply = codec.decode(response.body, api.Exchange)
            node.hear(peer)
            absorbed = node.peering.handle_reply(
                reply, asked_at, clock.monotonic()
            )
            node.telemetry.metrics.exchanges.add(1, {"result": "ok"})
            node.report_verdicts(absorbed.verdicts)
            self._follow_conflict(absorbed.has_ledger_conflict, peer)
            if absorbed.verdicts:
                node.configuration()
        except wire.TransportError as error:
            node.telemetry.metrics.exchanges.add(1, {"result": error.kind})
        except codec.ProtocolError as error:
            events.log(
                events.Event.INNER_MESSAGE_MALFORMED,
                peer=peer,
                detail=str(error),
            )
        except Exception as error:
            events.log(events.Event.INTERNAL_ERROR, exc_info=error, peer=peer)
        finally:
            self._asking.discard(peer)
        self._follow_superseded()
        self._follow_moves()

    def _follow_readiness(self) -> None:
        reason = self._node.obstacle()
        ready = reason is None
        self._node.peering.ready = ready
        if ready and not self._was_ready:
            events.log(events.Event.READY)
        if self._was_ready and not ready:
            events.log(events.Event.UNREADY, reason=reason)
        self._was_ready = ready

    def _follow_ceiling(self) -> None:
        peering = self._node.peering
        now = clock.monotonic()
        alive = len(
            peering.members.alive_processes(self._node.process.role, now)
        )
        ceiling = peering.ceiling.effective_value(now)
        exceeded = alive > ceiling
        if exceeded and not self._was_exceeded:
            events.log(
                events.Event.CEILING_EXCEEDED, alive=alive, ceiling=ceiling
            )
        self._was_exceeded = exceeded

    def _follow_superseded(self) -> None:
        superseded = self._node.peering.members.is_superseded()
        if superseded and not self._was_superseded:
            events.log(
                events.Event.SUPERSEDED, address=self._node.process.address
            )
        self._was_superseded = superseded

    def _follow_conflict(self, conflict: bool, peer: str) -> None:
        if conflict and not self._was_conflicting:
            events.log(
                events.Event.LEDGER_CONFLICT,
                peer=peer,
                revision=self._node.peering.note_log.revision,
            )
        self._was_conflicting = conflict

    def _follow_homes(self) -> None:
        held = frozenset(self._node.peering.borrower.held_resources())
        if taken := held - self._homes:
            events.log(events.Event.HOME_TAKEN, resources=sorted(taken))
        if left := self._homes - held:
            events.log(events.Event.HOME_LEFT, resources=sorted(left))
        self._homes = held
