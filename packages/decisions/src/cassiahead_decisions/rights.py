"""Rights to fleet-wide resources, lent by lease.

Each process of a role has one right of ``1 / ceiling`` to every resource of
that role: a client account's rate, a target's slots, a range of idempotency
keys. It can lend a right to one borrower at a time and does not use it until
the lease has ended on its own clock. The borrower counts the lease from before
it asked. Clocks may differ in speed by ``CLOCK_SKEW``. So no right is ever in
two hands, whatever the network or the schedulers do.
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
QUARANTINE_S = (max(LEASE_S, LENDER_CONTACT_TIMEOUT_S)) * (
    1 + 2 * MAX_CLOCK_DRIFT_RATIO
) + 0.2


@attrs.define
class _Loan:
    borrower: str
    until: float
    sequence: int


@attrs.define
class Lender:
    """The lending side of one process's own rights.

    A fresh process lends and uses nothing until ``QUARANTINE_S`` after its
    start, because its predecessor at the same address may have lent the right.
    A process that has heard from nobody for ``CONTACT_S`` lends nothing either:
    it may have been replaced meanwhile.
    """

    started_at: float
    _loans: dict[str, _Loan] = attrs.field(factory=dict)
    _contact: float = float("-inf")
    _suspended: bool = False

    def record_reply(self, asked_at: float) -> None:
        """Notes a reply to a message sent at ``asked_at``."""
        self._contact = max(self._contact, asked_at)

    def set_suspended(self, suspended: bool) -> None:
        """Bars or allows lending, as for a process above the ceiling."""
        self._suspended = suspended

    def lend(
        self, resource: str, borrower: str, sequence: int, now: float
    ) -> bool:
        """Lends or renews a right.

        Args:
            resource: Name of the rights.
            borrower: Identity of the borrowing process.
            sequence: Number of the borrower's request.
            now: Time on this process's clock.

        Returns:
            Whether the right was lent.
        """
        if not self.may_lend(now):
            return False
        loan = self._loans.get(resource)
        if loan and loan.until > now and loan.borrower != borrower:
            return False
        if loan and loan.borrower == borrower:
            sequence = max(sequence, loan.sequence)
        until = now + LEASE_S * (1 + 2 * MAX_CLOCK_DRIFT_RATIO)
        self._loans[resource] = _Loan(borrower, until, sequence)
        return True

    def release(self, resource: str, borrower: str, sequence: int) -> bool:
        """Ends a lease before its time, as its borrower asks.

        Args:
            resource: Name of the rights.
            borrower: Identity of the borrowing process.
            sequence: Number of the borrower's request; a request that was
                overtaken by a later renewal ends nothing.

        Returns:
            Whether a lease was ended.
        """
        loan = self._loans.get(resource)
        if loan is None or loan.borrower != borrower:
            return False
        if sequence < loan.sequence:
            return False
        del self._loans[resource]
        return True

    def may_lend(self, now: float) -> bool:
        """Returns whether this process may lend or use its rights."""
        if self._suspended or now < self.started_at + QUARANTINE_S:
            return False
        return now - self._contact < LENDER_CONTACT_TIMEOUT_S


@attrs.define
class _Lease:
    since: float
    until: float


@attrs.define
class Borrower:
    """The borrowing side: rights that this process holds, by resource."""

    _held: dict[str, dict[str, _Lease]] = attrs.field(factory=dict)
    _dropped_at: dict[str, float] = attrs.field(factory=dict)

    def record_lease(
        self,
        resource: str,
        lender: str,
        asked_at: float,
        lease_s: float,
        now: float,
    ) -> None:
        """Records a lease, counted from before it was asked for.

        A reply to a request from before the resource was last dropped is
        ignored, since the right may have been handed back since.
        """
        until = asked_at + min(lease_s, LEASE_S)
        if until <= now or asked_at <= self._dropped_at.get(resource, -1.0):
            return
        leases = self._held.setdefault(resource, {})
        running = leases.get(lender)
        if running is None or running.until <= now:
            leases[lender] = _Lease(now, until)
        else:
            running.until = max(running.until, until)

    def drop(self, resource: str, now: float) -> list[str]:
        """Forgets all rights to a resource before they are handed back.

        Returns:
            The lenders to hand them back to.
        """
        self._dropped_at[resource] = now
        leases = self._held.pop(resource, {})
        return [lender for lender, lease in leases.items() if lease.until > now]

    def rights_held(self, resource: str, until: float) -> int:
        """Returns the number of rights held now and until ``until``."""
        leases = self._held.get(resource, {})
        return sum(1 for lease in leases.values() if lease.until > until)

    def rights_held_since(self, resource: str, since: float, now: float) -> int:
        """Returns the number of rights held all the time from ``since``."""
        return sum(
            1
            for lease in self._held.get(resource, {}).values()
            if lease.since <= since and lease.until > now
        )

    def held_resources(self) -> list[str]:
        """Returns the resources for which rights are or were held."""
        return list(self._held)


def apportion(units: int, held: int, ceiling: int) -> int:
    """Returns how many indivisible units a number of rights stands for.

    The holder of more than half rounds up and every other holder rounds down,
    so the sum over all holders is never more than ``units``, and the loss of
    a minority of the lenders costs the majority's holder nothing it can keep.

    Args:
        units: Units over the whole fleet, such as a target's slots.
        held: Rights held here.
        ceiling: Rights over the whole fleet.
    """
    held = min(held, ceiling)
    if 2 * held > ceiling:
        return -(-units * held // ceiling)
    return units * held // ceiling
