"""Fetches the published records that this gateway lacks from a peer.

Only one fetch is in flight at a time, so that a gateway receives each change
once, however many peers have it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import record_position
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import http_server
from cassiahead_gateway import messages
from cassiahead_gateway import records
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib
from cassiahead_wire import connection_pool

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RECORDS_PATH", "RecordFetcher"]

RECORDS_PATH = "/records"
# Enough for all records of a large fleet over a slow link.
_FETCH_TIMEOUT_S = 3.0
# Longest time without a byte of the reply, after which another peer is asked.
_MAX_SILENCE_S = 0.8
# Delay of the next fetch when the records could be fetched from no peer.
_RETRY_DELAY_S = 0.3
# Time for which a reply is used again: the ages of the reads in it are those at
# the time when it was built.
_MAX_CACHED_REPLY_AGE_S = 0.2


@attrs.define(eq=False)
class _CachedReply:
    """The last reply, which other peers at the same position get as well.

    Attributes:
        after: Position up to which the peers know the records.
        position: Position of the records in the reply.
        built_at: Time in seconds on this process's monotonic clock.
        body: The compressed message.
    """

    after: record_position.RecordPosition
    position: record_position.RecordPosition
    built_at: float
    body: bytes


@attrs.define(eq=False)
class RecordFetcher:
    """Fetches records from peers, and answers their fetches."""

    _gateway_state: gateway_state_lib.GatewayState
    _task: asyncio.Task[None] | None = None
    # Newest positions announced by peers that could be asked for them.
    _position_by_address: dict[str, record_position.RecordPosition] = (
        attrs.field(factory=dict)
    )
    _cached_reply: _CachedReply | None = None

    def record_announcement(
        self,
        address: str,
        position: record_position.RecordPosition,
        on_records: Callable[[str], None],
    ) -> None:
        """Starts a fetch if a peer has newer records.

        Args:
            address: Address of the peer.
            position: Position up to which the peer knows the records.
            on_records: Called with the address of the peer after its records
                were applied.
        """
        if position <= self._gateway_state.catalogue.position:
            return
        self._position_by_address[address] = position
        if self._task is None:
            self._task = asyncio.ensure_future(self._fetch(on_records))
            self._task.add_done_callback(self._on_done)

    def handle(self, body: bytes) -> http_server.Reply:
        """Answers a peer's request for records.

        Raises:
            messages.MessageError: If the request is malformed.
        """
        request = messages.decode(body, messages.RecordsRequest)
        reply_body = self._reply_body(request.position)
        self._count_bytes(sent=len(reply_body), received=len(body))
        return http_server.plain_reply(200, reply_body, "application/zlib")

    def close(self) -> None:
        """Cancels a fetch in flight."""
        if self._task is not None:
            self._task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            events.log(events.Event.INTERNAL_ERROR, exc_info=task.exception())

    async def _fetch(self, on_records: Callable[[str], None]) -> None:
        """Fetches until no peer is known to have newer records.

        A peer that does not bring newer records is not asked again until it
        announces a position once more.
        """
        while address := self._newest_address():
            if await self._fetch_once(address):
                on_records(address)
                continue
            self._position_by_address.pop(address, None)
            if not self._newest_address():
                await asyncio.sleep(_RETRY_DELAY_S)

    def _newest_address(self) -> str | None:
        """Returns the peer that announced the newest of the lacking records."""
        position = self._gateway_state.catalogue.position
        self._position_by_address = {
            address: announced_position
            for address, announced_position in self._position_by_address.items()
            if announced_position > position
        }
        return max(
            self._position_by_address,
            key=lambda address: self._position_by_address[address],
            default=None,
        )

    async def _fetch_once(self, address: str) -> bool:
        """Fetches from one peer; returns whether records were applied."""
        after = self._gateway_state.catalogue.position
        pool = connection_pool.ConnectionPool(address)
        request = messages.encode(
            messages.RecordsRequest(after.revision, after.era)
        )
        try:
            body = await _post(pool, request)
            self._count_bytes(sent=len(request), received=len(body))
            reply = messages.decode(
                messages.decompress(body), messages.RecordsReply
            )
        except connection_lib.TransportError as error:
            self._gateway_state.metrics.exchanges.add(f"records {error.kind}")
            return False
        except TimeoutError:
            self._gateway_state.metrics.exchanges.add("records silence")
            return False
        except messages.MessageError as error:
            events.log(
                events.Event.INNER_MESSAGE_MALFORMED,
                peer=address,
                detail=str(error),
            )
            return False
        finally:
            pool.close()
        self._gateway_state.metrics.exchanges.add("records ok")
        self._apply(reply, address, is_first=after == record_position.UNKNOWN)
        return self._gateway_state.catalogue.position > after

    def _apply(
        self, reply: messages.RecordsReply, address: str, is_first: bool
    ) -> None:
        now = clock.monotonic()
        gateway_state = self._gateway_state
        peer = gateway_state.peers.peer_at(address)
        for report in reply.reads:
            gateway_state.freshness.record(report, now)
        update = records.Update(
            reply.at,
            tuple(
                records.Change(change.key, change.revision, change.value)
                for change in reply.changes
            ),
            reply.complete,
            reply.era,
            reply.listed,
        )
        gateway_state.catalogue.apply(
            update,
            now - gateway_state.freshness.last_read_at(update.position),
            peer.process_name if peer else address,
            now,
        )
        gateway_state.confirm_records(now)
        if is_first and reply.tokens is not None:
            gateway_state.quota.adopt_tokens(reply.tokens)

    def _count_bytes(self, sent: int, received: int) -> None:
        counter = self._gateway_state.metrics.heartbeat_bytes
        counter.add("sent", sent)
        counter.add("received", received)

    def _reply_body(self, after: record_position.RecordPosition) -> bytes:
        """Returns the compressed records that a peer lacks."""
        gateway_state = self._gateway_state
        position = gateway_state.catalogue.position
        is_first = after == record_position.UNKNOWN
        now = clock.monotonic()
        cached_reply = self._cached_reply
        if (
            not is_first
            and cached_reply is not None
            and (cached_reply.after, cached_reply.position) == (after, position)
            and now - cached_reply.built_at <= _MAX_CACHED_REPLY_AGE_S
        ):
            return cached_reply.body
        update = gateway_state.catalogue.update_since(after)
        reply = messages.RecordsReply(
            at=update.revision,
            changes=[
                messages.RecordChange(change.key, change.revision, change.value)
                for change in update.changes
            ],
            complete=update.is_complete,
            reads=gateway_state.freshness.reports(now),
            tokens=gateway_state.quota.tokens(now) if is_first else None,
            era=update.era,
            listed=update.listing_revision,
        )
        body = messages.compress(messages.encode(reply))
        self._cached_reply = _CachedReply(after, position, now, body)
        return body


async def _post(pool: connection_pool.ConnectionPool, request: bytes) -> bytes:
    """Sends a request for records; returns the body of the reply.

    Raises:
        connection_lib.TransportError: If there was no complete reply in time.
        TimeoutError: If no byte of the reply arrived for too long.
    """
    pieces: list[bytes] = []
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(_MAX_SILENCE_S) as silence:

        def on_data(piece: bytes) -> None:
            pieces.append(piece)
            silence.reschedule(loop.time() + _MAX_SILENCE_S)

        response = await pool.post(
            RECORDS_PATH, request, _FETCH_TIMEOUT_S, on_data
        )
    return b"".join(pieces) or response.body
