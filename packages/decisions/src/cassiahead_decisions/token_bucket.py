"""Token bucket of one client account over the whole fleet.

Each process keeps one such bucket per account; ``fleet_quota`` merges the
reports of the other processes into it.
"""

from __future__ import annotations

import math

import attrs

from cassiahead_decisions import sampling

__all__ = ["GroupAdmissions", "RateLimit", "TokenBucket"]

# Time constant of the exponential smoothing of admission rates.
_RATE_TIME_CONSTANT_S = 1.0
# A group that admits less than this is idle.
_IDLE_RATE_PER_S = 0.01
# Accounts with an admission within this time are in every report, so that the
# next report makes up for a lost one.
_ACTIVITY_WINDOW_S = 5.0
# Initial tokens of a process that does not know what the fleet has admitted,
# in seconds of the account's rate.
_INITIAL_TOKENS_S = 0.5
# Share of the fleet's limit that a process may use while it has no reports of
# any group.
_NO_PEERS_SHARE_FRACTION = 0.125
# Fraction of its share that an isolated process may use. The other processes
# deduct only its rate before the partition, and may therefore admit more than
# the limit less its share.
_ISOLATED_USE_FRACTION = 0.7


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
class GroupAdmissions:
    """Admissions of one group of peers for one account.

    Attributes:
        reported_count: Cumulative count in the partner's last report.
        reported_at: Time of the last report.
        heard_count: Admissions reported since this process's start, by all
            partners that the group has had.
        rate_per_s: Smoothed rate of admissions.
        assumed_count: Admissions deducted since the last report, as predicted
            by the rate.
    """

    reported_count: int
    reported_at: float
    heard_count: float = 0.0
    rate_per_s: float = 0.0
    assumed_count: float = 0.0

    def merge_count(self, count: int, now: float) -> float:
        """Merges a reported cumulative count.

        Returns:
            The number of admissions still to be deducted from the account's
            tokens; negative if the group admitted fewer than were assumed.
        """
        admitted_count = max(0, count - self.reported_count)
        elapsed_s = max(1e-3, now - self.reported_at)
        weight = 1 - math.exp(-elapsed_s / _RATE_TIME_CONSTANT_S)
        self.rate_per_s += weight * (
            admitted_count / elapsed_s - self.rate_per_s
        )
        undeducted_count = admitted_count - self.assumed_count
        self.heard_count += admitted_count
        # A report may arrive after a newer one that has a higher count.
        self.reported_count = max(self.reported_count, count)
        self.reported_at = now
        self.assumed_count = 0.0
        return undeducted_count

    @property
    def is_idle(self) -> bool:
        """Whether the group admits nothing, by its last reports."""
        return self.rate_per_s < _IDLE_RATE_PER_S

    def adopt_baseline(self, count: int, now: float) -> None:
        """Adopts the first report of another partner as the baseline.

        What was assumed for the time between the two partners' reports stays
        deducted.
        """
        self.heard_count += self.assumed_count
        self.assumed_count = 0.0
        self.reported_count = count
        self.reported_at = now


@attrs.define
class TokenBucket:
    """Token bucket of one account.

    Attributes:
        limit: Limit of the account over the fleet.
        tokens: Tokens of the whole fleet, as estimated by this process.
        own_tokens: Tokens of this process's own share, which are required in
            addition while the process is isolated.
        refilled_at: Time of the last refill.
        own_refilled_at: Time of the last refill of ``own_tokens``.
        own_count: Admissions of this process since its start.
        own_rate_per_s: Smoothed rate of this process's admissions, as of the
            last admission.
        own_last_admitted_at: Time of this process's last admission.
        last_heard_at: Time of the last report of new admissions by a group.
        fleet_size: Number of processes in the fleet.
        admissions_by_group: Admissions of the peers, by number of their group.
        sampler: Sampler of the account's requests.
    """

    limit: RateLimit
    tokens: float
    own_tokens: float
    refilled_at: float
    own_refilled_at: float
    own_count: int = 0
    own_rate_per_s: float = 0.0
    own_last_admitted_at: float = -math.inf
    last_heard_at: float = -math.inf
    fleet_size: int = 1
    admissions_by_group: dict[int, GroupAdmissions] = attrs.field(factory=dict)
    sampler: sampling.Sampler = attrs.field(factory=sampling.Sampler)

    @classmethod
    def at_start(cls, limit: RateLimit, now: float) -> TokenBucket:
        """Creates the bucket of an account that gets a limit."""
        # The fleet's admissions before this process's start are unknown: a full
        # bucket could grant a second burst within a few seconds of the first.
        tokens = min(
            limit.burst, max(5.0, _INITIAL_TOKENS_S * limit.rate_per_s)
        )
        return cls(
            limit,
            tokens,
            max(1.0, _NO_PEERS_SHARE_FRACTION * tokens),
            now,
            now,
        )

    def refill(self, now: float) -> None:
        """Adds the accrued tokens and deducts the assumed admissions of peers.

        Each group is assumed to admit requests at its last smoothed rate.
        """
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        gained_tokens = self.limit.rate_per_s * elapsed_s
        for group in self.admissions_by_group.values():
            assumed_count = group.rate_per_s * elapsed_s
            group.assumed_count += assumed_count
            gained_tokens -= assumed_count
        self.tokens = min(self.limit.burst, self.tokens + gained_tokens)

    def refill_own(self, now: float) -> None:
        """Adds the accrued tokens of this process's own share.

        Needed only for requests, not for the reports of peers, which are far
        more frequent in a large fleet.
        """
        elapsed_s = max(0.0, now - self.own_refilled_at)
        self.own_refilled_at = now
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
        if not self.admissions_by_group:
            return _NO_PEERS_SHARE_FRACTION
        even_fraction = 1 / max(2, self.fleet_size)
        fleet_rate_per_s = self.own_rate_per_s + sum(
            g.rate_per_s for g in self.admissions_by_group.values()
        )
        if fleet_rate_per_s <= 0:
            return even_fraction
        # The mean of the share by demand and the even share: a process without
        # demand so far keeps a share, and the shares still add up to one.
        return (self.own_rate_per_s / fleet_rate_per_s + even_fraction) / 2

    def add_group(
        self, group: int, count: int, now: float, is_baseline: bool
    ) -> None:
        """Adds the first report of a group.

        Args:
            group: Number of the group.
            count: Cumulative admissions of the group.
            now: Current time.
            is_baseline: Whether the tokens account for these admissions.
        """
        admissions = GroupAdmissions(count, now)
        self.admissions_by_group[group] = admissions
        if not is_baseline and count:
            admissions.heard_count = count
            self.tokens -= count
            self.last_heard_at = now

    def known_count(self, lowest_group: int) -> int:
        """Returns the admissions of this process and of some groups.

        Includes the admissions assumed since a group's last report: if the
        group is out of reach of this process, others rely on this process for
        them.

        Args:
            lowest_group: Groups with lower numbers are left out.
        """
        return self.own_count + int(
            sum(
                admissions.heard_count + admissions.assumed_count
                for group, admissions in self.admissions_by_group.items()
                if group >= lowest_group
            )
        )

    def is_active(self, now: float) -> bool:
        """Returns whether there were admissions lately."""
        last_admitted_at = max(self.own_last_admitted_at, self.last_heard_at)
        return last_admitted_at >= now - _ACTIVITY_WINDOW_S

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
