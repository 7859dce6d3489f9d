"""Detects failed and superseded peers, and isolation of this process.

The published host list lags behind, so it is combined with the peers from
which messages arrive. Views of membership may differ between processes. Limits
still hold, because only leases grant capacity (see ``rights``), but some of the
capacity may be left unused.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from cassiahead_protocol import api

if TYPE_CHECKING:
    from collections.abc import Iterable


__all__ = [
    "MAX_FRESHNESS_AGE_S",
    "SUSPECT_AFTER_S",
    "Freshness",
    "Members",
    "Standing",
]

SUSPECT_AFTER_S = 1.2
MAX_FRESHNESS_AGE_S = 3.0
_PEER_RETENTION_S = 30.0


@attrs.define
class _Peer:
    """Last known state of a peer.

    Attributes:
        process: The peer, as named in its last message.
        last_message_at: Time at which its last message arrived; minus infinity
            if the peer is suspected.
        is_ready: Whether the peer takes requests, according to that message.
        is_silent: Whether the peer was suspected or without a message for
            ``SUSPECT_AFTER_S`` when ``Members.mark_silent`` last ran.
    """

    process: api.Process
    last_message_at: float
    is_ready: bool
    is_silent: bool = False

    def is_available(self) -> bool:
        """Returns whether the peer was last found alive and ready."""
        return self.is_ready and not self.is_silent


@attrs.define
class Members:
    """The view that one process has of its peers.

    Attributes:
        own_process: This process.
        change_count: Number of times a peer was found to have become available
            (alive and ready) or unavailable.
    """

    own_process: api.Process
    change_count: int = 0
    # Role of each process in the published host list, by its address.
    _listed_role_by_address: dict[str, str] = attrs.field(factory=dict)
    # Peers from which a message has arrived, by address.
    _peers: dict[str, _Peer] = attrs.field(factory=dict)
    # Newest incarnation known at each address.
    _incarnations: dict[str, int] = attrs.field(factory=dict)
    # Time at which the newest request that the peer replied to was sent, by the
    # peer's address.
    _replied_request_sent_at: dict[str, float] = attrs.field(factory=dict)

    def set_host_list(self, role_by_address: dict[str, str]) -> None:
        """Replaces the published host list.

        Args:
            role_by_address: Role of each listed process by its address.
        """
        self._listed_role_by_address = dict(role_by_address)

    def record_message(
        self, process: api.Process, is_ready: bool, now: float
    ) -> bool:
        """Records a request or reply from a peer.

        Args:
            process: The sender.
            is_ready: Whether the sender takes requests.
            now: Time on this process's clock.

        Returns:
            False if a newer process is known at the sender's address; the
            message is then ignored.
        """
        newest_incarnation = self._incarnations.get(process.address, 0)
        if process.incarnation < newest_incarnation:
            return False
        self._incarnations[process.address] = process.incarnation
        previous_peer = self._peers.get(process.address)
        self._peers[process.address] = _Peer(process, now, is_ready)
        if is_ready != (
            previous_peer is not None and previous_peer.is_available()
        ):
            self.change_count += 1
        return True

    def merge_incarnations(self, incarnations: dict[str, int]) -> None:
        """Adopts a peer's incarnations where they are newer than those known.

        Args:
            incarnations: Newest incarnation that the peer knows, by address.
        """
        for address, incarnation in incarnations.items():
            if incarnation > self._incarnations.get(address, 0):
                self._incarnations[address] = incarnation

    def is_superseded(self) -> bool:
        """Returns whether a newer process is known at this address."""
        newest_incarnation = self._incarnations.get(self.own_process.address, 0)
        return newest_incarnation > self.own_process.incarnation

    def newest_incarnations(self) -> dict[str, int]:
        """Returns the newest known incarnation by address.

        This process's own incarnation is given for its address, even if a newer
        one is known.
        """
        return {
            **self._incarnations,
            self.own_process.address: self.own_process.incarnation,
        }

    def peer_addresses(self) -> list[str]:
        """Returns the sorted addresses of all listed or known peers."""
        addresses = {*self._listed_role_by_address, *self._peers}
        addresses.discard(self.own_process.address)
        return sorted(addresses)

    def alive_processes(self, role: str, now: float) -> list[api.Process]:
        """Returns the live, ready processes of a role, sorted by address.

        A peer counts if its last message is younger than ``SUSPECT_AFTER_S``.
        This process counts if it has the role, whether ready or not.
        """
        processes = [
            peer.process
            for peer in self._peers.values()
            if peer.process.role == role
            and peer.is_ready
            and now - peer.last_message_at < SUSPECT_AFTER_S
        ]
        if self.own_process.role == role:
            processes.append(self.own_process)
        return sorted(processes, key=lambda p: p.address)

    def record_reply(self, address: str, request_sent_at: float) -> None:
        """Records that a peer replied to a request.

        Args:
            address: Address of the peer.
            request_sent_at: Time at which the request was sent.
        """
        self._replied_request_sent_at[address] = max(
            request_sent_at, self._replied_request_sent_at.get(address, 0.0)
        )

    def count_replied_since(
        self, addresses: Iterable[str], since: float
    ) -> int:
        """Returns how many peers replied to requests sent at or after a time.

        Requests from peers don't count as contact, because they may have been
        sent long before they were read, while this process was paused.

        Args:
            addresses: Addresses of the peers to count.
            since: Time on this process's clock.
        """
        return sum(
            1
            for address in addresses
            if self._replied_request_sent_at.get(address, float("-inf"))
            >= since
        )

    def count_older(self, role: str, now: float) -> int:
        """Returns how many processes of a role are older than this one.

        Only live, ready processes count.
        """
        return sum(
            1
            for process in self.alive_processes(role, now)
            if process.incarnation < self.own_process.incarnation
        )

    def suspect(self, address: str) -> None:
        """Treats a peer as not alive until its next message arrives."""
        if address in self._peers:
            self._peers[address].last_message_at = float("-inf")

    def mark_silent(self, now: float) -> None:
        """Marks peers silent that have sent nothing for ``SUSPECT_AFTER_S``."""
        for peer in self._peers.values():
            if (
                not peer.is_silent
                and now - peer.last_message_at >= SUSPECT_AFTER_S
            ):
                peer.is_silent = True
                self.change_count += peer.is_ready

    def forget_silent_peers(self, now: float) -> None:
        """Drops unlisted peers that are presumed stopped.

        These are suspected peers, and peers that have sent nothing for more
        than ``_PEER_RETENTION_S``.
        """
        for address, peer in list(self._peers.items()):
            if (
                address not in self._listed_role_by_address
                and now - peer.last_message_at > _PEER_RETENTION_S
            ):
                del self._peers[address]
                self._replied_request_sent_at.pop(address, None)


class Standing(enum.StrEnum):
    """How current the configuration of a process can be assumed to be.

    ``CURRENT``: the configuration service was read recently, by this process
    or by a peer. ``OUTAGE``: no process is known to have read the service
    recently, but this process is in contact with enough peers to form a
    majority of the known processes, so the service is assumed to be down.
    ``ISOLATED``: neither holds, and requests have to be refused.
    """

    CURRENT = "current"
    OUTAGE = "outage"
    ISOLATED = "isolated"


@attrs.define
class Freshness:
    """Age of the newest known read of the configuration service.

    A read by this process counts, and so does a read by a peer, whose age
    arrives with the exchanges. If no known read is recent, a process may serve
    only while it and the peers in contact form a majority of the known
    processes.
    """

    _newest_read_at: float = float("-inf")

    def record_read(self, started_at: float) -> None:
        """Records a successful read of the service begun at ``started_at``."""
        self._newest_read_at = max(self._newest_read_at, started_at)

    def record_peer_age(self, request_sent_at: float, age_s: float) -> None:
        """Records the age of the newest read of the service known to a peer.

        Args:
            request_sent_at: Time at which the request to the peer was sent. The
                age is counted from there, since the delay of the reply is
                unknown.
            age_s: Age in the peer's reply, in seconds.
        """
        self._newest_read_at = max(
            self._newest_read_at, request_sent_at - max(0.0, age_s)
        )

    def age_s(self, now: float) -> float:
        """Returns the seconds since the newest known read of the service.

        At most 1e9, which stands for no known read.
        """
        return min(now - self._newest_read_at, 1e9)

    def standing(self, members: Members, now: float) -> Standing:
        """Returns the standing of this process.

        Args:
            members: The peers of this process.
            now: Time on this process's clock.
        """
        if self.age_s(now) < MAX_FRESHNESS_AGE_S:
            return Standing.CURRENT
        peers = members.peer_addresses()
        replied_count = members.count_replied_since(
            peers, now - MAX_FRESHNESS_AGE_S
        )
        if peers and 2 * (replied_count + 1) > len(peers) + 1:
            return Standing.OUTAGE
        return Standing.ISOLATED
