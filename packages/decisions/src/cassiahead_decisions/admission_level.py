"""Admission level of one destination: which priorities are admitted.

The level is a number between 1 and the number of priorities, of which rank 0 is
the highest. Ranks below the integer part of the level are admitted, and the
others by a small fraction that they keep in any case. The rank at the integer
part gets the level's fraction of the rest. The highest rank that is requested
is always admitted.

The level follows from two quantities: the requests per second that the
destination can serve, which show while requests are refused for lack of
capacity, and the requests per second of each rank, which do not depend on the
level. It is not integrated from refusals, so that the time that counts need to
reach all hosts causes no oscillation. A left-out request is left out again when
its caller returns, since its fingerprint is the same: the demand of a rank is
therefore taken from its admitted requests and the fraction that was admitted.

Load pattern: several times the load that targets serve, for seconds, with
priorities; waves of load around the capacity.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import load_counts

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["AdmissionLevel"]

# Share of the served share of all requests that each priority keeps.
_KEPT_SHARE = 0.3
# Highest factor by which the admitted share of a priority exceeds its served
# share.
_MAX_KEPT_FACTOR = 1.5
# Lowest admitted fraction that the demand of a rank is extrapolated from.
_MIN_EXTRAPOLATED_FRACTION = 0.05
# Share of the admitted requests that may be refused for lack of capacity while
# the level does not fall: these refusals show where the capacity is.
_TOLERATED_SHARE = 0.05
# Number of refusals within the window that are tolerated in any case: fewer
# happen by chance.
_TOLERATED_COUNT = 2.0
# Highest share of the served requests that are admitted beyond them.
_MAX_MARGIN = 0.2
# Time constants with which the capacity and the level approach their targets.
_CAPACITY_TIME_CONSTANT_S = 0.1
_FALL_TIME_CONSTANT_S = 0.15
# Rise of the level per second.
_RISE_PER_S = 1.0
# Relative growth of the expected capacity per second, and its increase for each
# second without a refusal.
_SLOW_GROWTH_PER_S = 0.05
_GROWTH_PER_CLEAN_S = 0.1
# Weight of a peer's level and capacity when a report arrives.
_PEER_WEIGHT = 0.5
# Time after which a process that has started or was suspended relies on its own
# level. Until then it adopts that of any report.
_SETTLING_TIME_S = 2.0
# The same for a process that has just learned of an overload.
_ACTIVATION_TIME_S = 0.5


@attrs.define
class AdmissionLevel:
    """Admission level of one destination, at one process.

    All times are seconds on this process's monotonic clock.

    Attributes:
        rank_count: Number of ranks.
        level: The level, 1 to ``rank_count``.
        capacity_per_s: Requests per second that the destination is expected to
            serve; infinite while no overload has shown it.
    """

    rank_count: int
    level: float
    _updated_at: float
    _settled_at: float
    _clean_since: float
    capacity_per_s: float = math.inf
    _highest_rank: int = 0
    _kept_fractions: list[float] = attrs.field(factory=list)
    _fractions: list[float] = attrs.field(factory=list)

    @classmethod
    def at_start(
        cls, rank_count: int, now: float, *, is_settled: bool = False
    ) -> AdmissionLevel:
        """Creates the level of a process that knows nothing: all are admitted.

        Args:
            rank_count: Number of ranks.
            now: Current time.
            is_settled: Whether this process has been running for a while.
        """
        settled_at = now if is_settled else now + _SETTLING_TIME_S
        return cls(rank_count, float(rank_count), now, settled_at, now)

    @property
    def is_restrictive(self) -> bool:
        """Whether some requests are left out."""
        return self.level < self.rank_count

    def admits(self, rank: int, position: float) -> bool:
        """Returns whether a request is admitted.

        Args:
            rank: Rank of the request's priority.
            position: Position of the request's fingerprint, 0 to below 1.
        """
        return position < self.admitted_fraction(rank)

    def admitted_fraction(self, rank: int) -> float:
        """Returns the fraction of a rank's requests that is admitted."""
        if rank <= self._highest_rank:
            return 1.0
        kept = self._kept_fractions[rank] if self._kept_fractions else 0.0
        share = min(1.0, max(0.0, self.level - rank))
        return kept + (1 - kept) * share

    def is_settled(self, now: float) -> bool:
        """Returns whether the level may be told to peers."""
        return now >= self._settled_at

    def unsettle(self, now: float) -> None:
        """Notes that this process was suspended: its level is outdated."""
        self._settled_at = now + _SETTLING_TIME_S
        self._updated_at = now
        self._clean_since = now

    def activate(self, now: float) -> None:
        """Notes that an overload has begun, of which others may know more."""
        if not self.is_restrictive:
            self._settled_at = max(self._settled_at, now + _ACTIVATION_TIME_S)

    def merge_peer(
        self, level: float, capacity_per_s: float | None, now: float
    ) -> None:
        """Moves the level towards that of a peer, so that all hosts agree.

        Args:
            level: Level of the peer.
            capacity_per_s: The peer's estimate; None if it has none.
            now: Current time.
        """
        level = min(max(1.0, level), float(self.rank_count))
        if not self.is_settled(now):
            self._settled_at = now
            self.level = level
            self.capacity_per_s = capacity_per_s or math.inf
            return
        self.level += _PEER_WEIGHT * (level - self.level)
        if capacity_per_s is None:
            return
        if math.isinf(self.capacity_per_s):
            self.capacity_per_s = capacity_per_s
        self.capacity_per_s += _PEER_WEIGHT * (
            capacity_per_s - self.capacity_per_s
        )

    def update(
        self, rates: Sequence[load_counts.PriorityRates], now: float
    ) -> None:
        """Moves the level according to the fleet's rates.

        Args:
            rates: Rates of each rank over the last seconds.
            now: Current time.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._highest_rank = next(
            (rank for rank, rate in enumerate(rates) if rate.requested), 0
        )
        demand = self._demand(rates, elapsed_s)
        self._kept_fractions = _kept_fractions(rates, demand)
        self._update_capacity(rates, elapsed_s, now)
        target = self._target_level(demand)
        if target < self.level:
            weight = 1 - math.exp(-elapsed_s / _FALL_TIME_CONSTANT_S)
            self.level += weight * (target - self.level)
        else:
            self.level = min(target, self.level + _RISE_PER_S * elapsed_s)

    def forget_capacity(self) -> None:
        """Forgets the capacity once an overload is over."""
        self.capacity_per_s = math.inf

    def _demand(
        self, rates: Sequence[load_counts.PriorityRates], elapsed_s: float
    ) -> list[float]:
        """Returns the requests per second of each rank, without repetitions.

        Args:
            rates: Rates of each rank over the last seconds.
            elapsed_s: Time since the last update, in seconds.
        """
        fractions = [
            self.admitted_fraction(rank) for rank in range(self.rank_count)
        ]
        weight = 1 - math.exp(-elapsed_s / load_counts.WINDOW_S)
        self._fractions = [
            before + weight * (fraction - before)
            for before, fraction in zip(
                self._fractions or fractions, fractions, strict=True
            )
        ]
        demand = []
        for rate, fraction in zip(rates, self._fractions, strict=True):
            admitted = rate.started + rate.refused
            extrapolated = admitted / max(_MIN_EXTRAPOLATED_FRACTION, fraction)
            demand.append(
                min(rate.requested, extrapolated)
                if admitted
                else rate.requested
            )
        return demand

    def _update_capacity(
        self,
        rates: Sequence[load_counts.PriorityRates],
        elapsed_s: float,
        now: float,
    ) -> None:
        started = sum(rate.started for rate in rates)
        refused = sum(rate.refused for rate in rates)
        if refused:
            self._clean_since = now
        refused_share = refused / (started + refused) if refused else 0.0
        tolerated_share = _tolerated_share(started + refused)
        if refused_share > tolerated_share:
            target = started * (1 + min(_MAX_MARGIN, tolerated_share))
            if math.isinf(self.capacity_per_s):
                self.capacity_per_s = target
            weight = 1 - math.exp(-elapsed_s / _CAPACITY_TIME_CONSTANT_S)
            self.capacity_per_s += weight * (target - self.capacity_per_s)
            return
        growth_per_s = (
            _SLOW_GROWTH_PER_S * (1 - refused_share / tolerated_share)
            if refused
            else _SLOW_GROWTH_PER_S
            + _GROWTH_PER_CLEAN_S * (now - self._clean_since)
        )
        self.capacity_per_s *= 1 + growth_per_s * elapsed_s
        self.capacity_per_s = max(self.capacity_per_s, started)

    def _target_level(self, demand: Sequence[float]) -> float:
        """Returns the level at which the admitted requests use the capacity.

        Args:
            demand: Requests per second of each rank.
        """
        lowest_level = min(self._highest_rank + 1, self.rank_count)
        remaining = self.capacity_per_s - sum(
            requested
            * (1.0 if rank < lowest_level else self._kept_fractions[rank])
            for rank, requested in enumerate(demand)
        )
        for rank in range(lowest_level, self.rank_count):
            further = demand[rank] * (1 - self._kept_fractions[rank])
            if further and remaining < further:
                return rank + max(0.0, remaining) / further
            remaining -= further
        return float(self.rank_count)


def _tolerated_share(admitted_per_s: float) -> float:
    """Returns the share of refusals without a fall of the level."""
    admitted_count = max(1.0, admitted_per_s * load_counts.WINDOW_S)
    return max(_TOLERATED_SHARE, _TOLERATED_COUNT / admitted_count)


def _kept_fractions(
    rates: Sequence[load_counts.PriorityRates], demand: Sequence[float]
) -> list[float]:
    """Returns the fraction of each rank that is admitted at any level.

    Some of the admitted requests are refused for lack of capacity; the fraction
    makes up for them.

    Args:
        rates: Rates of each rank over the last seconds.
        demand: Requests per second of each rank.
    """
    requested = sum(demand)
    started = sum(rate.started for rate in rates)
    served_share = min(1.0, started / requested) if requested else 1.0
    fractions = []
    for rate in rates:
        admitted = rate.started + rate.refused
        factor = (
            min(_MAX_KEPT_FACTOR, admitted / rate.started)
            if rate.started
            else 1.0
        )
        fractions.append(min(1.0, _KEPT_SHARE * served_share * factor))
    return fractions
