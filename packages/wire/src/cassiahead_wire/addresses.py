"""Parsing of socket addresses of the form ``IP:port``."""

from __future__ import annotations

import ipaddress
import re

__all__ = ["is_address", "split_address"]

# ``int`` also accepts signs, blanks, underscores and digits of other scripts.
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Splits a socket address into IP address and port.

    Args:
        address: ``IP:port``; an IPv6 address may be enclosed in brackets, and
            has no zone.

    Returns:
        The IP address without brackets, and the port from 1 to 65535.

    Raises:
        ValueError: If ``address`` is not an IP address with a valid port.
    """
    ip, _, port = address.rpartition(":")
    ip = ip.strip("[]")
    ipaddress.ip_address(ip)
    if "%" in ip:
        raise ValueError(f"the IPv6 address {ip} has a zone")
    if not _PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"port {port!a} is not a number from 1 to {_MAX_PORT}")
    return ip, int(port)


def is_address(address: str) -> bool:
    """Returns whether a text is an IP address with a valid port."""
    try:
        split_address(address)
    except ValueError:
        return False
    return True
