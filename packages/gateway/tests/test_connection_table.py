"""Connections to targets: which are kept, and when none is opened."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado import tcpserver

from cassiahead_gateway import connection_table as links_lib
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    import pytest
    from tornado import iostream

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class _Target(tcpserver.TCPServer):
    """Answers each request, or ends each connection."""

    ends = False

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> None:
        while not self.ends:
            try:
                await stream.read_until(b"\r\n\r\n")
                await stream.write(_ANSWER)
            except OSError:
                return
        stream.close()


def _run(test: Callable[[_Target, str], Awaitable[None]]) -> None:
    async def main() -> None:
        target = _Target()
        target.listen(0, "127.0.0.1")
        port = next(iter(target._sockets.values())).getsockname()[1]
        await test(target, f"127.0.0.1:{port}")
        target.stop()

    asyncio.run(main())


async def _ask(
    links: links_lib.ConnectionTable, address: str
) -> links_lib.Checkout:
    checkout = links.check_out("t", address)
    connection = await checkout.connect()
    await connection.request("GET", "/", b"", 5)
    return checkout


async def _ask_in_vain(links: links_lib.ConnectionTable, address: str) -> None:
    checkout = links.check_out("t", address)
    try:
        connection = await checkout.connect()
        await connection.request("GET", "/", b"", 5)
    except wire.TransportError as error:
        checkout.drop(error.kind)


def test_connections_that_are_not_needed_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(target: _Target, address: str) -> None:
        links = links_lib.ConnectionTable()
        for checkout in [await _ask(links, address) for _ in range(3)]:
            checkout.put_back()
        links.close_expired()
        assert links.opened == 3
        now = clock.monotonic()
        monkeypatch.setattr(clock, "monotonic", lambda: now + 1.5)
        links.close_expired()
        again = [await _ask(links, address) for _ in range(2)]
        assert links.opened == 4
        for checkout in again:
            checkout.drop()

    _run(test)


def test_a_target_that_ends_new_connections_gets_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(target: _Target, address: str) -> None:
        links = links_lib.ConnectionTable()
        target.ends = True
        await _ask_in_vain(links, address)
        assert links.room("t", 3)
        await _ask_in_vain(links, address)
        assert not links.room("t", 3)
        now = clock.monotonic()
        monkeypatch.setattr(clock, "monotonic", lambda: now + 0.11)
        assert links.room("t", 3)
        await _ask_in_vain(links, address)
        monkeypatch.setattr(clock, "monotonic", lambda: now + 0.22)
        assert not links.room("t", 3)
        monkeypatch.setattr(clock, "monotonic", lambda: now + 0.32)
        target.ends = False
        (await _ask(links, address)).put_back()
        assert links.room("t", 3)

    _run(test)


def test_a_kept_connection_is_used_while_new_ones_are_not_opened() -> None:
    async def test(target: _Target, address: str) -> None:
        links = links_lib.ConnectionTable()
        kept = await _ask(links, address)
        target.ends = True
        await _ask_in_vain(links, address)
        await _ask_in_vain(links, address)
        assert not links.room("t", 3)
        kept.put_back()
        assert links.room("t", 3)

    _run(test)


def test_a_burst_opens_few_connections_before_an_answer() -> None:
    async def test(target: _Target, address: str) -> None:
        links = links_lib.ConnectionTable()
        first = links.check_out("t", address)
        assert not links.room("t", 8)
        await (await first.connect()).request("GET", "/", b"", 5)
        first.put_back()
        used = [links.check_out("t", address), links.check_out("t", address)]
        assert not links.room("t", 8)
        for checkout in used:
            await (await checkout.connect()).request("GET", "/", b"", 5)
        used[1].put_back()
        assert links.room("t", 8)

    _run(test)


def test_a_right_that_was_not_used_is_given_back() -> None:
    async def test(target: _Target, address: str) -> None:
        links = links_lib.ConnectionTable()
        checkout = links.check_out("t", address)
        assert not links.room("t", 1)
        assert checkout.release_unused()
        assert links.room("t", 1)
        used = await _ask(links, address)
        assert not used.release_unused()
        assert not links.room("t", 1)
        used.put_back()

    _run(test)
