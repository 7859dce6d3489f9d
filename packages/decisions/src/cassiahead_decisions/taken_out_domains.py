"""Failure domains that are taken out of service.

A failure domain is out while its record exists. The backup that a configuration
service is restored from may lack the record, so that the failure domain is held
out for a time in which operators write the record again.

Load pattern: a service that is restored, once or several times in a row, while
a failure domain is out of service.
"""

from __future__ import annotations

import attrs

__all__ = ["HOLD_S", "TakenOutDomains"]

# Time for which a failure domain stays out after a new era was entered without
# its record, in seconds.
HOLD_S = 10.0


@attrs.define
class TakenOutDomains:
    """The failure domains that are out, with or without a record.

    All times are seconds on this process's monotonic clock.
    """

    _recorded: set[str] = attrs.field(factory=set)
    _held_until: dict[str, float] = attrs.field(factory=dict)

    def is_out(self, domain: str) -> bool:
        """Returns whether a failure domain is out of service."""
        return domain in self._recorded or domain in self._held_until

    def record_written(self, domain: str) -> None:
        """Records that the record of a failure domain exists."""
        self._recorded.add(domain)
        self._held_until.pop(domain, None)

    def record_deleted(self, domain: str) -> None:
        """Records that the record of a failure domain was deleted."""
        self._recorded.discard(domain)

    def record_missing(self, domain: str, now: float) -> None:
        """Records that the listing of a new era lacks a failure domain."""
        self._recorded.discard(domain)
        self._held_until[domain] = now + HOLD_S

    def extend_holds(self, now: float) -> None:
        """Starts the holds again; called when another era is entered."""
        for domain in self._held_until:
            self._held_until[domain] = now + HOLD_S

    def end_expired_holds(self, now: float) -> list[str]:
        """Ends the holds that are over; returns their failure domains."""
        expired = [d for d, at in self._held_until.items() if now >= at]
        for domain in expired:
            del self._held_until[domain]
        return expired
