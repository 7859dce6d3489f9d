"""Which processes are believed alive, and whether this one may serve.

The published host list lags, so it is joined with what is heard directly.
Nothing here grants anything: rights do (see ``rights``). Differing views cost
efficiency, never a promise.
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
_FORGET_S = 30.0


@attrs.define
class _Peer:
    process: api.Process
    heard: float
    ready: bool
    silent: bool = False

    def counts(self) -> bool:
        """Returns whether it was last seen alive and ready."""
        return self.ready and not self.silent


@attrs.define
class Members:
    """The view that one process has of the others.

    Attributes:
        own_process: This process.
        change_count: How often a process was found alive and ready, or no
            longer.
    """

    own_process: api.Process
    change_count: int = 0
    _listed: dict[str, str] = attrs.field(factory=dict)
    _peers: dict[str, _Peer] = attrs.field(factory=dict)
    _incarnations: dict[str, int] = attrs.field(factory=dict)
    _replied: dict[str, float] = attrs.field(factory=dict)

    def set_listed(self, roles: dict[str, str]) -> None:
        """Takes over the published host list: role by address."""
        self._listed = dict(roles)

    def record_message(
        self, process: api.Process, ready: bool, now: float
    ) -> bool:
        """Notes a message of a peer.

        Returns:
            False if a newer process has taken over the sender's address.
        """
        newest = self._incarnations.get(process.address, 0)
        if process.incarnation < newest:
            return False
        self._incarnations[process.address] = process.incarnation
        before = self._peers.get(process.address)
        self._peers[process.address] = _Peer(process, now, ready)
        if ready != (before is not None and before.counts()):
            self.change_count += 1
        return True

    def merge_incarnations(self, incarnations: dict[str, int]) -> None:
        """Takes over newer incarnations that a peer knows of."""
        for address, incarnation in incarnations.items():
            if incarnation > self._incarnations.get(address, 0):
                self._incarnations[address] = incarnation

    def is_superseded(self) -> bool:
        """Returns whether a newer process runs at this one's address."""
        newest = self._incarnations.get(self.own_process.address, 0)
        return newest > self.own_process.incarnation

    def newest_incarnations(self) -> dict[str, int]:
        """Returns the newest incarnation known by address."""
        return {
            **self._incarnations,
            self.own_process.address: self.own_process.incarnation,
        }

    def peer_addresses(self) -> list[str]:
        """Returns the addresses to exchange messages with."""
        addresses = {*self._listed, *self._peers}
        addresses.discard(self.own_process.address)
        return sorted(addresses)

    def alive_processes(self, role: str, now: float) -> list[api.Process]:
        """Returns the ready processes of a role heard of recently."""
        processes = [
            peer.process
            for peer in self._peers.values()
            if peer.process.role == role
            and peer.ready
            and now - peer.heard < SUSPECT_AFTER_S
        ]
        if self.own_process.role == role:
            processes.append(self.own_process)
        return sorted(processes, key=lambda p: p.address)

    def record_reply(self, address: str, asked_at: float) -> None:
        """Notes a reply to a request that was sent at ``asked_at``."""
        self._replied[address] = max(asked_at, self._replied.get(address, 0.0))

    def count_replied_since(
        self, addresses: Iterable[str], since: float
    ) -> int:
        """Returns how many addresses replied to requests sent since a time.

        Requests of peers do not count: they may have waited unread while this
        process was paused.
        """
        return sum(
            1
            for address in addresses
            if self._replied.get(address, float("-inf")) >= since
        )

    def count_older(self, role: str, now: float) -> int:
        """Returns how many live processes of a role started before this."""
        return sum(
            1
            for process in self.alive_processes(role, now)
            if process.incarnation < self.own_process.incarnation
        )

    def suspect(self, address: str) -> None:
        """Treats a peer as not alive until it is heard again."""
        if address in self._peers:
            self._peers[address].heard = float("-inf")

    def mark_silent(self, now: float) -> None:
        """Notes which peers have become silent."""
        for peer in self._peers.values():
            if not peer.silent and now - peer.heard >= SUSPECT_AFTER_S:
                peer.silent = True
                self.change_count += peer.ready

    def forget_silent_peers(self, now: float) -> None:
        """Drops peers that are neither listed nor heard of for long."""
        for address, peer in list(self._peers.items()):
            if address not in self._listed and now - peer.heard > _FORGET_S:
                del self._peers[address]
                self._replied.pop(address, None)


class Standing(enum.StrEnum):
    """Whether a process can trust that it hears of changes."""

    CURRENT = "current"
    OUTAGE = "outage"
    ISOLATED = "isolated"


@attrs.define
class Freshness:
    """How recently anyone is known to have read the configuration service.

    A process reads the service or hears from one that does; ages travel with
    the exchanges. Without either it goes on only while it hears from most of
    the listed processes, all of which find the service down.
    """

    _as_of: float = float("-inf")

    def record_read(self, started_at: float) -> None:
        """Notes a read of the service that began at ``started``."""
        self._as_of = max(self._as_of, started_at)

    def record_peer_age(self, asked_at: float, age: float) -> None:
        """Notes a peer's age, as of before it was asked."""
        self._as_of = max(self._as_of, asked_at - max(0.0, age))

    def age_s(self, now: float) -> float:
        """Returns the seconds since the newest read that is known."""
        return min(now - self._as_of, 1e9)

    def standing(self, members: Members, now: float) -> Standing:
        """Returns whether this process may take requests."""
        if self.age_s(now) < MAX_FRESHNESS_AGE_S:
            return Standing.CURRENT
        contacts = members.peer_addresses()
        heard = members.count_replied_since(contacts, now - MAX_FRESHNESS_AGE_S)
        if contacts and 2 * (heard + 1) > len(contacts) + 1:
            return Standing.OUTAGE
        return Standing.ISOLATED
