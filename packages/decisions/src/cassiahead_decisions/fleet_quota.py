"""Rates of client accounts over the whole fleet, without shared state.

Each process keeps one token bucket an account that stands for the fleet. It
takes its own admissions at once and those of its peers as their cumulative
counts arrive. Between two reports it goes on at the peer's last known rate, so
that a report which is late, or a peer that is cut off, is allowed for.

An account that goes on above its rate is sampled (see ``sampling``).

Load pattern: one account sends several times its rate through all hosts at
once, while some hosts are cut off from the others or were just restarted.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import sampling

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["FleetQuota", "RateLimit"]

# Seconds over which the rate of a peer's admissions is smoothed.
_RATE_WINDOW_S = 1.0
# A peer that says nothing for so long is taken as ended.
_FORGET_PEER_S = 30.0
# Accounts that were used within this time are in each report, so that one
# that is lost is made good by the next.
_REPORT_S = 5.0
# Seconds of an account's rate that a process which knows nothing may admit.
_START_S = 0.5
# Share of the fleet's limit of a process that has never heard of a peer.
_LEAST_SHARE = 0.125
# Part of its share that an isolated process uses: the others go by what it
# admitted before the cut, and may use more than that leaves.
_ISOLATED_USE = 0.7

# A bucket that holds less than one token admits nothing, whatever its rate.
_LEAST_BURST = 1.0
_FIRST_PLACE = sampling.SamplePoint(0.0, 0.0)


@attrs.frozen
class RateLimit:
    """Limit of one client account over all hosts.

    Attributes:
        rate_per_s: Admissions per second; 0 for no limit.
        burst: Admissions that may come at once.
    """

    rate_per_s: float
    burst: float


@attrs.define
class _PeerUse:
    """What one peer admits for one account."""

    count: int
    reported_at: float
    rate: float = 0.0
    expected: float = 0.0

    def report(self, count: int, now: float) -> float:
        """Takes a report; returns what was not allowed for so far."""
        admitted = max(0, count - self.count)
        elapsed = max(1e-3, now - self.reported_at)
        weight = 1 - math.exp(-elapsed / _RATE_WINDOW_S)
        self.rate += weight * (admitted / elapsed - self.rate)
        unexpected = admitted - self.expected
        # Reports may overtake each other.
        self.count = max(self.count, count)
        self.reported_at = now
        self.expected = 0.0
        return unexpected


@attrs.define
class _Bucket:
    """The fleet's tokens of one account, as seen by this process."""

    limit: RateLimit
    tokens: float
    own_tokens: float
    refilled_at: float
    own_count: int = 0
    own_rate: float = 0.0
    own_rate_at: float = 0.0
    peers: dict[str, _PeerUse] = attrs.field(factory=dict)
    sampler: sampling.Sampler = attrs.field(factory=sampling.Sampler)

    def refill(self, now: float) -> None:
        """Adds what has accrued, less what peers are expected to admit."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        gained = self.limit.rate_per_s * elapsed
        for peer in self.peers.values():
            used = peer.rate * elapsed
            peer.expected += used
            gained -= used
        self.tokens = min(self.limit.burst, self.tokens + gained)
        share = _ISOLATED_USE * self.share()
        self.own_tokens = min(
            max(1.0, share * self.limit.burst),
            self.own_tokens + share * self.limit.rate_per_s * elapsed,
        )

    def fill(self) -> float:
        """Returns the tokens as a part of the burst."""
        return self.tokens / self.limit.burst

    def share(self) -> float:
        """Returns this process's share of what the fleet admits."""
        if not self.peers:
            return _LEAST_SHARE
        even = 1 / (1 + len(self.peers))
        total = self.own_rate + sum(p.rate for p in self.peers.values())
        if total <= 0:
            return even
        # Half by demand and half even, so that a process with no demand so
        # far keeps something, and the shares of all still add up to one.
        return (self.own_rate / total + even) / 2

    def take(self, now: float) -> None:
        """Counts one admission of this process."""
        self.tokens -= 1
        self.own_tokens -= 1
        self.own_count += 1
        elapsed = max(1e-3, now - self.own_rate_at)
        decayed = self.own_rate * math.exp(-elapsed / _RATE_WINDOW_S)
        self.own_rate = decayed + 1 / _RATE_WINDOW_S
        self.own_rate_at = now


