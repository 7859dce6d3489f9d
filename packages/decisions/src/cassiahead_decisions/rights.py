"""Divides fleet-wide limits among processes by leases.

Each process of a role has one right to every resource of that role: a client
account's rate, a target's slots, a range of idempotency keys. A right is worth
``1 / ceiling`` of the resource, where the ceiling is the number of processes of
the role that may run at once. A lender lends a right to one borrower at a time,
and doesn't use or lend the right again until the lease has ended on the
lender's clock. The borrower counts the lease from when it sent the request, and
the lender adds a margin, since the speed of either clock may be off by up to
``MAX_CLOCK_DRIFT_RATIO``. Hence a right lent by one process never has two
holders at once, however long messages are delayed or processes are paused. A
successor at the same address lends the same right after a quarantine; the
comment at ``QUARANTINE_S`` gives a case in which two processes then hold it.
"""

from __future__ import annotations

import attrs

__all__ = [
    "MAX_CLOCK_DRIFT_RATIO",
    "LENDER_CONTACT_TIMEOUT_S",
    "LEASE_S",
    "QUARANTINE_S",
    "Borrower",
    "Lender",
    "apportion",
]

LEASE_S = 2.0
MAX_CLOCK_DRIFT_RATIO = 0.001
LENDER_CONTACT_TIMEOUT_S = 3.0
# Long enough for the leases of a predecessor at the same address to end if it
# has stopped, and for the predecessor to stop lending if it still runs but has
# lost contact with its peers, plus 0.2 s. The quarantine doesn't cover the last
# lease of a predecessor that loses contact without learning of its successor:
# the lease may be granted up to LENDER_CONTACT_TIMEOUT_S after the last contact
# and ends LEASE_S later, which may be after the quarantine. Until then the
# right may have two holders.
QUARANTINE_S = (max(LEASE_S, LENDER_CONTACT_TIMEOUT_S)) * (
    1 + 2 * MAX_CLOCK_DRIFT_RATIO
) + 0.2


@attrs.define
class _GrantedLease:
    """A lease as the lender sees it.

    Attributes:
        borrower: Identity of the borrowing process.
        ends_at: End of the lease on the lender's clock.
        sequence: Sequence number of the borrower's newest request for the
            right.
    """

    borrower: str
    ends_at: float
    sequence: int


@attrs.define
class Lender:
    """Lends one process's own rights, each to one borrower at a time.

    A process lends and uses none of its rights until ``QUARANTINE_S`` after its
    start, because a predecessor at the same address may have lent them. It also
    lends and uses none if no request sent within the last
    ``LENDER_CONTACT_TIMEOUT_S`` has been answered: a successor at the same
    address may have been started in the meantime.

    Attributes:
        started_at: Start of this process on its own clock.
    """

    started_at: float
    # Latest lease of each right, by name of the resource.
    _granted_leases: dict[str, _GrantedLease] = attrs.field(factory=dict)
    # Time at which the newest request that was answered was sent.
    _last_contact_at: float = float("-inf")
    _is_suspended: bool = False

    def record_contact(self, request_sent_at: float) -> None:
        """Records contact with a peer or the configuration service.

        Args:
            request_sent_at: Time on this process's clock at which the request
                to the peer or the service was sent. The time of the response is
                no proof of recent contact, since the response may have been
                delayed.
        """
        self._last_contact_at = max(self._last_contact_at, request_sent_at)

    def set_suspended(self, suspended: bool) -> None:
        """Suspends or resumes lending and use of this process's rights.

        Args:
            suspended: True while the process is superseded, or while as many
                older processes are alive as the ceiling allows.
        """
        self._is_suspended = suspended

    def lend(
        self, resource: str, borrower: str, sequence: int, now: float
    ) -> bool:
        """Lends or renews this process's right to a resource.

        Args:
            resource: Name of the resource.
            borrower: Identity of the borrowing process.
            sequence: Sequence number of the borrower's request.
            now: Time on this process's clock.

        Returns:
            Whether the right was lent.
        """
        if not self.may_lend(now):
            return False
        lease = self._granted_leases.get(resource)
        if lease and lease.ends_at > now and lease.borrower != borrower:
            return False
        if lease and lease.borrower == borrower:
            sequence = max(sequence, lease.sequence)
        ends_at = now + LEASE_S * (1 + 2 * MAX_CLOCK_DRIFT_RATIO)
        self._granted_leases[resource] = _GrantedLease(
            borrower, ends_at, sequence
        )
        return True

    def release(self, resource: str, borrower: str, sequence: int) -> bool:
        """Ends a lease early at the borrower's request.

        Args:
            resource: Name of the resource.
            borrower: Identity of the borrowing process.
            sequence: Sequence number of the borrower's request. A request that
                arrives after a later renewal doesn't end the lease.

        Returns:
            Whether a lease was ended.
        """
        lease = self._granted_leases.get(resource)
        if lease is None or lease.borrower != borrower:
            return False
        if sequence < lease.sequence:
            return False
        del self._granted_leases[resource]
        return True

    def may_lend(self, now: float) -> bool:
        """Returns whether this process may lend or use its own rights.

        False while suspended, in quarantine or out of contact.
        """
        if self._is_suspended or now < self.started_at + QUARANTINE_S:
            return False
        return now - self._last_contact_at < LENDER_CONTACT_TIMEOUT_S


