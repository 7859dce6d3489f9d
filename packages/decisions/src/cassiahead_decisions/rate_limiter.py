"""Rate limits of client accounts over the fleet, by lent rights.

Every right carries ``burst / ceiling`` tokens and fills at ``rate / ceiling``.
Rights of one account meet at its home and share one bucket there. The bucket
starts empty; when a lease ends, tokens above the remaining capacity are lost
before the lender's empty bucket starts to fill.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import ceiling as ceiling_lib
from cassiahead_decisions import rights

if TYPE_CHECKING:
    from cassiahead_notes import api

__all__ = [
    "LIMIT_CHANGE_OVERLAP_S",
    "ADMISSION_LIFETIME_S",
    "SETTLING_S",
    "AccountRateLimiter",
    "Admission",
    "account_resource",
]

LIMIT_CHANGE_OVERLAP_S = 5.0
ADMISSION_LIFETIME_S = 0.1
SETTLING_S = 0.5
_EPSILON = 1e-9


def account_resource(account: str) -> str:
    """Returns the name of the rights to a client account's rate."""
    return f"account:{account}"


@attrs.frozen
class Admission:
    """Verdict on a batch of admissions.

    Attributes:
        granted: Number granted.
        retry_after_s: Seconds until one more may be granted.
        settling: Whether rights have been held for a short time only.
    """

    granted: int
    retry_after_s: float
    settling: bool = False


@attrs.define
class _Bucket:
    level: float = 0.0
    updated: float = 0.0


@attrs.define
class _Limit:
    rate: float
    burst: float
    previous: tuple[float, float] | None = None
    changed_at: float = 0.0

    def governing(self, now: float) -> tuple[float, float]:
        """Returns rate and burst; the smaller of old and new for a while."""
        if (
            self.previous is None
            or now >= self.changed_at + LIMIT_CHANGE_OVERLAP_S
        ):
            return self.rate, self.burst
        old_rate, old_burst = self.previous
        return min(self.rate, old_rate), min(self.burst, old_burst)


@attrs.define
class AccountRateLimiter:
    """Admits requests of client accounts by the rights held here."""

    _borrower: rights.Borrower
    _ceiling: ceiling_lib.Ceiling
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)
    _limits: dict[str, _Limit] = attrs.field(factory=dict)

    def configure(self, accounts: dict[str, api.Account], now: float) -> None:
        """Takes over the limits that came into force at ``now``."""
        for name in list(self._limits):
            if name not in accounts:
                del self._limits[name]
                self._buckets.pop(name, None)
        for name, account in accounts.items():
            self._configure_account(name, account, now)

    def admit(self, account: str, wanted: int, now: float) -> Admission:
        """Takes up to ``wanted`` tokens of a client account.

        Args:
            account: Name of the client account.
            wanted: Number of requests that ask to run.
            now: Time on this process's clock.

        Returns:
            What was granted. Nothing, if no rights are held.
        """
        limit = self._limits.get(account)
        if limit is None:
            return Admission(0, LIMIT_CHANGE_OVERLAP_S)
        rate, burst = limit.governing(now)
        bucket = self._refill(account, rate, burst, now)
        granted = min(wanted, int(bucket.level + _EPSILON))
        bucket.level = max(0.0, bucket.level - granted)
        filling = rate * self.held_fraction(account, now)
        missing = max(0.0, 1.0 - bucket.level)
        wait = missing / filling if filling > 0 else LIMIT_CHANGE_OVERLAP_S
        return Admission(granted, wait, self._settling(account, now))

    def refill_all(self, now: float) -> None:
        """Refills all buckets, so that ended leases take their tokens away."""
        for name, limit in self._limits.items():
            self._refill(name, *limit.governing(now), now)

    def held_fraction(self, account: str, now: float) -> float:
        """Returns the fraction of the account's rate that is held here."""
        held = self._borrower.rights_held(account_resource(account), now)
        return min(1.0, held / self._ceiling.effective_value(now))

    def _settling(self, account: str, now: float) -> bool:
        """Returns whether most rights came to this home a moment ago."""
        old = self._borrower.rights_held_since(
            account_resource(account), now - SETTLING_S, now
        )
        return 2 * old <= self._ceiling.effective_value(now)

    def _configure_account(
        self, name: str, account: api.Account, now: float
    ) -> None:
        limit = self._limits.get(name)
        if limit is None:
            self._limits[name] = _Limit(account.rate_per_s, account.burst)
            return
        if (limit.rate, limit.burst) == (account.rate_per_s, account.burst):
            return
        previous = limit.governing(now)
        self._limits[name] = _Limit(
            account.rate_per_s, account.burst, previous, now
        )

    def _refill(
        self, account: str, rate: float, burst: float, now: float
    ) -> _Bucket:
        bucket = self._buckets.setdefault(account, _Bucket(updated=now))
        kept = self._borrower.rights_held_since(
            account_resource(account), bucket.updated, now
        )
        share = min(1.0, kept / self._ceiling.effective_value(now))
        elapsed = max(0.0, now - bucket.updated)
        filled = bucket.level + elapsed * rate * share
        bucket.level = min(filled, burst * share)
        bucket.updated = now
        return bucket
