"""Allocates loopback ports to stand-ins and to processes under test."""

from __future__ import annotations

import os
import socket

__all__ = ["free_port", "free_ports"]

# Each of the first ``_RANGE_COUNT`` pytest-xdist workers allocates from its own
# range, so that these workers do not take each other's ports.
_PORTS_PER_RANGE = 4000
_RANGE_COUNT = 5
_worker_index = int(
    os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
)
_FIRST_PORT = 12000 + _PORTS_PER_RANGE * (_worker_index % _RANGE_COUNT)
_LAST_PORT = _FIRST_PORT + _PORTS_PER_RANGE - 1
# The first port depends on the process id, so that concurrent test runs rarely
# try the same ports.
_next_port = _FIRST_PORT + os.getpid() * 97 % (_PORTS_PER_RANGE // 2)


def free_ports(count: int) -> list[int]:
    """Returns consecutive loopback ports that are free now.

    All ports are below the range from which Linux assigns local ports to
    outgoing connections (32768 and up), so that no such connection takes a port
    between this call and its use.
    """
    global _next_port
    while True:
        ports = list(range(_next_port, _next_port + count))
        _next_port += count
        if _next_port > _LAST_PORT:
            _next_port = _FIRST_PORT
        if ports[-1] <= _LAST_PORT and all(_is_free(port) for port in ports):
            return ports


def free_port() -> int:
    """Returns one loopback port that is free now."""
    return free_ports(1)[0]


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
