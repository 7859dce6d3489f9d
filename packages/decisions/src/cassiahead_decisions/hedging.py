"""Hedge delay, and the budget for hedges and retries.

A hedge is a second request for an answer that is slower than usual. Hedges cut
tail latency, but hedges and retries add load and can sustain an overload, so
both are limited to a fraction of the first attempts.
"""

from __future__ import annotations

import collections

import attrs

__all__ = ["ExtraLoadBudget", "LatencyWindow"]

_WINDOW_SAMPLE_COUNT = 128
_DEFAULT_QUANTILE = 0.95
_MIN_SAMPLE_COUNT = 8
_INITIAL_HEDGE_DELAY_S = 0.03
_MIN_HEDGE_DELAY_S = 0.004
_SAMPLES_PER_UPDATE = 8
# Ratio of the overdue delay to the hedge delay.
_OVERDUE_DELAY_RATIO = 4.0


@attrs.define
class LatencyWindow:
    """Sliding window of latencies that sets the hedge delay.

    Attributes:
        quantile: Quantile of the latencies, 0 to 1, that is used as the hedge
            delay. The delay is at least ``_MIN_HEDGE_DELAY_S``.
    """

    quantile: float = _DEFAULT_QUANTILE
    _latencies_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_WINDOW_SAMPLE_COUNT)
    )
    _hedge_delay_s: float = _INITIAL_HEDGE_DELAY_S
    _new_sample_count: int = 0
    _median_s: float | None = None

    def record(self, latency_s: float) -> None:
        """Adds one latency.

        The hedge delay is updated after every ``_SAMPLES_PER_UPDATE``
        latencies.
        """
        self._latencies_s.append(latency_s)
        self._new_sample_count += 1
        if self._new_sample_count >= _SAMPLES_PER_UPDATE:
            self._new_sample_count = 0
            self._update_hedge_delay()

    @property
    def overdue_delay_s(self) -> float:
        """Seconds after which an answer is presumed lost."""
        return _OVERDUE_DELAY_RATIO * self._hedge_delay_s

    @property
    def median_s(self) -> float | None:
        """Median of the latencies; None until there are enough of them."""
        return self._median_s

    @property
    def hedge_delay_s(self) -> float:
        """Seconds to wait for an answer before a second replica is asked."""
        return self._hedge_delay_s

    def _update_hedge_delay(self) -> None:
        if len(self._latencies_s) < _MIN_SAMPLE_COUNT:
            return
        sorted_latencies_s = sorted(self._latencies_s)
        self._median_s = sorted_latencies_s[len(sorted_latencies_s) // 2]
        self._hedge_delay_s = max(
            _MIN_HEDGE_DELAY_S,
            sorted_latencies_s[
                int(self.quantile * (len(sorted_latencies_s) - 1))
            ],
        )


@attrs.define
class ExtraLoadBudget:
    """Limits hedges and retries to a fraction of the first attempts.

    Each process limits its own extra attempts to the fraction, which limits
    those of the whole fleet to the same fraction.

    Load pattern: stragglers in a large fleet, where a process's share of the
    reserve allows only one or two extra attempts.

    Attributes:
        credit_per_first_attempt: Extra attempts that each first attempt earns.
        max_credit: Highest credit, in extra attempts: the reserve for bursts.
    """

    credit_per_first_attempt: float
    max_credit: float = 20.0
    _credit: float = 20.0

    @classmethod
    def at_start(
        cls, credit_per_first_attempt: float, max_credit: float
    ) -> ExtraLoadBudget:
        """Creates the budget of a process that has just started.

        The budget starts with half of the reserve. An attempt that must leave
        half of the reserve or more unspent is therefore refused until first
        attempts have earned credit. In a rolling restart, the fleet could
        otherwise spend one full reserve per restarted process.
        """
        return cls(credit_per_first_attempt, max_credit, max_credit / 2)

    @classmethod
    def for_new_service(
        cls, credit_per_first_attempt: float, max_credit: float
    ) -> ExtraLoadBudget:
        """Creates the budget of a service that a running process starts to use.

        The budget starts with the whole reserve: the process has spent nothing
        on the service, for example after a configuration adds shards.
        """
        return cls(credit_per_first_attempt, max_credit, max_credit)

    @property
    def credit(self) -> float:
        """Extra attempts that are allowed now."""
        return self._credit

    def record_first_attempts(self, count: int) -> None:
        """Adds the credit that first attempts earn."""
        self._credit = min(
            self.max_credit,
            self._credit + count * self.credit_per_first_attempt,
        )

    def try_spend(self, is_required: bool = True) -> bool:
        """Spends credit on one extra attempt if there is enough.

        Args:
            is_required: Whether the answer is lost without the attempt. Other
                attempts must leave half of the reserve for required ones.

        Returns:
            Whether the attempt is allowed.
        """
        return self.try_spend_above(0.0 if is_required else 0.5)

    def has_credit_above(self, kept_fraction: float) -> bool:
        """Returns whether there is credit for one extra attempt.

        Args:
            kept_fraction: Fraction of the reserve that must be left, 0 to 1.
        """
        return self._credit >= 1.0 + kept_fraction * self.max_credit

    def try_spend_above(self, kept_fraction: float) -> bool:
        """Spends credit on one extra attempt if enough is left for others.

        Args:
            kept_fraction: Fraction of the reserve that must be left, 0 to 1.

        Returns:
            Whether the attempt is allowed.
        """
        if not self.has_credit_above(kept_fraction):
            return False
        self._credit -= 1.0
        return True
