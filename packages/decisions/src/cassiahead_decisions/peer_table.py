"""Membership of the fleet, as one process knows it from heartbeats.

No list of hosts is configured. Processes learn of each other through seed
addresses and from the addresses in heartbeats. A process has a new name at each
start, so that the state of the previous process at the same address can be
dropped.

A process exchanges heartbeats with one partner of each group (see
``peer_groups``), which reports the number of members of its group. No process
tracks all members.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import group_sizes
from cassiahead_decisions import peer_groups
from cassiahead_decisions import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["Peer", "PeerTable"]

# The fleet size that peers report counts this long after the start, until this
# process has reports of all groups.
_JOIN_DURATION_S = 5.0
# An address at which no process has answered for this long is forgotten.
_ADDRESS_RETENTION_S = 600.0
# Time until an address that did not answer is tried again; doubles with each
# failure.
_FIRST_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 2.0
# Number of failed addresses of each group that are tried again.
_MAX_RETRIED_PER_GROUP = 2


@attrs.define
class Peer:
    """Another process of the fleet.

    Attributes:
        process_name: Name of the process, new at each of its starts.
        address: Address at which the process accepts heartbeats.
        last_heartbeat_at: Time of the last heartbeat, on the receiver's
            monotonic clock.
    """

    process_name: str
    address: str
    last_heartbeat_at: float


@attrs.define
class _Failures:
    """Failed heartbeats to an address since its last answer.

    Attributes:
        count: Number of consecutive failures.
        started_at: Time of the first one.
        retry_at: Time at which the address is tried again.
    """

    count: int
    started_at: float
    retry_at: float


@attrs.define
class PeerTable:
    """The addresses, peers and groups that one process knows.

    All times are seconds on this process's monotonic clock.
    """

    _own_address: str
    _started_at: float = 0.0
    _own_id: int = attrs.field(init=False)
    _peer_by_address: dict[str, Peer] = attrs.field(factory=dict)
    # Known addresses in the order in which they were learned.
    _address_log: list[str] = attrs.field(factory=list)
    _known_addresses: set[str] = attrs.field(factory=set)
    # Addresses of each group, the nearest first.
    _addresses_by_group: dict[int, list[str]] = attrs.field(factory=dict)
    _failures_by_address: dict[str, _Failures] = attrs.field(factory=dict)
    _size_by_group: dict[int, group_sizes.GroupSize] = attrs.field(factory=dict)
    _seeds: set[str] = attrs.field(factory=set)
    _reported_fleet_size: int = 1

    def __attrs_post_init__(self) -> None:
        """Derives the id of this process from its address."""
        self._own_id = peer_groups.address_id(self._own_address)

    @property
    def address_count(self) -> int:
        """Number of addresses learned so far, including forgotten ones."""
        return len(self._address_log)

    def add_seeds(self, addresses: Collection[str]) -> None:
        """Adds addresses that are never forgotten."""
        self._seeds.update(addresses)
        for address in addresses:
            self.add_address(address)

    def add_address(self, address: str) -> None:
        """Adds an address at which there may be a process."""
        if address == self._own_address or address in self._known_addresses:
            return
        self._known_addresses.add(address)
        self._address_log.append(address)
        bisect.insort(
            self._addresses_by_group.setdefault(self.group_of(address), []),
            address,
            key=self._distance_to,
        )

    def group_of(self, address: str) -> int:
        """Returns the group of an address."""
        return peer_groups.group_number(
            self._own_id, peer_groups.address_id(address)
        )

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
        self.add_address(peer.address)
        self._failures_by_address.pop(peer.address, None)
        previous = self._peer_by_address.get(peer.address)
        self._peer_by_address[peer.address] = peer
        if previous is not None and previous.process_name != peer.process_name:
            return previous.process_name
        return None

    def record_group_size(
        self, group: int, staying_count: int, leaving_count: int, now: float
    ) -> None:
        """Records the number of members that a group's partner reported.

        Args:
            group: Number of the group.
            staying_count: Members that are not shutting down.
            leaving_count: Members that are shutting down.
            now: Current time.
        """
        size = self._size_by_group.get(group)
        if size is None:
            self._size_by_group[group] = group_sizes.GroupSize.from_report(
                staying_count, leaving_count, now
            )
        else:
            size.record(staying_count, leaving_count, now)

    def record_fleet_size(self, count: int) -> None:
        """Records the size of the fleet as a peer knows it."""
        self._reported_fleet_size = max(self._reported_fleet_size, count)

    def record_failure(self, address: str, now: float) -> None:
        """Records a heartbeat to an address that was not answered."""
        failures = self._failures_by_address.get(address)
        count = failures.count + 1 if failures else 1
        delay_s = min(
            _MAX_RETRY_DELAY_S, _FIRST_RETRY_DELAY_S * 2.0 ** min(count - 1, 10)
        )
        started_at = failures.started_at if failures else now
        self._failures_by_address[address] = _Failures(
            count, started_at, now + delay_s
        )

    def peer_at(self, address: str) -> Peer | None:
        """Returns the process that last sent a heartbeat from an address."""
        return self._peer_by_address.get(address)

    def addresses(self) -> list[str]:
        """Returns all addresses at which there is or may be a process."""
        return sorted(self._known_addresses)

    def addresses_since(self, count: int) -> list[str]:
        """Returns the addresses learned after the first ``count`` ones."""
        return [
            a for a in self._address_log[count:] if a in self._known_addresses
        ]

    def partners(self) -> dict[int, str]:
        """Returns the address of the partner of each group.

        The partner is the nearest address that has not failed since its last
        answer. A group without such an address has no partner.
        """
        partners: dict[int, str] = {}
        for group, addresses in self._addresses_by_group.items():
            for address in addresses:
                if address not in self._failures_by_address:
                    partners[group] = address
                    break
        return partners

    def is_partner(self, address: str) -> bool:
        """Returns whether an address is the partner of its group."""
        for candidate in self._addresses_by_group.get(
            self.group_of(address), []
        ):
            if candidate not in self._failures_by_address:
                return candidate == address
        return False

    def retry_addresses(self, now: float) -> list[str]:
        """Returns the addresses that failed and are due to be tried again.

        These are the two nearest ones of each group: one that answers is
        enough. In a group without a partner, all but the nearest take turns as
        the second one: at the nearest ones there may be no process any more.
        """
        due_addresses: list[str] = []
        for addresses in self._addresses_by_group.values():
            failed_addresses = [
                a for a in addresses if a in self._failures_by_address
            ]
            retried_addresses = failed_addresses[:_MAX_RETRIED_PER_GROUP]
            has_partner = len(failed_addresses) < len(addresses)
            if len(failed_addresses) > 1 and not has_partner:
                turn = int(now / _FIRST_RETRY_DELAY_S)
                turn %= len(failed_addresses) - 1
                retried_addresses[1] = failed_addresses[1 + turn]
            due_addresses.extend(
                address
                for address in retried_addresses
                if now >= self._failures_by_address[address].retry_at
            )
        return due_addresses

    def reachable_peers(self, now: float) -> list[Peer]:
        """Returns the peers with a recent heartbeat to or from this process."""
        return [
            p
            for p in self._peer_by_address.values()
            if now - p.last_heartbeat_at < group_sizes.REACHABLE_TIMEOUT_S
        ]

    def rank(self, resource: str) -> int:
        """Returns this process's rank for a resource; 0 is the highest.

        Addresses that have failed since their last answer are left out.
        Processes that know the same addresses agree on the order.
        """
        own_score = rendezvous.score(self._own_address, resource)
        return sum(
            1
            for address in self._known_addresses
            if address not in self._failures_by_address
            and rendezvous.score(address, resource) > own_score
        )

    def staying_count(self, lowest_group: int, now: float) -> int:
        """Returns the number of members within reach that stay.

        Args:
            lowest_group: Groups with lower numbers are left out.
            now: Current time.
        """
        return sum(
            size.staying.count
            for group, size in self._size_by_group.items()
            if group >= lowest_group and size.is_reachable(now)
        )

    def leaving_count(self, lowest_group: int, now: float) -> int:
        """Returns the number of members within reach that shut down.

        Args:
            lowest_group: Groups with lower numbers are left out.
            now: Current time.
        """
        return sum(
            size.leaving_count
            for group, size in self._size_by_group.items()
            if group >= lowest_group and size.is_reachable(now)
        )

    def fleet_size(self, now: float) -> int:
        """Returns the number of processes in the fleet, including this one.

        Members out of reach count for a time: each process divides the fleet's
        limits by this number, and the parts must not exceed the limits.
        """
        count = 1 + sum(
            size.members.highest(now) for size in self._size_by_group.values()
        )
        if now - self._started_at < _JOIN_DURATION_S:
            return max(count, self._reported_fleet_size)
        return count

    def is_isolated(self, now: float) -> bool:
        """Returns whether at most half of the fleet is within reach.

        This process counts as within reach. Processes that are shutting down or
        have done so in an orderly way are not counted.
        """
        sizes = self._size_by_group.values()
        staying_count = sum(size.staying.highest(now) for size in sizes)
        if staying_count <= 0:
            return False
        return 2 * (1 + self.staying_count(0, now)) <= 1 + staying_count

    def forget_lost_addresses(self, now: float) -> None:
        """Drops addresses without an answer for long, except for seeds."""
        for address, failures in list(self._failures_by_address.items()):
            is_lost = now - failures.started_at > _ADDRESS_RETENTION_S
            if is_lost and address not in self._seeds:
                del self._failures_by_address[address]
                self._known_addresses.discard(address)
                self._peer_by_address.pop(address, None)
                self._addresses_by_group[self.group_of(address)].remove(address)

    def _distance_to(self, address: str) -> int:
        return peer_groups.distance(
            self._own_id, peer_groups.address_id(address)
        )
