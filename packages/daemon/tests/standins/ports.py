"""Loopback ports for stand-ins and the processes under test."""

from __future__ import annotations

import os
import socket

__all__ = ["free_port", "free_ports"]

# Each of the workers that run test files at once has a range of its own.
_PORTS_A_WORKER = 4000
_MOST_WORKERS = 5
_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_FIRST_PORT = 12000 + _PORTS_A_WORKER * (_worker % _MOST_WORKERS)
_LAST_PORT = _FIRST_PORT + _PORTS_A_WORKER - 1
_next_port = _FIRST_PORT + os.getpid() * 97 % (_PORTS_A_WORKER // 2)


def free_ports(count: int) -> list[int]:
    """Returns consecutive loopback ports that are free now.

    They lie below the range from which outgoing connections get theirs, so
    that none is taken between this call and its use.
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
