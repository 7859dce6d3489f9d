"""When to ask a second replica, and how many such asks are allowed."""

from __future__ import annotations

import collections

import attrs

__all__ = ["ExtraLoadBudget", "LatencyWindow"]

_WINDOW = 128
_QUANTILE = 0.95
_MIN_SAMPLES = 8
_INITIAL_DELAY_S = 0.03
_MIN_DELAY_S = 0.004
_RECOMPUTE_EVERY = 8
_OVERDUE_FACTOR = 4.0


@attrs.define
class LatencyWindow:
    """The recent latencies of one shard, in seconds.

    Attributes:
        quantile: Part of the latencies that stay below the hedge delay.
    """

    quantile: float = _QUANTILE
    _samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_WINDOW)
    )
    _delay: float = _INITIAL_DELAY_S
    _since: int = 0

    def record(self, latency_s: float) -> None:
        """Adds one latency."""
        self._samples.append(latency_s)
        self._since += 1
        if self._since >= _RECOMPUTE_EVERY:
            self._since = 0
            self._recompute()

    @property
    def overdue_delay_s(self) -> float:
        """Seconds after which an answer is as good as lost."""
        return _OVERDUE_FACTOR * self._delay

    @property
    def hedge_delay_s(self) -> float:
        """Seconds to wait for an answer before a second replica is asked."""
        return self._delay

    def _recompute(self) -> None:
        if len(self._samples) < _MIN_SAMPLES:
            return
        ordered = sorted(self._samples)
        self._delay = max(
            _MIN_DELAY_S, ordered[int(self.quantile * (len(ordered) - 1))]
        )


@attrs.define
class ExtraLoadBudget:
    """Limits hedges and retries to a fraction of the first attempts.

    Each process keeps the fraction for its own attempts, so the whole fleet
    keeps it too.
    """

    ratio: float
    max_credit: float = 20.0
    _credit: float = 20.0

    @classmethod
    def at_start(cls, ratio: float, max_credit: float) -> ExtraLoadBudget:
        """Creates the budget of a process that has just started.

        It has what retries may use, and not what hedges would: processes that
        restart one after the other must not bring a whole reserve each.
        """
        return cls(ratio, max_credit, max_credit / 2)

    @property
    def credit(self) -> float:
        """Extra attempts that are allowed now."""
        return self._credit

    def record_first_attempts(self, count: int) -> None:
        """Earns credit for first attempts."""
        self._credit = min(self.max_credit, self._credit + count * self.ratio)

    def try_spend(self, is_required: bool = True) -> bool:
        """Takes credit for one extra attempt.

        Args:
            is_required: Whether the answer is lost without it. Attempts that
                are merely likely to help leave half of the reserve for those.

        Returns:
            Whether there was credit.
        """
        return self.try_spend_above(0.0 if is_required else 0.5)

    def try_spend_above(self, kept_fraction: float) -> bool:
        """Takes credit for one extra attempt if enough is left for others.

        Args:
            kept_fraction: Part of the reserve that must be left, 0 to 1.
        """
        if self._credit < 1.0 + kept_fraction * self.max_credit:
            return False
        self._credit -= 1.0
        return True
