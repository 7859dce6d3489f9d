"""Processes of the fleet as this one hears them.

Hosts are not listed anywhere: processes learn of each other through seeds and
from each other. A process is named anew at each start, so that what a previous
process at the same address said ends with it.
"""

from __future__ import annotations

import attrs

__all__ = ["Peer", "PeerTable"]

# A peer that was not heard for so long counts as out of hearing, in seconds:
# three heartbeats.
_HEARD_S = 1.0
# A peer that was not heard for so long is no longer part of the fleet.
_FORGET_S = 30.0


@attrs.define
class Peer:
    """One process of the fleet.

    Attributes:
        process: Its name, new at each start.
        address: Where it takes exchanges.
        last_heartbeat_at: When it was last heard, on this process's clock.
        revision: Revision up to which it knows the published records.
        is_reading: Whether it reads the configuration service and is answered.
        leaving: Whether it is shutting down.
    """

    process: str
    address: str
    last_heartbeat_at: float
    revision: int = 0
    is_reading: bool = False
    leaving: bool = False


@attrs.define
class PeerTable:
    """The fleet's processes by address."""

    _own_process: str
    _own_address: str
    _peers: dict[str, Peer] = attrs.field(factory=dict)
    _addresses: dict[str, float] = attrs.field(factory=dict)

    def add_address(self, address: str, now: float) -> None:
        """Notes an address at which a process may be."""
        if address != self._own_address:
            self._addresses.setdefault(address, now)

    def record_heartbeat(self, peer: Peer) -> str | None:
        """Takes what a peer says of itself.

        Returns:
            The process that this one replaces at its address, if any.
        """
        if peer.address == self._own_address:
            return None
        before = self._peers.get(peer.address)
        self._peers[peer.address] = peer
        self._addresses[peer.address] = peer.last_heartbeat_at
        if before is not None and before.process != peer.process:
            return before.process
        return None

    def peer_at(self, address: str) -> Peer | None:
        """Returns the process last heard at an address."""
        return self._peers.get(address)

    def addresses(self) -> list[str]:
        """Returns all addresses at which a process is or may be."""
        return sorted(self._addresses)

    def reachable_peers(self, now: float) -> list[Peer]:
        """Returns the processes within hearing."""
        return [
            p
            for p in self._peers.values()
            if now - p.last_heartbeat_at < _HEARD_S
        ]

    def fleet_size(self) -> int:
        """Returns the size of the fleet, this process included.

        Processes that are out of hearing count until they are forgotten, so
        that what is divided by the size stays within the whole.
        """
        return 1 + len(self._peers)

    def is_isolated(self, now: float) -> bool:
        """Returns whether at most half of the fleet is within hearing."""
        staying = [p for p in self._peers.values() if not p.leaving]
        heard = sum(1 for p in staying if now - p.last_heartbeat_at < _HEARD_S)
        return 2 * (1 + heard) <= 1 + len(staying)

    def forget_silent_peers(self, now: float) -> None:
        """Drops processes and addresses that were not heard for long."""
        for address, heard_at in list(self._addresses.items()):
            if now - heard_at > _FORGET_S:
                del self._addresses[address]
                self._peers.pop(address, None)
