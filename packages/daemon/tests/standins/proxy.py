"""A TCP proxy that can blackhole its connections, as a firewall may."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

__all__ = ["BlackholeProxy"]

_MAX_CHUNK_BYTES = 65536


@attrs.define(eq=False)
class BlackholeProxy:
    """Forwards connections to a port until told to blackhole them.

    Blackholed connections stay open at both ends but carry no more data, as
    when a firewall or NAT between the ends loses its connection table.

    Attributes:
        target_port: Loopback port to which connections are forwarded.
        blackhole_count: Number of calls of ``blackhole_connections``.
        connection_count: Number of connections accepted.
    """

    target_port: int
    blackhole_count: int = 0
    connection_count: int = 0
    _server: asyncio.Server | None = None
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def listen(self, port: int) -> None:
        """Serves on a loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    def blackhole_connections(self) -> None:
        """Discards all further data of the open connections; closes none."""
        self.blackhole_count += 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        blackhole_count_at_accept = self.blackhole_count
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        # asyncio keeps no reference to a stream that has read the end of its
        # input; without this reference the garbage collector would close the
        # connection.
        self._writers += (writer, target_writer)
        forwarders = (
            self._forward(reader, target_writer, blackhole_count_at_accept),
            self._forward(target_reader, writer, blackhole_count_at_accept),
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*forwarders)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blackhole_count_at_accept: int,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(_MAX_CHUNK_BYTES):
                if blackhole_count_at_accept == self.blackhole_count:
                    writer.write(chunk)
                    await writer.drain()
        if blackhole_count_at_accept == self.blackhole_count:
            writer.close()
