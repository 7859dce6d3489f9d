"""HTTP server that runs one handler coroutine for each request.

The coroutine is cancelled when the client closes the connection. Clients that
exceed the limits are refused, or their connections closed, before their
requests are handled.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import sys
from typing import TYPE_CHECKING
from typing import Any

import attrs
from tornado import http1connection
from tornado import iostream

from cassiahead_gateway import evictions
from cassiahead_gateway import http_messages
from cassiahead_gateway import listener as listener_lib
from cassiahead_gateway import server_limits
from cassiahead_gateway import server_transaction
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import memory_budget
from cassiahead_wire import server_stream
from cassiahead_wire import turn_queue

if TYPE_CHECKING:
    from collections.abc import Coroutine
    import socket

    from tornado import httputil

__all__ = ["Handler", "HttpServer", "Reply", "Request", "plain_reply"]

Handler = http_messages.Handler
Reply = http_messages.Reply
Request = http_messages.Request
plain_reply = http_messages.plain_reply

_DEFAULT_LIMITS = server_limits.ServerLimits()
_SWEEP_INTERVAL_S = 0.25
# Time in which the process was suspended does not count towards the timeouts
# of clients.
_MAX_SWEEP_INTERVAL_S = 0.5
# Seconds after which a client loses its connection when connections or memory
# run out. Clients within the limits send a request at once.
_MIN_S_FOR_CONNECTIONS = {
    evictions.EvictionStage.DELAYING: 0.25,
    evictions.EvictionStage.KEPT: 2.0,
}
_MIN_S_FOR_MEMORY = {evictions.EvictionStage.DELAYING: 1.0}
# Connections that hold less are not closed for their memory.
_MIN_FREED_BYTES = 4 * 1024
_MAX_REQUEST_LINE_BYTES = 8 * 1024
# Most refused connections that are kept open at a time to deliver the
# response; also at most one eighth of the limit on connections.
_MAX_REFUSED_CONNECTIONS = 64


@attrs.define(eq=False)
class HttpServer:
    """HTTP server on one address.

    Attributes:
        handler: Called with each request.
        budget: Counts the bytes held for clients.
        record_refusal: Called for each client that is refused.
        turns: Turns of the clients with long requests.
        is_closing: Whether to close each connection after its next reply.
        active_time: Seconds for which the process has run, as of the last
            sweep. Timeouts of clients are measured on this clock.
    """

    _address: str
    handler: http_messages.Handler
    _get_limits: server_limits.LimitsSource = lambda: _DEFAULT_LIMITS
    budget: memory_budget.MemoryBudget = attrs.field(
        factory=memory_budget.MemoryBudget
    )
    record_refusal: Callable[[server_limits.Refusal], None] = lambda _refusal: (
        None
    )
    _echoed_header: str = ""
    turns: turn_queue.TurnQueue = attrs.field(factory=turn_queue.TurnQueue)
    is_closing: bool = False
    active_time: float = 0.0
    _transactions: dict[
        server_stream.ServerStream, server_transaction.ServerTransaction
    ] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _count_by_ip: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _refused_count: int = 0
    _evictions: evictions.EvictionQueue[
        server_transaction.ServerTransaction
    ] = attrs.field(
        default=attrs.Factory(
            lambda self: evictions.EvictionQueue(
                self._transactions.values, _MIN_S_FOR_CONNECTIONS
            ),
            takes_self=True,
        )
    )
    _memory_evictions: evictions.EvictionQueue[
        server_transaction.ServerTransaction
    ] = attrs.field(
        default=attrs.Factory(
            lambda self: evictions.EvictionQueue(
                self._transactions.values,
                _MIN_S_FOR_MEMORY,
                lambda transaction: transaction.held_bytes > _MIN_FREED_BYTES,
            ),
            takes_self=True,
        )
    )
    _params: (
        tuple[
            server_limits.ServerLimits,
            http1connection.HTTP1ConnectionParameters,
        ]
        | None
    ) = None
    _listener: listener_lib.Listener = attrs.field(
        default=attrs.Factory(
            lambda self: listener_lib.Listener(self._address, self._accept),
            takes_self=True,
        )
    )
    _swept_at: float = 0.0
    _sweep_timer: asyncio.TimerHandle | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._transactions)

    @property
    def in_flight_count(self) -> int:
        """Number of requests that are being received or handled."""
        return sum(1 for t in self._transactions.values() if not t.is_idle)

    @property
    def clock_granularity_s(self) -> float:
        """Seconds by which ``active_time`` may be late."""
        return _MAX_SWEEP_INTERVAL_S

    def listen(self) -> None:
        """Starts listening on the address."""
        self.budget.free_memory = self._free_memory
        self._listener.start()
        self._swept_at = clock.monotonic()
        self._schedule_sweep()

    def stop_listening(self) -> None:
        """Accepts no more connections; open connections are kept."""
        self._listener.stop()

    def close_idle(self) -> None:
        """Closes the connections on which no request is being served.

        A request that arrives while its connection is being closed is not
        served, so its sender may safely repeat it elsewhere.
        """
        for transaction in [
            t for t in self._transactions.values() if t.is_idle
        ]:
            transaction.close()

    def refuse_unfinished(self) -> None:
        """Refuses the requests whose bodies have not arrived."""
        for transaction in list(self._transactions.values()):
            if transaction.is_receiving_body:
                transaction.refuse_as_late()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._listener.stop()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for stream in list(self._transactions):
            stream.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task that ``close`` waits for."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def echoed_header_lines(
        self, headers: httputil.HTTPHeaders
    ) -> tuple[str, ...]:
        """Returns the header lines that a refusal repeats from a request."""
        if not self._echoed_header:
            return ()
        return (
            f"{self._echoed_header}: {headers.get(self._echoed_header, '')}",
        )

    def _accept(self, sock: socket.socket, ip: str) -> None:
        limits = self._get_limits()
        per_address = limits.max_connections_per_address
        is_refused = bool(per_address) and self._count_by_ip[ip] >= per_address
        if not is_refused and len(self._transactions) >= limits.max_connections:
            is_refused = not self._evictions.evict(self.active_time)
        if is_refused:
            self.record_refusal(server_limits.Refusal.TOO_MANY_CONNECTIONS)
            max_refused = min(
                _MAX_REFUSED_CONNECTIONS, limits.max_connections // 8
            )
            if self._refused_count >= max_refused:
                sock.close()
                return
        try:
            stream = server_stream.ServerStream(sock, self.budget, self.turns)
        except OSError:
            # The client has reset the connection.
            sock.close()
            return
        if is_refused:
            self._refused_count += 1
            self.spawn(self._refuse_connection(stream))
        else:
            self._count_by_ip[ip] += 1
            transaction = self._start_transaction(stream, is_first=True)
            self.spawn(self._serve(stream, ip, transaction))

    async def _refuse_connection(
        self, stream: server_stream.ServerStream
    ) -> None:
        try:
            stream.refuse(
                server_limits.refusal_response(
                    server_limits.Refusal.TOO_MANY_CONNECTIONS
                )
            )
            await stream.wait_refused()
        finally:
            self._refused_count -= 1
            stream.close()

    async def _serve(
        self,
        stream: server_stream.ServerStream,
        ip: str,
        transaction: server_transaction.ServerTransaction,
    ) -> None:
        """Serves the requests of one connection, from the first one on."""
        try:
            while await transaction.run():
                # Pipelined requests must not hold up other connections.
                await asyncio.sleep(0)
                transaction = self._start_transaction(stream, is_first=False)
        except iostream.StreamClosedError:
            await stream.wait_refused()
        except Exception as error:
            events.log(events.Event.INTERNAL_ERROR, exc_info=error)
        finally:
            stream.close()
            self._transactions.pop(stream, None)
            self._count_by_ip[ip] -= 1
            if not self._count_by_ip[ip]:
                del self._count_by_ip[ip]

    def _start_transaction(
        self, stream: server_stream.ServerStream, is_first: bool
    ) -> server_transaction.ServerTransaction:
        limits = self._get_limits()
        transaction = server_transaction.ServerTransaction(
            self, stream, limits, self._parser_params(limits), is_first
        )
        self._transactions[stream] = transaction
        return transaction

    def _parser_params(
        self, limits: server_limits.ServerLimits
    ) -> http1connection.HTTP1ConnectionParameters:
        if self._params is None or self._params[0] is not limits:
            params = http1connection.HTTP1ConnectionParameters(
                max_header_size=limits.max_header_bytes
                + _MAX_REQUEST_LINE_BYTES,
                # The transaction limits the body.
                max_body_size=sys.maxsize,
            )
            self._params = (limits, params)
        return self._params[1]

    def _free_memory(self) -> bool:
        """Closes a connection for its memory; returns whether there was one."""
        return self._memory_evictions.evict(self.active_time)

    def remove(self, stream: server_stream.ServerStream) -> None:
        """Forgets an evicted connection."""
        self._transactions.pop(stream, None)

    def _schedule_sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(
            _SWEEP_INTERVAL_S, self._sweep
        )

    def _sweep(self) -> None:
        """Ends what clients have delayed for too long."""
        now = clock.monotonic()
        self.active_time += min(now - self._swept_at, _MAX_SWEEP_INTERVAL_S)
        self._swept_at = now
        for transaction in list(self._transactions.values()):
            transaction.check_timeouts(self.active_time)
        self._schedule_sweep()