@attrs.define
class FleetQuota:
    """The token buckets of all client accounts."""

    _limits: dict[str, RateLimit] = attrs.field(factory=dict)
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)
    _heard: dict[str, float] = attrs.field(factory=dict)

    def set_limits(self, limits: Mapping[str, RateLimit], now: float) -> None:
        """Takes over the limits in force; a smaller burst binds at once."""
        self._limits = {
            name: RateLimit(limit.rate_per_s, max(_LEAST_BURST, limit.burst))
            for name, limit in limits.items()
            if limit.rate_per_s > 0
        }
        for name in list(self._buckets):
            limit = self._limits.get(name)
            if limit is None:
                del self._buckets[name]
                continue
            bucket = self._buckets[name]
            bucket.refill(now)
            bucket.limit = limit
            bucket.tokens = min(bucket.tokens, limit.burst)
        for name, limit in self._limits.items():
            if name not in self._buckets:
                self._buckets[name] = _new_bucket(limit, now)

    def admit(
        self,
        account: str,
        now: float,
        isolated: bool,
        sample_point: sampling.SamplePoint = _FIRST_PLACE,
    ) -> bool:
        """Admits one request of an account, or refuses it.

        Args:
            account: Client account.
            now: Time on this process's clock.
            isolated: Whether this process hears at most half of the fleet;
                it then keeps to its own share.
            sample_point: The request's place in the account's sample; by
                default no sample leaves it out.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            return True
        bucket.refill(now)
        if not bucket.sampler.admits(sample_point, bucket.fill(), now):
            return False
        if bucket.tokens < 1:
            return False
        if isolated and bucket.own_tokens < 1:
            return False
        bucket.take(now)
        return True

    def is_sampled_out(
        self, account: str, now: float, sample_point: sampling.SamplePoint
    ) -> bool:
        """Returns whether the account's sample leaves a request out."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return False
        bucket.refill(now)
        return not bucket.sampler.admits(sample_point, bucket.fill(), now)

    def retry_after_s(
        self,
        account: str,
        now: float,
        sample_point: sampling.SamplePoint = _FIRST_PLACE,
    ) -> float:
        """Returns the seconds until a request that was refused may run.

        That is when the account has a token again; for a request that the
        sample leaves out, when the sample is drawn anew.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            return 0.0
        if self.is_sampled_out(account, now, sample_point):
            return sample_point.next_draw_in_s
        bucket.refill(now)
        missing = max(0.0, 1 - bucket.tokens)
        return missing / bucket.limit.rate_per_s

    def report(self, now: float, include_idle: bool) -> dict[str, int]:
        """Returns this process's admissions since its start, by account.

        Args:
            now: Time on this process's clock.
            include_idle: Whether accounts that were not used lately are told,
                as a process needs that hears this one for the first time.
        """
        since = -math.inf if include_idle else now - _REPORT_S
        return {
            name: bucket.own_count
            for name, bucket in self._buckets.items()
            if bucket.own_count and bucket.own_rate_at >= since
        }

    def tokens(self, now: float) -> dict[str, float]:
        """Returns the fleet's tokens as seen here, for processes that start."""
        for bucket in self._buckets.values():
            bucket.refill(now)
        return {name: round(b.tokens, 1) for name, b in self._buckets.items()}

    def adopt_tokens(self, tokens: Mapping[str, float]) -> None:
        """Takes over a peer's view of the tokens, at this process's start."""
        for name, value in tokens.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.tokens = min(bucket.limit.burst, value)

    def merge_report(
        self,
        peer: str,
        counts: Mapping[str, int],
        now: float,
        started_later: bool = False,
    ) -> None:
        """Takes a peer's admissions since its start.

        Args:
            peer: The peer's process, a new name at each of its starts.
            counts: Admissions by account.
            now: Time on this process's clock.
            started_later: Whether the peer began about when this process did,
                or after it, so that all it admitted is news here.
        """
        is_new = peer not in self._heard and not started_later
        self._heard[peer] = now
        for name, count in counts.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            bucket.refill(now)
            use = bucket.peers.get(peer)
            if use is not None:
                bucket.tokens -= use.report(count, now)
                continue
            bucket.peers[peer] = _PeerUse(count, now)
            if not is_new:
                # Its first admissions for this account since it was heard.
                bucket.tokens -= count
        for name, bucket in self._buckets.items():
            if name not in counts and peer in bucket.peers:
                bucket.tokens -= bucket.peers[peer].report(0, now)

    def forget_peer(self, peer: str) -> None:
        """Forgets a process that is known to have ended."""
        self._heard.pop(peer, None)
        for bucket in self._buckets.values():
            bucket.peers.pop(peer, None)

    def forget_silent_peers(self, now: float) -> None:
        """Forgets peers that were not heard for long."""
        for peer, heard_at in list(self._heard.items()):
            if now - heard_at > _FORGET_PEER_S:
                self.forget_peer(peer)


def _new_bucket(limit: RateLimit, now: float) -> _Bucket:
    # What the fleet admitted before this start is not known: a full burst
    # might be the second one within a few seconds.
    tokens = min(limit.burst, max(5.0, _START_S * limit.rate_per_s))
    return _Bucket(limit, tokens, max(1.0, _LEAST_SHARE * tokens), now)
