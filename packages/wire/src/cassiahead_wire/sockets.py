"""TCP sockets of client connections."""

from __future__ import annotations

import socket

__all__ = ["create_socket"]

# TCP keepalive with these options (1 s idle, then 2 probes 1 s apart) detects a
# silent peer after about 3 s. The platform takes 4 s to treat a host that was
# disconnected as connected again; its broken connections are closed by then.
_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


def create_socket(ip: str) -> socket.socket:
    """Returns a socket that is not connected yet.

    Args:
        ip: IP address that the socket will be connected to.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    for level, option, value in _OPTIONS:
        sock.setsockopt(level, option, value)
    return sock
