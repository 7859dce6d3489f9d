"""What a connection makes of peers that misbehave."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

import pytest

from cassiahead_wire import connection as wire

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _run(
    answers: list[bytes],
    client: Callable[[wire.Connection], Awaitable[None]],
    *,
    reset: bool = False,
    close: bool = False,
) -> None:
    """Runs a client against a peer that sends these bytes for each request."""

    async def main() -> None:
        left = list(answers)

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while left:
                try:
                    await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError:
                    return
                writer.write(left.pop(0))
                await writer.drain()
            if reset:
                await asyncio.sleep(0.05)
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            if reset or close:
                writer.transport.abort() if reset else writer.close()
            else:
                await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await wire.Connection.open(f"127.0.0.1:{port}", 1)
        await client(connection)
        connection.close()
        server.close()

    asyncio.run(main())


def test_a_connection_is_used_again() -> None:
    async def client(connection: wire.Connection) -> None:
        for _ in range(2):
            response = await connection.request("GET", "/", b"", 1)
            assert response.body == b"ok"
            assert connection.is_usable
            assert connection.is_open_and_idle

    _run([_GOOD, _GOOD], client)


def test_bytes_behind_an_answer_end_the_connection() -> None:
    async def client(connection: wire.Connection) -> None:
        response = await connection.request("GET", "/", b"", 1)
        assert response.body == b"ok"
        assert not connection.is_usable

    _run([_GOOD + _GOOD], client)


def test_bytes_that_come_while_idle_are_noticed() -> None:
    async def client(connection: wire.Connection) -> None:
        await connection.request("GET", "/", b"", 1)
        for _ in range(100):
            if not connection.is_open_and_idle:
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the second answer was not noticed")

    first, second = _GOOD, b"HTTP/1.1 200 OK\r\n"

    async def main() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(second)
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await wire.Connection.open(f"127.0.0.1:{port}", 1)
        await client(connection)
        connection.close()
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
        b"HTTP/1.1 200",
        b"",
    ],
)
def test_an_answer_that_ends_early_is_none(answer: bytes) -> None:
    async def client(connection: wire.Connection) -> None:
        with pytest.raises(wire.TransportError) as caught:
            await connection.request("GET", "/", b"", 1)
        assert caught.value.maybe_sent

    _run([answer], client, close=True)


_UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nall of it"


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    async def client(connection: wire.Connection) -> None:
        response = await connection.request("GET", "/", b"", 1)
        assert response.body == b"all of it"

    _run([_UNFRAMED], client, close=True)


def test_a_reset_is_not_the_end_of_an_answer_without_a_length() -> None:
    async def client(connection: wire.Connection) -> None:
        with pytest.raises(wire.TransportError) as caught:
            await connection.request("GET", "/", b"", 1)
        assert caught.value.kind is wire.FailureKind.MALFORMED

    _run([_UNFRAMED], client, reset=True)


def test_an_answer_that_is_late_can_still_be_taken() -> None:
    async def main() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.2)
            writer.write(_GOOD)
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await wire.Connection.open(f"127.0.0.1:{port}", 1)
        with pytest.raises(wire.TransportError) as caught:
            await connection.request("GET", "/", b"", 0.01)
        assert caught.value.kind is wire.FailureKind.TIMEOUT
        assert not connection.is_usable
        assert (await connection.wait_response(5)).body == b"ok"
        assert connection.is_usable
        connection.close()
        server.close()

    asyncio.run(main())


def test_a_connection_is_given_up_before_its_peer_closes_it() -> None:
    async def client(connection: wire.Connection) -> None:
        await connection.request("GET", "/", b"", 1)
        assert connection.is_usable
        await asyncio.sleep(0.85)
        assert not connection.is_usable

    answer = _GOOD.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n")
    _run([answer], client)
