"""Membership of the fleet, as one process knows it from heartbeats.

No list of hosts is configured. Processes learn of each other through seed
addresses and from the addresses in heartbeats. A process has a new name at each
start, so that the state of the previous process at the same address can be
dropped.
"""

from __future__ import annotations

import attrs

__all__ = ["Peer", "PeerTable"]

# A peer without a heartbeat for this long is unreachable: it has missed three
# heartbeats.
_REACHABLE_TIMEOUT_S = 1.0
# A peer without a heartbeat for this long is no longer part of the fleet.
_PEER_RETENTION_S = 30.0


@attrs.define
class Peer:
    """Another process of the fleet.

    Attributes:
        process_name: Name of the process, new at each of its starts.
        address: Address at which the process accepts heartbeats.
        last_heartbeat_at: Time of the last heartbeat, on the receiver's
            monotonic clock.
        revision: Highest revision of the published records that the process
            has.
        is_reading: Whether the process reads the configuration service and gets
            answers.
        is_leaving: Whether the process is shutting down.
    """

    process_name: str
    address: str
    last_heartbeat_at: float
    revision: int = 0
    is_reading: bool = False
    is_leaving: bool = False


@attrs.define
class PeerTable:
    """The peers of this process, one per address.

    All times are seconds on this process's monotonic clock.
    """

    _own_process_name: str
    _own_address: str
    _peer_by_address: dict[str, Peer] = attrs.field(factory=dict)
    # Time of the last heartbeat from each address. Before the first one, the
    # time when this process learned of the address.
    _last_heard_at: dict[str, float] = attrs.field(factory=dict)

    def add_address(self, address: str, now: float) -> None:
        """Adds an address at which there may be a process."""
        if address != self._own_address:
            self._last_heard_at.setdefault(address, now)

    def record_heartbeat(self, peer: Peer) -> str | None:
        """Records a heartbeat.

        Args:
            peer: State of the sender; ignored if its address is this process's
                own.

        Returns:
            Name of the process that the sender replaces at its address; None
            if it replaces none.
        """
        if peer.address == self._own_address:
            return None
        previous = self._peer_by_address.get(peer.address)
        self._peer_by_address[peer.address] = peer
        self._last_heard_at[peer.address] = peer.last_heartbeat_at
        if previous is not None and previous.process_name != peer.process_name:
            return previous.process_name
        return None

    def peer_at(self, address: str) -> Peer | None:
        """Returns the process that last sent a heartbeat from an address."""
        return self._peer_by_address.get(address)

    def addresses(self) -> list[str]:
        """Returns all addresses at which there is or may be a process."""
        return sorted(self._last_heard_at)

    def reachable_peers(self, now: float) -> list[Peer]:
        """Returns the peers with a recent heartbeat."""
        return [
            p
            for p in self._peer_by_address.values()
            if now - p.last_heartbeat_at < _REACHABLE_TIMEOUT_S
        ]

    def fleet_size(self) -> int:
        """Returns the number of processes in the fleet, including this one.

        Unreachable peers count until they are forgotten: each process divides
        the fleet's limits by this number, and the parts must not exceed the
        limits.
        """
        return 1 + len(self._peer_by_address)

    def is_isolated(self, now: float) -> bool:
        """Returns whether at most half of the fleet is reachable.

        This process counts as reachable. Peers that are shutting down are not
        counted.
        """
        staying_peers = [
            p for p in self._peer_by_address.values() if not p.is_leaving
        ]
        reachable_count = sum(
            1
            for p in staying_peers
            if now - p.last_heartbeat_at < _REACHABLE_TIMEOUT_S
        )
        return 2 * (1 + reachable_count) <= 1 + len(staying_peers)

    def forget_silent_peers(self, now: float) -> None:
        """Drops addresses without a recent heartbeat, and their peers."""
        for address, heard_at in list(self._last_heard_at.items()):
            if now - heard_at > _PEER_RETENTION_S:
                del self._last_heard_at[address]
                self._peer_by_address.pop(address, None)
