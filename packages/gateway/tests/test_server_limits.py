"""HTTP server: refusals of clients beyond the limits, and what stays served."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

import attrs
import pytest

from cassiahead_gateway import http_server
from cassiahead_gateway import server_limits
from cassiahead_wire import body_stream
from cassiahead_wire import memory_budget

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

_LIMITS = server_limits.ServerLimits(
    max_header_bytes=1000,
    max_body_bytes=1000,
    header_timeout_s=0.2,
    idle_timeout_s=2.0,
    body_timeout_s=0.2,
    unread_reply_timeout_s=0.2,
    max_connections=8,
)
_GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
_CLOSING_GET = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
_CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Server:
    """A server that answers with the request's body, or a fixed one."""

    def __init__(self, limits: server_limits.ServerLimits) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        self.request_count = 0
        self.delay_s = 0.0
        self.answer: bytes | None = None
        self.stream: body_stream.BodyStream | None = None
        self.refusals: list[server_limits.Refusal] = []
        self.budget = memory_budget.MemoryBudget()
        self.http = http_server.HttpServer(
            f"127.0.0.1:{self.port}",
            self._handle,
            lambda: limits,
            self.budget,
            self.refusals.append,
        )
        self.http.listen()

    async def _handle(self, request: http_server.Request) -> http_server.Reply:
        self.request_count += 1
        await asyncio.sleep(self.delay_s)
        body = request.body if self.answer is None else self.answer
        reply = http_server.plain_reply(200, body)
        return attrs.evolve(reply, stream=self.stream)

    @contextlib.asynccontextmanager
    async def connection(
        self,
    ) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            yield reader, writer
        finally:
            writer.close()

    async def exchange(self, data: bytes) -> bytes:
        """Returns all that the server sends until it closes."""
        async with self.connection() as (reader, writer), asyncio.timeout(20):
            writer.write(data)
            return await reader.read()


def _run(
    test: Callable[[_Server], Awaitable[None]],
    limits: server_limits.ServerLimits = _LIMITS,
) -> None:
    async def main() -> None:
        server = _Server(limits)
        try:
            async with asyncio.timeout(60):
                await test(server)
        finally:
            await server.http.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nContent-Length: " + b"9" * 500, 413),
        (_CHUNKED + b"3e9\r\n" + b"x" * 1001, 413),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * 1001 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * 100_000, 431),
        (b"GET / HTTP/1.1\r\nA: a\r\n", 408),
        (b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nx", 408),
        (b"no request\r\n\r\n", 400),
        (_CHUNKED + b"x\r\n", 400),
        (_CHUNKED + b"1;" + b"e" * 9000 + b"\r\n", 400),
        (_CHUNKED + b"0\r\n" + b"T: t\r\n" * 2000, 400),
        (_CHUNKED + b"0\r\nno trailer\r\n\r\n", 400),
    ],
    ids=lambda value: str(value)[:60],
)
def test_client_beyond_a_limit_is_refused_unserved(
    data: bytes, status: int
) -> None:
    async def test(server: _Server) -> None:
        if data.endswith(b"9"):
            answer = await server.exchange(data + b"\r\n\r\n")
        else:
            answer = await server.exchange(data)
        assert answer.startswith(f"HTTP/1.1 {status} ".encode()), answer
        assert server.request_count == 0
        assert len(server.refusals) == 1
        assert server.budget.held_bytes == 0

    _run(test)


def test_request_is_refused_while_memory_is_short() -> None:
    async def test(server: _Server) -> None:
        server.budget.hold(2**40)
        answer = await server.exchange(_GET)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: " in answer
        assert server.request_count == 0

    _run(test)


def test_paused_body_is_refused_before_a_stop() -> None:
    # It kept a process that was told to stop until the end of its grace period.
    async def test(server: _Server) -> None:
        async with server.connection() as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nx")
            await asyncio.sleep(0.2)
            server.http.refuse_unfinished()
            assert (await reader.read()).startswith(b"HTTP/1.1 408 ")

    _run(test, attrs.evolve(_LIMITS, body_timeout_s=30.0))


def test_paused_body_gives_its_memory_to_others() -> None:
    async def test(server: _Server) -> None:
        server.budget.set_max_held_bytes(60_000)
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n"
        async with server.connection() as (paused_reader, paused_writer):
            paused_writer.write(head + bytes(39_999))
            await asyncio.sleep(2)
            async with server.connection() as (reader, writer):
                writer.write(head + bytes(40_000))
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 200 ")
            assert not await paused_reader.read()
        assert server.refusals == [server_limits.Refusal.DELAY_EVICTED]

    _run(test, attrs.evolve(_LIMITS, max_body_bytes=50_000, body_timeout_s=30))


