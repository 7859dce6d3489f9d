"""Exchanges heartbeats with other gateways of the fleet.

Heartbeats carry membership, the revision and age of the published records,
admissions by client account and crashes of targets, so that the fleet needs no
shared store for them. A gateway sends them to one partner of each group (see
``peer_groups``): at once when there is news of the records, otherwise at an
interval that grows with the number of partners.
"""

from __future__ import annotations

import asyncio
import contextlib
import math

import attrs

from cassiahead_decisions import heartbeat_schedule
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import heartbeat_failures
from cassiahead_gateway import heartbeats
from cassiahead_gateway import http_server
from cassiahead_gateway import messages
from cassiahead_gateway import record_fetcher
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib
from cassiahead_wire import connection_pool

__all__ = ["HeartbeatExchanger"]

_HEARTBEAT_TIMEOUT_S = 0.8
# Longest time between two checks for heartbeats that are due.
_CHECK_INTERVAL_S = 0.1


@attrs.define(eq=False)
class _PeerChannel:
    """State of the heartbeats exchanged with one address.

    Attributes:
        pool: Connections to the address.
        contact: What the peer knows, and when it was last in touch.
        known_address_count: Number of own known addresses that were sent.
        wants_full: Whether the peer needs a full heartbeat.
        may_lack_reply: Whether a reply of the peer may have been lost since its
            last full heartbeat, with what the peer takes for known here.
        is_busy: Whether a heartbeat is in flight.
    """

    pool: connection_pool.ConnectionPool
    contact: heartbeat_schedule.Contact = attrs.field(
        factory=heartbeat_schedule.Contact
    )
    known_address_count: int = 0
    wants_full: bool = False
    may_lack_reply: bool = False
    is_busy: bool = False