@attrs.define
class _HeldLease:
    """A lease as the borrower sees it, in times on the borrower's clock.

    Attributes:
        acquired_at: Time from which the right has been held without a gap.
        ends_at: End of the lease, counted from when the request was sent.
    """

    acquired_at: float
    ends_at: float


@attrs.define
class Borrower:
    """Keeps the leases that lenders have granted to this process."""

    # By name of the resource, then by address of the lender.
    _held_leases: dict[str, dict[str, _HeldLease]] = attrs.field(factory=dict)
    # Time at which the rights to a resource were last forgotten.
    _forgotten_at_by_resource: dict[str, float] = attrs.field(factory=dict)

    def record_lease(
        self,
        resource: str,
        lender: str,
        request_sent_at: float,
        lease_s: float,
        now: float,
    ) -> None:
        """Records a granted lease, counted from when the request was sent.

        A reply to a request sent before the rights were last forgotten is
        ignored, because the right may have been released in between.

        Args:
            resource: Name of the resource.
            lender: Address of the lending process.
            request_sent_at: Time at which the request was sent.
            lease_s: Duration granted, in seconds; at most ``LEASE_S`` counts.
            now: Time on this process's clock.
        """
        ends_at = request_sent_at + min(lease_s, LEASE_S)
        if (
            ends_at <= now
            or request_sent_at
            <= self._forgotten_at_by_resource.get(resource, -1.0)
        ):
            return
        leases = self._held_leases.setdefault(resource, {})
        current_lease = leases.get(lender)
        if current_lease is None or current_lease.ends_at <= now:
            leases[lender] = _HeldLease(now, ends_at)
        else:
            current_lease.ends_at = max(current_lease.ends_at, ends_at)

    def forget_rights(self, resource: str, now: float) -> list[str]:
        """Forgets all rights to a resource, so that they can be released.

        Returns:
            Addresses of the lenders whose leases are still running.
        """
        self._forgotten_at_by_resource[resource] = now
        leases = self._held_leases.pop(resource, {})
        return [
            lender for lender, lease in leases.items() if lease.ends_at > now
        ]

    def held_right_count(self, resource: str, until: float) -> int:
        """Returns the number of rights whose leases end after ``until``.

        Args:
            resource: Name of the resource.
            until: Time on this process's clock, not in the past.
        """
        leases = self._held_leases.get(resource, {})
        return sum(1 for lease in leases.values() if lease.ends_at > until)

    def held_right_count_since(
        self, resource: str, since: float, now: float
    ) -> int:
        """Returns the number of rights held without a gap since a time.

        Args:
            resource: Name of the resource.
            since: Time on this process's clock from which on a right must have
                been held.
            now: Time on this process's clock.
        """
        return sum(
            1
            for lease in self._held_leases.get(resource, {}).values()
            if lease.acquired_at <= since and lease.ends_at > now
        )

    def held_resources(self) -> list[str]:
        """Returns the resources to which rights are or were held.

        Resources whose rights were forgotten are left out.
        """
        return list(self._held_leases)


def apportion(units: int, held_right_count: int, ceiling: int) -> int:
    """Returns the number of indivisible units that a number of rights allows.

    The holder of more than half of the rights rounds up and every other holder
    rounds down, so that all holders together never get more than ``units``. A
    home that holds a majority therefore often keeps all units when a few of
    its lenders are lost: 7 of 8 rights to 2 slots still allow 2.

    Args:
        units: Units over the whole fleet, such as a target's slots.
        held_right_count: Number of rights held by this process.
        ceiling: Number of rights over the whole fleet.
    """
    held_right_count = min(held_right_count, ceiling)
    if 2 * held_right_count > ceiling:
        return -(-units * held_right_count // ceiling)
    return units * held_right_count // ceiling