def test_request_being_handled_is_answered_although_memory_runs_short() -> None:
    # The bytes of a pipelined request must not refuse the one before it.
    async def test(server: _Server) -> None:
        server.delay_s = 0.5
        async with server.connection() as (reader, writer):
            writer.write(_GET)
            while not server.request_count:
                await asyncio.sleep(0.01)
            server.budget.hold(2**40)
            writer.write(_GET * 1000)
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200 ")

    _run(test)


def test_trailers_and_extensions_are_discarded() -> None:
    async def test(server: _Server) -> None:
        async with server.connection() as (reader, writer):
            writer.write(
                _CHUNKED + b'3;a=b\r\nabc\r\n2 ;c="d"\r\nde\r\n'
                b"0;e\r\nT: t\r\nU: u\r\n\r\n" + _GET
            )
            assert (await reader.readuntil(b"abcde")).endswith(b"abcde")
            assert b"200" in await reader.readuntil(b"\r\n\r\n")

    _run(test)


def test_response_to_head_has_the_length_of_the_omitted_body() -> None:
    async def test(server: _Server) -> None:
        server.answer = b"answer"
        async with server.connection() as (reader, writer):
            writer.write(_GET.replace(b"GET", b"HEAD") + _GET)
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Content-Length: 6\r\n" in head
            # The next response follows without a body in between.
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")

    _run(test)


def test_unread_reply_is_closed_and_freed() -> None:
    async def test(server: _Server) -> None:
        server.answer = bytes(32 * 1024 * 1024)
        async with server.connection() as (_, writer):
            writer.write(_GET)
            while not server.budget.held_bytes:
                await asyncio.sleep(0.01)
            while server.budget.held_bytes:
                await asyncio.sleep(0.01)
            assert server.refusals == [server_limits.Refusal.REPLY_UNREAD]

    _run(test)


def test_kept_connections_are_not_evicted_for_new_ones() -> None:
    async def test(server: _Server) -> None:
        async with contextlib.AsyncExitStack() as stack:
            kept = [
                await stack.enter_async_context(server.connection())
                for _ in range(_LIMITS.max_connections)
            ]
            for reader, writer in kept:
                writer.write(_GET)
                await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(1)
            assert (await server.exchange(_GET)).startswith(b"HTTP/1.1 503 ")
            for reader, writer in kept:
                writer.write(_GET)
                assert b"200" in await reader.readuntil(b"\r\n\r\n")

    _run(test)


def test_silent_connections_are_evicted_for_new_ones() -> None:
    async def test(server: _Server) -> None:
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(_LIMITS.max_connections):
                await stack.enter_async_context(server.connection())
            await asyncio.sleep(1.5)
            async with server.connection() as (reader, writer):
                writer.write(_GET)
                assert b"200" in await reader.readuntil(b"\r\n\r\n")

    _run(test)


def test_connections_of_one_address_are_limited() -> None:
    # Connections that were accepted together were not counted.
    async def test(server: _Server) -> None:
        server.delay_s = 0.5
        answers = await asyncio.gather(
            *(server.exchange(_CLOSING_GET) for _ in range(5))
        )
        statuses = sorted(a[:12] for a in answers)
        assert statuses == [b"HTTP/1.1 200"] + 4 * [b"HTTP/1.1 503"]
        answer = await server.exchange(_CLOSING_GET)
        assert answer.startswith(b"HTTP/1.1 200 ")

    limits = attrs.evolve(
        _LIMITS, max_connections=64, max_connections_per_address=1
    )
    _run(test, limits)


def test_task_of_an_unread_stream_ends_with_its_connection() -> None:
    # The task waited forever for a write that tornado had forgotten.
    async def test(server: _Server) -> None:
        body = body_stream.BodyStream(memory_budget.HeldMemory(server.budget))
        server.stream = body
        async with server.connection() as (_, writer):
            writer.write(_GET)
            while not server.request_count:
                await asyncio.sleep(0.01)
            filling = asyncio.ensure_future(_fill(body))
            while not server.refusals:
                await asyncio.sleep(0.01)
            assert server.refusals == [server_limits.Refusal.REPLY_UNREAD]
            while server.budget.held_bytes:
                await asyncio.sleep(0.01)
            filling.cancel()

    _run(test)


async def _fill(body: body_stream.BodyStream) -> None:
    while True:
        await body.put(bytes(65536))
        await asyncio.sleep(0)


def test_long_head_of_a_closed_connection_is_not_parsed() -> None:
    # A process that was told to stop first parsed all heads that had arrived.
    async def test(server: _Server) -> None:
        head = b"GET / HTTP/1.1\r\nA: " + b"a" * 8000 + b"\r\n\r\n"
        async with server.connection() as (_, writer):
            while not server.http.connection_count:
                await asyncio.sleep(0.01)
            [stream] = server.http._transactions
            writer.write(head)
            while not server.http.turns._waiting:
                await asyncio.sleep(0)
            stream.close()
            await asyncio.sleep(0.1)
            assert not server.request_count
            assert not server.http.connection_count

    _run(test, attrs.evolve(_LIMITS, max_header_bytes=16_000))
