"""Runs the exchanges with other daemons and logs the changes they cause."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_decisions import exchange_schedule
from cassiahead_protocol import api
from cassiahead_protocol import codec
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

__all__ = ["EXCHANGE_PATH", "Exchanger"]

EXCHANGE_PATH = "/inner/exchange"
_EXCHANGE_TIMEOUT_S = 0.35
# A gap between two ticks that is longer than this is logged as a pause of the
# process.
_PAUSE_THRESHOLD_S = 1.0
_MAX_PEERS_PER_TICK = 24


@attrs.define
class Exchanger:
    """Runs exchanges at intervals, and earlier when homes have moved.

    A condition that lasts, such as being superseded, is logged when it begins,
    not with each exchange.
    """

    _daemon_state: daemon_state_lib.DaemonState
    _last_tick_at: float = attrs.field(factory=clock.monotonic)
    _was_ready: bool = False
    _was_superseded: bool = False
    _had_ledger_conflict: bool = False
    _was_ceiling_exceeded: bool = False
    _previously_held_resources: frozenset[str] = frozenset()
    _schedule: exchange_schedule.ExchangeSchedule = attrs.field(
        factory=exchange_schedule.ExchangeSchedule
    )
    _schedule_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _peer_addresses_with_exchange_in_flight: set[str] = attrs.field(factory=set)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self) -> None:
        """Runs exchanges at the scheduled times until cancelled."""
        while True:
            self.tick()
            home_map_version = self._daemon_state.peering.home_map_version()
            self._schedule.record_exchange(home_map_version, clock.monotonic())
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        while (wait_s := self._schedule.next_due_at - clock.monotonic()) > 0:
            self._schedule_changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._schedule_changed.wait()

    def _reschedule_if_homes_moved(self) -> None:
        """Brings the next exchange forward if the homes have moved."""
        home_map_version = self._daemon_state.peering.home_map_version()
        if self._schedule.bring_forward_if_moved(home_map_version):
            self._schedule_changed.set()

    def tick(self) -> None:
        """Updates readiness, rights and members, and starts exchanges.

        The exchanges run in the background, with all peers or, in a large
        fleet, with a random sample of them.
        """
        now = clock.monotonic()
        if now - self._last_tick_at > _PAUSE_THRESHOLD_S:
            events.log(
                events.Event.PAUSED, seconds=round(now - self._last_tick_at, 3)
            )
        self._last_tick_at = now
        configuration = self._daemon_state.configuration()
        self._update_readiness()
        peering = self._daemon_state.peering
        peering.tick(configuration, now)
        peering.members.forget_silent_peers(now)
        peering.poison_table.forget_expired(now)
        self._log_home_changes()
        self._log_ceiling_exceeded()
        peer_addresses = peering.members.peer_addresses()
        if len(peer_addresses) > _MAX_PEERS_PER_TICK:
            peer_addresses = self._daemon_state.rng.sample(
                peer_addresses, _MAX_PEERS_PER_TICK
            )
        for peer_address in peer_addresses:
            self._start_exchange(peer_address)

    def handle_exchange(self, body: bytes) -> bytes:
        """Answers the exchange request of a peer.

        Args:
            body: An encoded ``Exchange``.

        Returns:
            The encoded reply, also an ``Exchange``.

        Raises:
            codec.ProtocolError: If the body is malformed.
        """
        request = codec.decode(body, api.Exchange)
        now = clock.monotonic()
        peering = self._daemon_state.peering
        reply = peering.handle_request(
            request, self._daemon_state.configuration(), now
        )
        if request.revision > peering.note_log.revision:
            self._start_exchange(request.sender.address)
        self._log_superseded()
        self._reschedule_if_homes_moved()
        return codec.encode(reply)

    async def release_rights(self) -> None:
        """Gives unused rights back to the peers that lent them.

        Two rounds of exchanges are awaited: the first round leaves out each
        peer to which an exchange is still in flight, whose request may have
        been built before the rights were dropped. Exchanges that start later
        are not awaited, so that a silent peer cannot hold up the stop.
        """
        for _ in range(2):
            self.tick()
            if self._tasks:
                await asyncio.wait(self._tasks)

    def _start_exchange(self, peer_address: str) -> None:
        if peer_address in self._peer_addresses_with_exchange_in_flight:
            return
        self._peer_addresses_with_exchange_in_flight.add(peer_address)
        task = asyncio.ensure_future(self._exchange_with(peer_address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange_with(self, peer_address: str) -> None:
        daemon_state = self._daemon_state
        try:
            request_sent_at = clock.monotonic()
            request = daemon_state.peering.build_request(
                peer_address, daemon_state.configuration(), request_sent_at
            )
            response = await daemon_state.connection_pool(peer_address).post(
                EXCHANGE_PATH, codec.encode(request), _EXCHANGE_TIMEOUT_S
            )
            reply = codec.decode(response.body, api.Exchange)
            daemon_state.record_peer_response(peer_address)
            reply_result = daemon_state.peering.handle_reply(
                reply, request_sent_at, clock.monotonic()
            )
            daemon_state.telemetry.metrics.exchanges.add(1, {"result": "ok"})
            daemon_state.log_verdicts(reply_result.verdicts)
            self._log_ledger_conflict(
                reply_result.has_ledger_conflict, peer_address
            )
            if reply_result.verdicts:
                # Applies a configuration that has newly come into force.
                daemon_state.configuration()
        except connection_lib.TransportError as error:
            daemon_state.telemetry.metrics.exchanges.add(
                1, {"result": error.kind}
            )
        except codec.ProtocolError as error:
            events.log(
                events.Event.INNER_MESSAGE_MALFORMED,
                peer=peer_address,
                detail=str(error),
            )
        except Exception as error:
            events.log(
                events.Event.INTERNAL_ERROR, exc_info=error, peer=peer_address
            )
        finally:
            self._peer_addresses_with_exchange_in_flight.discard(peer_address)
        self._log_superseded()
        self._reschedule_if_homes_moved()

    def _update_readiness(self) -> None:
        reason = self._daemon_state.unavailable_reason()
        is_ready = reason is None
        self._daemon_state.peering.is_ready = is_ready
        if is_ready and not self._was_ready:
            events.log(events.Event.READY)
        if self._was_ready and not is_ready:
            events.log(events.Event.UNREADY, reason=reason)
        self._was_ready = is_ready

    def _log_ceiling_exceeded(self) -> None:
        peering = self._daemon_state.peering
        now = clock.monotonic()
        alive_count = len(
            peering.members.alive_processes(
                self._daemon_state.process.role, now
            )
        )
        ceiling = peering.ceiling.effective_value(now)
        is_exceeded = alive_count > ceiling
        if is_exceeded and not self._was_ceiling_exceeded:
            events.log(
                events.Event.CEILING_EXCEEDED,
                alive=alive_count,
                ceiling=ceiling,
            )
        self._was_ceiling_exceeded = is_exceeded

    def _log_superseded(self) -> None:
        is_superseded = self._daemon_state.peering.members.is_superseded()
        if is_superseded and not self._was_superseded:
            events.log(
                events.Event.SUPERSEDED,
                address=self._daemon_state.process.address,
            )
        self._was_superseded = is_superseded

    def _log_ledger_conflict(
        self, has_conflict: bool, peer_address: str
    ) -> None:
        if has_conflict and not self._had_ledger_conflict:
            events.log(
                events.Event.LEDGER_CONFLICT,
                peer=peer_address,
                revision=self._daemon_state.peering.note_log.revision,
            )
        self._had_ledger_conflict = has_conflict

    def _log_home_changes(self) -> None:
        held_resources = frozenset(
            self._daemon_state.peering.borrower.held_resources()
        )
        if taken_resources := held_resources - self._previously_held_resources:
            events.log(
                events.Event.HOME_TAKEN, resources=sorted(taken_resources)
            )
        if left_resources := self._previously_held_resources - held_resources:
            events.log(events.Event.HOME_LEFT, resources=sorted(left_resources))
        self._previously_held_resources = held_resources
