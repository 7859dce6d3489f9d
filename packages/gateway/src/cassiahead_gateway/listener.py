"""Accepts TCP connections, also when descriptors run out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado import netutil

from cassiahead_wire import addresses

if TYPE_CHECKING:
    from collections.abc import Callable
    import socket

__all__ = ["Listener"]

_BACKLOG = 512
_MAX_ACCEPTED_PER_EVENT = 128
# A listening socket stays readable while no descriptor is free for its
# connections.
_PAUSE_S = 0.1


class Listener:
    """Listening sockets of one address."""

    def __init__(
        self, address: str, on_accept: Callable[[socket.socket, str], None]
    ) -> None:
        """Creates a listener that does not listen yet.

        Args:
            address: ``IP:port`` to listen on.
            on_accept: Called with each connection and its client's IP address.
        """
        self._address = address
        self._on_accept = on_accept
        self._sockets: list[socket.socket] = []

    def start(self) -> None:
        """Starts listening."""
        host, port = addresses.split_address(self._address)
        self._sockets = netutil.bind_sockets(port, host, backlog=_BACKLOG)
        for sock in self._sockets:
            self._watch(sock)

    def stop(self) -> None:
        """Stops listening; may be called again."""
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        self._sockets = []

    def _watch(self, sock: socket.socket) -> None:
        if sock in self._sockets:
            loop = asyncio.get_running_loop()
            loop.add_reader(sock, self._accept, sock)

    def _accept(self, sock: socket.socket) -> None:
        for _ in range(_MAX_ACCEPTED_PER_EVENT):
            if sock not in self._sockets:
                return
            try:
                connection, peer = sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError:
                loop = asyncio.get_running_loop()
                loop.remove_reader(sock)
                loop.call_later(_PAUSE_S, self._watch, sock)
                return
            self._on_accept(connection, peer[0])
