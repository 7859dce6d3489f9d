"""Token buckets that limit client accounts over the whole fleet.

Each right to an account's rate adds ``burst / ceiling`` tokens of capacity and
``rate / ceiling`` tokens per second. The account's home borrows the rights and
keeps one bucket for all of them. A bucket starts empty, and when a lease ends,
tokens above the remaining capacity are discarded before the bucket of the next
holder, which also starts empty, can fill. So a right that moves never counts
twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import ceiling
from cassiahead_decisions import rights

if TYPE_CHECKING:
    from cassiahead_notes import api as notes

__all__ = [
    "LIMIT_CHANGE_OVERLAP_S",
    "ADMISSION_LIFETIME_S",
    "SETTLING_S",
    "AccountRateLimiter",
    "AdmissionVerdict",
    "account_resource",
]

# Time after a change of a limit in which processes may still apply the old
# limit; also the time to retry after if no rights are held.
LIMIT_CHANGE_OVERLAP_S = 5.0
# An admission that takes longer than this to arrive is discarded.
ADMISSION_LIFETIME_S = 0.1
# Time that rights must have been held to count as settled, and for which a
# refused request is retried until more than half of them are settled.
SETTLING_S = 0.5
# Rounding tolerance, in tokens: a bucket that falls short of a whole token by
# less than this admits the request.
_TOKEN_TOLERANCE = 1e-9


def account_resource(account: str) -> str:
    """Returns the resource name of a client account's rate limit."""
    return f"account:{account}"


@attrs.frozen
class AdmissionVerdict:
    """Verdict on a batch of requests of one client account.

    Attributes:
        granted_count: Number of requests admitted.
        retry_after_s: Seconds until one more request may be admitted.
        is_settling: Whether the rights that this process has held for at least
            ``SETTLING_S`` are at most half of the account's rights. An early
            retry may then be admitted.
    """

    granted_count: int
    retry_after_s: float
    is_settling: bool = False


@attrs.define
class _Bucket:
    """Token bucket of one client account.

    Attributes:
        tokens: Number of requests that could be admitted at ``updated_at``;
            includes fractions.
        updated_at: Time of the last refill on this process's clock.
    """

    tokens: float = 0.0
    updated_at: float = 0.0


@attrs.define
class _Limit:
    """Limit of one client account, before and after its last change.

    Attributes:
        rate_per_s: Requests admitted per second over the whole fleet.
        burst: Requests admitted at once over the whole fleet.
        previous_values: Rate (per second) and burst that applied just before
            the last change; None if there was no change.
        changed_at: Time of the last change on this process's clock.
    """

    rate_per_s: float
    burst: float
    previous_values: tuple[float, float] | None = None
    changed_at: float = 0.0

    def effective_values(self, now: float) -> tuple[float, float]:
        """Returns rate (per second) and burst to apply.

        For ``LIMIT_CHANGE_OVERLAP_S`` after a change these are the smaller of
        the old and new values, since other processes may still apply the old
        ones.
        """
        if (
            self.previous_values is None
            or now >= self.changed_at + LIMIT_CHANGE_OVERLAP_S
        ):
            return self.rate_per_s, self.burst
        old_rate_per_s, old_burst = self.previous_values
        return min(self.rate_per_s, old_rate_per_s), min(self.burst, old_burst)


@attrs.define
class AccountRateLimiter:
    """Admits requests of client accounts within the rights held here."""

    _borrower: rights.Borrower
    _ceiling: ceiling.Ceiling
    # Buckets and limits, by name of the client account.
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)
    _limits: dict[str, _Limit] = attrs.field(factory=dict)

    def configure(self, accounts: dict[str, notes.Account], now: float) -> None:
        """Adopts limits that came into force, and drops removed accounts.

        Args:
            accounts: All client accounts of the configuration, by name.
            now: Time on this process's clock.
        """
        for name in list(self._limits):
            if name not in accounts:
                del self._limits[name]
                self._buckets.pop(name, None)
        for name, account in accounts.items():
            self._configure_account(name, account, now)

    def admit(
        self, account: str, wanted_count: int, now: float
    ) -> AdmissionVerdict:
        """Takes up to ``wanted_count`` tokens from a client account's bucket.

        Args:
            account: Name of the client account.
            wanted_count: Number of requests to admit.
            now: Time on this process's clock.

        Returns:
            The verdict, which admits none if the account is unknown or no
            rights to it are held.
        """
        limit = self._limits.get(account)
        if limit is None:
            return AdmissionVerdict(0, LIMIT_CHANGE_OVERLAP_S)
        rate_per_s, burst = limit.effective_values(now)
        bucket = self._refill(account, rate_per_s, burst, now)
        granted_count = min(wanted_count, int(bucket.tokens + _TOKEN_TOLERANCE))
        bucket.tokens = max(0.0, bucket.tokens - granted_count)
        fill_rate_per_s = rate_per_s * self.held_fraction(account, now)
        missing_tokens = max(0.0, 1.0 - bucket.tokens)
        wait_s = (
            missing_tokens / fill_rate_per_s
            if fill_rate_per_s > 0
            else LIMIT_CHANGE_OVERLAP_S
        )
        return AdmissionVerdict(
            granted_count, wait_s, self._is_settling(account, now)
        )

    def refill_all(self, now: float) -> None:
        """Refills all buckets, and discards the tokens of ended leases."""
        for name, limit in self._limits.items():
            self._refill(name, *limit.effective_values(now), now)

    def held_fraction(self, account: str, now: float) -> float:
        """Returns the fraction of the account's rate held here, 0 to 1."""
        held_right_count = self._borrower.held_right_count(
            account_resource(account), now
        )
        return min(1.0, held_right_count / self._ceiling.effective_value(now))

    def _is_settling(self, account: str, now: float) -> bool:
        """Returns whether the bucket may soon fill faster than now.

        True if the rights held for at least ``SETTLING_S`` are at most half of
        the account's rights, as after a move of the account's home.
        """
        settled_right_count = self._borrower.held_right_count_since(
            account_resource(account), now - SETTLING_S, now
        )
        return 2 * settled_right_count <= self._ceiling.effective_value(now)

    def _configure_account(
        self, name: str, account: notes.Account, now: float
    ) -> None:
        limit = self._limits.get(name)
        if limit is None:
            self._limits[name] = _Limit(account.rate_per_s, account.burst)
            return
        if (limit.rate_per_s, limit.burst) == (
            account.rate_per_s,
            account.burst,
        ):
            return
        previous_values = limit.effective_values(now)
        self._limits[name] = _Limit(
            account.rate_per_s, account.burst, previous_values, now
        )

    def _refill(
        self, account: str, rate_per_s: float, burst: float, now: float
    ) -> _Bucket:
        """Adds tokens for the time since the last refill.

        Only rights held without a gap since then count, so that the tokens of
        ended leases are discarded.
        """
        bucket = self._buckets.setdefault(account, _Bucket(updated_at=now))
        held_right_count = self._borrower.held_right_count_since(
            account_resource(account), bucket.updated_at, now
        )
        held_fraction = min(
            1.0, held_right_count / self._ceiling.effective_value(now)
        )
        elapsed_s = max(0.0, now - bucket.updated_at)
        filled_tokens = bucket.tokens + elapsed_s * rate_per_s * held_fraction
        bucket.tokens = min(filled_tokens, burst * held_fraction)
        bucket.updated_at = now
        return bucket
