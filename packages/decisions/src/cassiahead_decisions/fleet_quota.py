"""Fleet-wide rate limits for client accounts, without shared state.

Each process keeps one token bucket per account that models the whole fleet's
bucket. The process deducts its own admissions at once, and those of a group of
peers when the cumulative counts of the group's partner arrive (see
``peer_groups``). Between two reports the process deducts admissions at the
group's last known rate, so that a late report or an unreachable group does not
let the account exceed its limit.

The requests of an account that stays above its rate are sampled (see
``sampling``).

Load pattern: one account sends several times its rate through all hosts at
once, while some hosts are cut off from the others or have just restarted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import sampling
from cassiahead_decisions import token_bucket

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["FleetQuota"]

# A group without a report for this long is presumed to have ended.
_GROUP_RETENTION_S = 30.0

# A bucket with a capacity below one token admits nothing, whatever its rate.
_MIN_BURST_TOKENS = 1.0
_ALWAYS_IN_SAMPLE = sampling.SamplePoint(0.0, 0.0)


@attrs.define
class _Reporter:
    """The partner that reports the admissions of a group.

    Attributes:
        process_name: Name of the partner's process.
        reported_at: Time of its last report.
        needs_full: Whether accounts have got limits since its last full report.
        is_silent: Whether the group is presumed to have ended.
    """

    process_name: str
    reported_at: float
    needs_full: bool = False
    is_silent: bool = False


@attrs.define
class FleetQuota:
    """Admits requests of client accounts within their fleet-wide limits.

    All times are seconds on this process's monotonic clock.
    """

    _limits: dict[str, token_bucket.RateLimit] = attrs.field(factory=dict)
    _buckets: dict[str, token_bucket.TokenBucket] = attrs.field(factory=dict)
    _reporter_by_group: dict[int, _Reporter] = attrs.field(factory=dict)
    _fleet_size: int = 1

    def set_limits(
        self, limits: Mapping[str, token_bucket.RateLimit], now: float
    ) -> None:
        """Replaces the limits of all accounts.

        Accounts that keep a limit keep their bucket; tokens in excess of a
        smaller burst are removed at once.

        Args:
            limits: Limits by client account.
            now: Current time.
        """
        if not self._limits:
            # Reports so far could not be counted.
            self._reporter_by_group.clear()
        self._limits = {
            account: token_bucket.RateLimit(
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
                self._buckets[account] = token_bucket.TokenBucket.at_start(
                    limit, now
                )
                self._buckets[account].fleet_size = self._fleet_size
                for reporter in self._reporter_by_group.values():
                    reporter.needs_full = True

    def set_fleet_size(self, fleet_size: int) -> None:
        """Sets the number of processes that share the limits."""
        if fleet_size == self._fleet_size:
            return
        self._fleet_size = fleet_size
        for bucket in self._buckets.values():
            bucket.fleet_size = fleet_size

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
        bucket.refill_own(now)
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

    def has_recent_admissions(self, now: float) -> bool:
        """Returns whether there were admissions lately, by any process."""
        return any(bucket.is_active(now) for bucket in self._buckets.values())

    def admission_counts(
        self, now: float, lowest_group: int, include_idle: bool
    ) -> dict[str, int]:
        """Returns cumulative admissions since this process's start, by account.

        Args:
            now: Current time.
            lowest_group: The admissions of this process and of the groups with
                this and higher numbers are counted.
            include_idle: Whether to include accounts without recent
                admissions. A peer needs them in the first report that it gets
                from this process.
        """
        counts: dict[str, int] = {}
        for account, bucket in self._buckets.items():
            if include_idle or bucket.is_active(now):
                bucket.refill(now)
                count = bucket.known_count(lowest_group)
                if count:
                    counts[account] = count
        return counts

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
        group: int,
        process_name: str,
        counts: Mapping[str, int],
        now: float,
        *,
        is_full: bool = True,
        has_started_since: bool = False,
    ) -> bool:
        """Merges the admissions of a group since the start of its partner.

        Ignores the reports of a new partner before its first full one.

        Args:
            group: Number of the group.
            process_name: Name of the partner's process, new at each start.
            counts: Cumulative admissions of the group by account, as far as the
                partner knows them; those that have not changed since an earlier
                report may be left out.
            now: Current time.
            is_full: Whether ``counts`` has the accounts without recent
                admissions too.
            has_started_since: Whether the partner started after the group's
                last report or, without one, at about the same time as this
                process or later: this process has then not accounted for any
                of the counts.
        """
        reporter = self._reporter_by_group.get(group)
        is_new_partner = (
            reporter is None
            or reporter.process_name != process_name
            or reporter.is_silent
        )
        if is_new_partner and not is_full:
            return False
        if reporter is not None and reporter.is_silent:
            # What the group admitted in the meantime is long refilled.
            has_started_since = False
        if reporter is None or is_new_partner:
            reporter = _Reporter(process_name, now)
            self._reporter_by_group[group] = reporter
        reporter.reported_at = now
        if is_full:
            reporter.needs_full = False
        for account, bucket in self._buckets.items():
            count = counts.get(account, 0)
            admissions = bucket.admissions_by_group.get(group)
            if admissions is None:
                if is_full:
                    is_baseline = not (is_new_partner and has_started_since)
                    bucket.add_group(group, count, now, is_baseline)
                continue
            is_idle = account not in counts and admissions.is_idle
            if is_idle and not is_new_partner:
                continue
            bucket.refill(now)
            if is_new_partner and not has_started_since:
                # The previous partner reported most of these admissions.
                admissions.adopt_baseline(count, now)
                continue
            if is_new_partner:
                # The partner counts from its start, after the last report.
                admissions.reported_count = 0
            if count > admissions.reported_count:
                bucket.last_heard_at = now
            bucket.tokens -= admissions.merge_count(count, now)
        return True

    def needs_full_report(self, group: int, process_name: str) -> bool:
        """Returns whether a process must report the counts of all accounts."""
        reporter = self._reporter_by_group.get(group)
        return (
            reporter is None
            or reporter.process_name != process_name
            or reporter.is_silent
            or reporter.needs_full
        )

    def last_report_at(self, group: int) -> float | None:
        """Returns the time of a group's last report; None without one."""
        reporter = self._reporter_by_group.get(group)
        return reporter.reported_at if reporter else None

    def forget_silent_groups(self, now: float) -> None:
        """Drops the rates of groups whose last report is too old."""
        for group, reporter in self._reporter_by_group.items():
            is_silent = now - reporter.reported_at > _GROUP_RETENTION_S
            if is_silent and not reporter.is_silent:
                reporter.is_silent = True
                for bucket in self._buckets.values():
                    admissions = bucket.admissions_by_group.get(group)
                    if admissions is not None:
                        admissions.rate_per_s = 0.0
