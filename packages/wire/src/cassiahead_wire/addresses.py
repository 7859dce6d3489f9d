"""Addresses of the form ``IP:port``."""

from __future__ import annotations

import ipaddress

__all__ = ["split_address"]

_MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into IP number and port.

    Raises:
        ValueError: If it is no IP number with a port.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return host, int(port)
