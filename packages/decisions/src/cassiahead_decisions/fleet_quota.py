"""Fleet-wide rate limits for client accounts, without shared state.

Each process keeps one token bucket per account that models the whole fleet's
bucket. The process deducts its own admissions at once, and those of a peer when
the peer's cumulative counts arrive. Between two reports of a peer the process
deducts admissions at the peer's last known rate, so that a late report or an
unreachable peer does not let the account exceed its limit.

The requests of an account that stays above its rate are sampled (see
``sampling``).

Load pattern: one account sends several times its rate through all hosts at
once, while some hosts are cut off from the others or have just restarted.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import sampling

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["FleetQuota", "RateLimit"]

# Time constant of the exponential smoothing of admission rates.
_RATE_TIME_CONSTANT_S = 1.0
# A peer without a report for this long is presumed to have ended.
_PEER_RETENTION_S = 30.0
# Accounts with an admission within this time are in every report, so that the
# next report makes up for a lost one.
_ACTIVITY_WINDOW_S = 5.0
# Initial tokens of a process that does not know what the fleet has admitted,
# in seconds of the account's rate.
_INITIAL_TOKENS_S = 0.5
# Share of the fleet's limit that a process may use while it has no reports of
# any peer.
_NO_PEERS_SHARE_FRACTION = 0.125
# Fraction of its share that an isolated process may use. The other processes
# deduct only its rate before the partition, and may therefore admit more than
# the limit less its share.
_ISOLATED_USE_FRACTION = 0.7

# A bucket with a capacity below one token admits nothing, whatever its rate.
_MIN_BURST_TOKENS = 1.0
_ALWAYS_IN_SAMPLE = sampling.SamplePoint(0.0, 0.0)


@attrs.frozen
class RateLimit:
    """Limit of one client account over all hosts.

    Attributes:
        rate_per_s: Admissions per second; 0 for no limit.
        burst: Capacity of the token bucket: admissions possible at once.
    """

    rate_per_s: float
    burst: float


@attrs.define
class _PeerAdmissions:
    """Admissions of one peer for one account.

    Attributes:
        reported_count: Highest cumulative count reported.
        reported_at: Time of the last report.
        rate_per_s: Smoothed rate of admissions.
        assumed_count: Admissions deducted since the last report, as predicted
            by the rate.
    """

    reported_count: int
    reported_at: float
    rate_per_s: float = 0.0
    assumed_count: float = 0.0

    def merge_count(self, count: int, now: float) -> float:
        """Merges a reported cumulative count.

        Returns:
            The number of admissions still to be deducted from the account's
            tokens; negative if the peer admitted fewer than were assumed.
        """
        admitted_count = max(0, count - self.reported_count)
        elapsed_s = max(1e-3, now - self.reported_at)
        weight = 1 - math.exp(-elapsed_s / _RATE_TIME_CONSTANT_S)
        self.rate_per_s += weight * (
            admitted_count / elapsed_s - self.rate_per_s
        )
        undeducted_count = admitted_count - self.assumed_count
        # A report may arrive after a newer one that has a higher count.
        self.reported_count = max(self.reported_count, count)
        self.reported_at = now
        self.assumed_count = 0.0
        return undeducted_count


@attrs.define
class _Bucket:
    """Token bucket of one account.

    Attributes:
        limit: Limit of the account over the fleet.
        tokens: Tokens of the whole fleet, as estimated by this process.
        own_tokens: Tokens of this process's own share, which are required in
            addition while the process is isolated.
        refilled_at: Time of the last refill.
        own_count: Admissions of this process since its start.
        own_rate_per_s: Smoothed rate of this process's admissions, as of the
            last admission.
        own_last_admitted_at: Time of this process's last admission.
        admissions_by_peer: Admissions of the peers, by name of their process.
        sampler: Sampler of the account's requests.
    """

    limit: RateLimit
    tokens: float
    own_tokens: float
    refilled_at: float
    own_count: int = 0
    own_rate_per_s: float = 0.0
    own_last_admitted_at: float = 0.0
    admissions_by_peer: dict[str, _PeerAdmissions] = attrs.field(factory=dict)
    sampler: sampling.Sampler = attrs.field(factory=sampling.Sampler)

    def refill(self, now: float) -> None:
        """Adds the accrued tokens and deducts the peers' assumed admissions.

        Each peer is assumed to admit requests at its last smoothed rate.
        """
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        gained_tokens = self.limit.rate_per_s * elapsed_s
        for peer in self.admissions_by_peer.values():
            assumed_count = peer.rate_per_s * elapsed_s
            peer.assumed_count += assumed_count
            gained_tokens -= assumed_count
        self.tokens = min(self.limit.burst, self.tokens + gained_tokens)
        own_fraction = _ISOLATED_USE_FRACTION * self.share_fraction()
        self.own_tokens = min(
            max(1.0, own_fraction * self.limit.burst),
            self.own_tokens + own_fraction * self.limit.rate_per_s * elapsed_s,
        )

    def fill_fraction(self) -> float:
        """Returns the fleet's tokens as a fraction of the burst."""
        return self.tokens / self.limit.burst

    def share_fraction(self) -> float:
        """Returns this process's share of the fleet's limit, 0 to 1."""
        if not self.admissions_by_peer:
            return _NO_PEERS_SHARE_FRACTION
        even_fraction = 1 / (1 + len(self.admissions_by_peer))
        fleet_rate_per_s = self.own_rate_per_s + sum(
            p.rate_per_s for p in self.admissions_by_peer.values()
        )
        if fleet_rate_per_s <= 0:
            return even_fraction
        # The mean of the share by demand and the even share: a process without
        # demand so far keeps a share, and the shares still add up to one.
        return (self.own_rate_per_s / fleet_rate_per_s + even_fraction) / 2

    def record_admission(self, now: float) -> None:
        """Deducts and counts one admission of this process."""
        self.tokens -= 1
        self.own_tokens -= 1
        self.own_count += 1
        elapsed_s = max(1e-3, now - self.own_last_admitted_at)
        decayed_rate_per_s = self.own_rate_per_s * math.exp(
            -elapsed_s / _RATE_TIME_CONSTANT_S
        )
        self.own_rate_per_s = decayed_rate_per_s + 1 / _RATE_TIME_CONSTANT_S
        self.own_last_admitted_at = now


