"""A TCP proxy that can lose its connections, as a firewall or NAT may."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

__all__ = ["BlackholeProxy"]

_MAX_CHUNK_BYTES = 65536


@attrs.define(eq=False)
class BlackholeProxy:
    """Forwards connections to a port, until told to drop their data.

    Dropped connections stay open at both ends and carry no more data, as when
    a firewall or NAT between the ends loses its connection table.

    Attributes:
        target_port: Loopback port to which connections are forwarded.
        forget_count: Number of calls of ``forget_connections``.
        connection_count: Number of connections accepted.
    """

    target_port: int
    forget_count: int = 0
    connection_count: int = 0
    _server: asyncio.Server | None = None
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def listen(self, port: int) -> None:
        """Serves on a loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    def forget_connections(self) -> None:
        """Drops all further data of the open connections; closes none."""
        self.forget_count += 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        forget_count = self.forget_count
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        # asyncio keeps no reference to a stream that has read the end of its
        # input; without this reference the garbage collector would close the
        # connection.
        self._writers += (writer, target_writer)
        forwarders = (
            self._forward(reader, target_writer, forget_count),
            self._forward(target_reader, writer, forget_count),
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*forwarders)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forget_count: int,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(_MAX_CHUNK_BYTES):
                if forget_count == self.forget_count:
                    writer.write(chunk)
                    await writer.drain()
        if forget_count == self.forget_count:
            writer.close()