@attrs.define(eq=False)
class HeartbeatExchanger:
    """Sends heartbeats to the partners and answers those of all peers."""

    _gateway_state: gateway_state_lib.GatewayState
    _protocol: heartbeats.HeartbeatProtocol
    _fetcher: record_fetcher.RecordFetcher
    _channel_by_address: dict[str, _PeerChannel] = attrs.field(factory=dict)
    _failure_log: heartbeat_failures.HeartbeatFailureLog = attrs.field(
        factory=heartbeat_failures.HeartbeatFailureLog
    )
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _has_news: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Groups of the peers that the newest records and the newest read came from.
    _position_group: int = heartbeat_schedule.NO_GROUP
    _read_group: int = heartbeat_schedule.NO_GROUP

    @classmethod
    def from_state(
        cls, gateway_state: gateway_state_lib.GatewayState
    ) -> HeartbeatExchanger:
        """Creates the exchanger of a gateway that knows no peers."""
        return cls(
            gateway_state,
            heartbeats.HeartbeatProtocol(gateway_state),
            record_fetcher.RecordFetcher(gateway_state),
        )

    async def run(self) -> None:
        """Sends the heartbeats that are due, until cancelled."""
        while True:
            self._has_news.clear()
            now = clock.monotonic()
            self._protocol.forget_lost_peers(now)
            self._send_due(now)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._has_news.wait()

    def add_seeds(self) -> None:
        """Adds the seed addresses of the settings to the known addresses."""
        self._gateway_state.peers.add_seeds(self._gateway_state.settings.seeds)

    def notify_own_read(self) -> None:
        """Tells the partners soon of a read by this process."""
        self._position_group = heartbeat_schedule.NO_GROUP
        self._read_group = heartbeat_schedule.NO_GROUP
        self._has_news.set()

    def announce_leaving(self) -> None:
        """Tells all peers in touch that this process is shutting down."""
        self._protocol.is_leaving = True
        now = clock.monotonic()
        for peer in self._gateway_state.peers.reachable_peers(now):
            channel = self._channel(peer.address)
            if not channel.is_busy:
                self._start_heartbeat(peer.address, channel)

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Answers a peer's heartbeat or its request for records.

        Args:
            request: The complete request.

        Returns:
            Status 200 with a message; 404 for another path or method; 400 for
            a malformed message.
        """
        if request.method != "POST":
            return http_server.plain_reply(404)
        try:
            match request.path:
                case heartbeats.HEARTBEAT_PATH:
                    return self._handle_heartbeat(request.body)
                case record_fetcher.RECORDS_PATH:
                    return self._fetcher.handle(request.body)
        except messages.MessageError as error:
            events.log(events.Event.INNER_MESSAGE_MALFORMED, detail=str(error))
            return http_server.plain_reply(400)
        return http_server.plain_reply(404)

    def close(self) -> None:
        """Cancels the heartbeats in flight and closes idle connections."""
        for task in self._tasks:
            task.cancel()
        self._fetcher.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes idle connections to peers.

        Also needed after a pause of the process, during which connections may
        have broken.
        """
        for channel in self._channel_by_address.values():
            channel.pool.close()

    def _handle_heartbeat(self, body: bytes) -> http_server.Reply:
        heartbeat = messages.decode_heartbeat(body)
        channel = self._channel(heartbeat.address)
        self._protocol.record_acknowledgement(heartbeat)
        reply = self._build(
            heartbeat.address, channel, heartbeat.wants_full, clock.monotonic()
        )
        channel.known_address_count = self._gateway_state.peers.address_count
        self._apply(heartbeat, channel)
        channel.wants_full = False
        reply_body = messages.encode_heartbeat(reply)
        metrics = self._gateway_state.metrics
        metrics.heartbeat_bytes.add("received", len(body))
        metrics.heartbeat_bytes.add("sent", len(reply_body))
        return http_server.plain_reply(200, reply_body, "application/zlib")

    def _send_due(self, now: float) -> None:
        """Starts the heartbeats to partners and lost peers that are due."""
        gateway_state = self._gateway_state
        partners = gateway_state.peers.partners()
        schedule = heartbeat_schedule.HeartbeatSchedule(
            partner_count=len(partners),
            has_admissions=gateway_state.quota.has_recent_admissions(now)
            or gateway_state.load.is_active(now),
            position=gateway_state.catalogue.position,
            read_at=now - gateway_state.catalogue.age_s(now),
            address_count=gateway_state.peers.address_count,
            uptime_s=now - gateway_state.started_at,
            position_group=self._position_group,
            read_group=self._read_group,
            overload_age_s=now - gateway_state.load.active_since(),
        )
        for group, address in partners.items():
            channel = self._channel(address)
            if channel.is_busy:
                continue
            if channel.wants_full or schedule.is_due(
                channel.contact, channel.known_address_count, now, group
            ):
                self._start_heartbeat(address, channel)
        for address in gateway_state.peers.retry_addresses(now):
            channel = self._channel(address)
            if not channel.is_busy:
                self._start_heartbeat(address, channel)

    def _channel(self, address: str) -> _PeerChannel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = _PeerChannel(connection_pool.ConnectionPool(address))
            self._channel_by_address[address] = channel
        return channel

    def _start_heartbeat(self, address: str, channel: _PeerChannel) -> None:
        channel.is_busy = True
        task = asyncio.ensure_future(self._send_heartbeat(address, channel))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            events.log(events.Event.INTERNAL_ERROR, exc_info=task.exception())

    async def _send_heartbeat(
        self, address: str, channel: _PeerChannel
    ) -> None:
        gateway_state = self._gateway_state
        is_full = (
            channel.wants_full or gateway_state.peers.peer_at(address) is None
        )
        address_count = gateway_state.peers.address_count
        own_heartbeat = self._build(
            address, channel, is_full, clock.monotonic()
        )
        body = messages.encode_heartbeat(own_heartbeat)
        gateway_state.metrics.heartbeat_bytes.add("sent", len(body))
        try:
            response = await channel.pool.post(
                heartbeats.HEARTBEAT_PATH, body, _HEARTBEAT_TIMEOUT_S
            )
            heartbeat = messages.decode_heartbeat(response.body)
        except connection_lib.TransportError as error:
            channel.may_lack_reply |= error.may_have_been_sent
            self._record_failure(address, error.kind, len(body))
            return
        except messages.MessageError as error:
            self._record_failure(address, "undecodable", len(body))
            events.log(
                events.Event.INNER_MESSAGE_MALFORMED,
                peer=address,
                detail=str(error),
            )
            return
        finally:
            channel.is_busy = False
        gateway_state.metrics.exchanges.add("ok")
        gateway_state.metrics.heartbeat_bytes.add(
            "received", len(response.body)
        )
        channel.known_address_count = address_count
        self._apply(heartbeat, channel)

    def _build(
        self, address: str, channel: _PeerChannel, is_full: bool, now: float
    ) -> messages.Heartbeat:
        """Returns a heartbeat and notes what the peer will know."""
        gateway_state = self._gateway_state
        channel.contact.record(
            now,
            gateway_state.catalogue.position,
            now - gateway_state.catalogue.age_s(now),
        )
        heartbeat = self._protocol.build(
            address,
            gateway_state.peers.addresses_since(channel.known_address_count),
            is_full,
            now,
        )
        if channel.may_lack_reply:
            return attrs.evolve(heartbeat, wants_full=True)
        return heartbeat

    def _apply(
        self, heartbeat: messages.Heartbeat, channel: _PeerChannel
    ) -> None:
        now = clock.monotonic()
        age_before_s = self._gateway_state.catalogue.age_s(now)
        active_since = self._gateway_state.load.active_since()
        self._protocol.apply(heartbeat, now)
        channel.wants_full = heartbeat.wants_full
        channel.may_lack_reply &= not heartbeat.is_full
        channel.contact.record(
            now,
            heartbeat.position,
            now - _newest_read_age_s(heartbeat),
        )
        self._fetcher.record_announcement(
            heartbeat.address, heartbeat.position, self._on_records
        )
        if self._gateway_state.catalogue.age_s(now) < age_before_s:
            self._read_group = self._gateway_state.peers.group_of(
                heartbeat.address
            )
            self._has_news.set()
        if self._gateway_state.load.active_since() > active_since:
            self._has_news.set()

    def _on_records(self, address: str) -> None:
        """Tells the partners soon of records and reads that a peer has sent."""
        group = self._gateway_state.peers.group_of(address)
        self._position_group = group
        self._read_group = group
        self._has_news.set()

    def _record_failure(self, address: str, kind: str, sent_bytes: int) -> None:
        """Leaves an address out until it answers, and tries another one."""
        now = clock.monotonic()
        self._gateway_state.metrics.exchanges.add(kind)
        self._failure_log.record(address, kind, sent_bytes, now)
        self._gateway_state.peers.record_failure(address, now)
        self._has_news.set()


def _newest_read_age_s(heartbeat: messages.Heartbeat) -> float:
    """Returns the age of the newest read that confirms the sender's records.

    Reads of an older era than the sender's confirm nothing.
    """
    return min(
        (r.age_s for r in heartbeat.reads if r.era >= heartbeat.era),
        default=math.inf,
    )
