"""HTTP server: closing of connections, cancellation and request bodies."""

from __future__ import annotations

import asyncio
import socket

from cassiahead_gateway import http_server
from cassiahead_wire import connection as connection_lib

_REQUEST_BYTES = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class _CountingServer:
    """A server whose handler counts requests and cancellations.

    Args:
        delay_s: Seconds until the handler replies.
    """

    def __init__(self, delay_s: float = 0.0) -> None:
        self.address = _free_address()
        self.request_count = 0
        self.cancellation_count = 0
        self._delay_s = delay_s
        self.http = http_server.HttpServer(self.address, self._handle)
        self.http.listen()

    async def _handle(self, request: http_server.Request) -> http_server.Reply:
        self.request_count += 1
        try:
            await asyncio.sleep(self._delay_s)
        except asyncio.CancelledError:
            self.cancellation_count += 1
            raise
        return http_server.plain_reply(200, request.body)


def test_request_racing_with_an_idle_close_is_not_served() -> None:
    async def main() -> None:
        server = _CountingServer()
        host, _, port = server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        while not server.http.connection_count:
            await asyncio.sleep(0.01)
        # The request reaches the read buffer of the server's stream, but the
        # connection is closed as idle before the parser reads the buffer.
        [transaction] = server.http._transactions.values()
        handle_read = transaction._connection.stream._handle_read

        def read_and_close() -> None:
            handle_read()
            server.http.close_idle()

        transaction._connection.stream._handle_read = read_and_close
        writer.write(_REQUEST_BYTES)
        assert await reader.read() == b""
        await asyncio.sleep(0.05)
        assert server.request_count == 0
        await server.http.close()

    asyncio.run(main())


def test_connection_with_a_request_in_flight_is_not_closed_as_idle() -> None:
    async def main() -> None:
        server = _CountingServer(0.2)
        connection = await connection_lib.Connection.open(server.address, 1)
        response_task = asyncio.ensure_future(
            connection.request("POST", "/", b"x", 5)
        )
        while not server.request_count:
            await asyncio.sleep(0.01)
        server.http.is_closing = True
        server.http.close_idle()
        response = await response_task
        assert response.body == b"x"
        assert response.headers["Connection"] == "close"
        connection.close()
        await server.http.close()

    asyncio.run(main())


def test_closing_the_connection_cancels_the_request() -> None:
    async def main() -> None:
        server = _CountingServer(30.0)
        connection = await connection_lib.Connection.open(server.address, 1)
        response_task = asyncio.ensure_future(
            connection.request("POST", "/", b"x", 5)
        )
        while not server.request_count:
            await asyncio.sleep(0.01)
        connection.close()
        while not server.cancellation_count:
            await asyncio.sleep(0.01)
        response_task.cancel()
        await server.http.close()

    asyncio.run(main())


def test_chunked_request_body_is_decoded() -> None:
    async def main() -> None:
        server = _CountingServer()
        host, _, port = server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST / HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert (await reader.readuntil(b"abcde")).endswith(b"abcde")
        writer.close()
        await server.http.close()

    asyncio.run(main())