@attrs.define
class FleetQuota:
    """Admits requests of client accounts within their fleet-wide limits.

    All times are seconds on this process's monotonic clock.
    """

    _limits: dict[str, RateLimit] = attrs.field(factory=dict)
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)
    _last_report_at_by_peer: dict[str, float] = attrs.field(factory=dict)

    def set_limits(self, limits: Mapping[str, RateLimit], now: float) -> None:
        """Replaces the limits of all accounts.

        Accounts that keep a limit keep their bucket; tokens in excess of a
        smaller burst are removed at once.

        Args:
            limits: Limits by client account.
            now: Current time.
        """
        self._limits = {
            account: RateLimit(
                limit.rate_per_s, max(_MIN_BURST_TOKENS, limit.burst)
            )
            for account, limit in limits.items()
            if limit.rate_per_s > 0
        }
        for account in list(self._buckets):
            limit = self._limits.get(account)
            if limit is None:
                del self._buckets[account]
                continue
            bucket = self._buckets[account]
            bucket.refill(now)
            bucket.limit = limit
            bucket.tokens = min(bucket.tokens, limit.burst)
        for account, limit in self._limits.items():
            if account not in self._buckets:
                self._buckets[account] = _new_bucket(limit, now)

    def admit(
        self,
        account: str,
        now: float,
        is_isolated: bool,
        sample_point: sampling.SamplePoint = _ALWAYS_IN_SAMPLE,
    ) -> bool:
        """Admits one request of an account, or refuses the request.

        Args:
            account: Client account; one without a limit is always admitted.
            now: Current time.
            is_isolated: Whether at most half of the fleet, including this
                process, is reachable; an isolated process admits no more than
                a part of its own share.
            sample_point: The request's position in the account's sample. The
                default is in every sample.

        Returns:
            Whether the request is admitted. An admission is deducted.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            return True
        bucket.refill(now)
        if not bucket.sampler.admits(sample_point, bucket.fill_fraction(), now):
            return False
        if bucket.tokens < 1:
            return False
        if is_isolated and bucket.own_tokens < 1:
            return False
        bucket.record_admission(now)
        return True

    def is_sampled_out(
        self, account: str, now: float, sample_point: sampling.SamplePoint
    ) -> bool:
        """Returns whether the account's sample excludes a request."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return False
        bucket.refill(now)
        return not bucket.sampler.admits(
            sample_point, bucket.fill_fraction(), now
        )

    def retry_after_s(
        self,
        account: str,
        now: float,
        sample_point: sampling.SamplePoint = _ALWAYS_IN_SAMPLE,
    ) -> float:
        """Returns the seconds until a refused request may be admitted.

        A request that the sample excludes may be admitted when the next sample
        is drawn, any other request when the account has a token again.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            return 0.0
        if self.is_sampled_out(account, now, sample_point):
            return sample_point.next_draw_in_s
        bucket.refill(now)
        missing_tokens = max(0.0, 1 - bucket.tokens)
        return missing_tokens / bucket.limit.rate_per_s

    def own_admission_counts(
        self, now: float, include_idle: bool
    ) -> dict[str, int]:
        """Returns this process's admissions since its start, by account.

        Args:
            now: Current time.
            include_idle: Whether to include accounts without recent
                admissions. A peer needs them in the first report that it gets
                from this process.
        """
        active_since = -math.inf if include_idle else now - _ACTIVITY_WINDOW_S
        return {
            account: bucket.own_count
            for account, bucket in self._buckets.items()
            if bucket.own_count and bucket.own_last_admitted_at >= active_since
        }

    def tokens(self, now: float) -> dict[str, float]:
        """Returns the fleet's tokens by account, for a peer that starts."""
        for bucket in self._buckets.values():
            bucket.refill(now)
        return {
            account: round(bucket.tokens, 1)
            for account, bucket in self._buckets.items()
        }

    def adopt_tokens(self, tokens: Mapping[str, float]) -> None:
        """Replaces this process's tokens with a peer's, at the process's start.

        Args:
            tokens: The fleet's tokens by account. Accounts without a limit
                are ignored.
        """
        for account, account_tokens in tokens.items():
            bucket = self._buckets.get(account)
            if bucket is not None:
                bucket.tokens = min(bucket.limit.burst, account_tokens)

    def merge_report(
        self,
        peer: str,
        counts: Mapping[str, int],
        now: float,
        started_later: bool = False,
    ) -> None:
        """Merges a peer's admissions since the peer's start.

        Args:
            peer: Name of the peer's process, which is new at each start.
            counts: Cumulative admissions by account.
            now: Current time.
            started_later: Whether the peer started at about the same time as
                this process or later, so that this process has not accounted
                for any of the peer's admissions yet.
        """
        # The initial or adopted tokens account for the past admissions of a
        # peer that started earlier: its first report is only a baseline.
        is_baseline = (
            peer not in self._last_report_at_by_peer and not started_later
        )
        self._last_report_at_by_peer[peer] = now
        for account, count in counts.items():
            bucket = self._buckets.get(account)
            if bucket is None:
                continue
            bucket.refill(now)
            peer_admissions = bucket.admissions_by_peer.get(peer)
            if peer_admissions is not None:
                bucket.tokens -= peer_admissions.merge_count(count, now)
                continue
            bucket.admissions_by_peer[peer] = _PeerAdmissions(count, now)
            if not is_baseline:
                # The whole count is new: the peer's earlier reports lacked
                # this account, or the peer started later than this process.
                bucket.tokens -= count
        # The peer has had no recent admissions for accounts that its report
        # lacks: their rates fall.
        for account, bucket in self._buckets.items():
            if account not in counts and peer in bucket.admissions_by_peer:
                bucket.tokens -= bucket.admissions_by_peer[peer].merge_count(
                    0, now
                )

    def forget_peer(self, peer: str) -> None:
        """Drops the admission counts and rates of a process that has ended."""
        self._last_report_at_by_peer.pop(peer, None)
        for bucket in self._buckets.values():
            bucket.admissions_by_peer.pop(peer, None)

    def forget_silent_peers(self, now: float) -> None:
        """Drops the counts and rates of peers whose last report is too old."""
        for peer, reported_at in list(self._last_report_at_by_peer.items()):
            if now - reported_at > _PEER_RETENTION_S:
                self.forget_peer(peer)


def _new_bucket(limit: RateLimit, now: float) -> _Bucket:
    # The fleet's admissions before this process's start are unknown: a full
    # bucket could grant a second burst within a few seconds of the first.
    tokens = min(limit.burst, max(5.0, _INITIAL_TOKENS_S * limit.rate_per_s))
    return _Bucket(
        limit, tokens, max(1.0, _NO_PEERS_SHARE_FRACTION * tokens), now
    )
