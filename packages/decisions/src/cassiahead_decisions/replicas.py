"""Chooses the replica of a shard that a query asks."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

from cassiahead_notes import consequence

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from cassiahead_notes import api

__all__ = ["ReplicaChooser", "ReplicaView", "candidates"]

_SMOOTHING = 0.2
_UNKNOWN_LATENCY_S = 0.005
_OTHER_DOMAIN_S = 0.003
_EJECTION_FIRST_S = 1.0
_EJECTION_MAX_S = 20.0
_EJECTED_COST_S = 1.0
_PANIC_FRACTION = 0.5
_ESTIMATE_HALF_LIFE_S = 2.0


def candidates(
    configuration: api.Configuration, layout: api.Layout, shard: str
) -> list[str]:
    """Returns the targets of a shard that may get new work."""
    return [
        t for t in layout.shards[shard] if consequence.usable(configuration, t)
    ]


@attrs.frozen
class ReplicaView:
    """What an entry believes of one target.

    Attributes:
        latency: Latency expected, in seconds; fades while it is not asked.
        outstanding: Requests sent and not yet answered.
        failures: Failures in a row.
        avoided_for: Seconds for which it still gets no work.
    """

    latency: float
    outstanding: int
    failures: int
    avoided_for: float


@attrs.define
class _Seen:
    estimated_at: float
    latency: float = _UNKNOWN_LATENCY_S
    outstanding: int = 0
    failures: int = 0
    ejected_until: float = 0.0

    def estimate(self, now: float) -> float:
        """Returns the latency expected, which fades until it is seen anew.

        A replica that was slow once would else never be asked again, as the
        others stay below its last estimate.
        """
        age = max(0.0, now - self.estimated_at)
        return self.latency * math.exp2(-age / _ESTIMATE_HALF_LIFE_S)

    def observe(self, latency: float, now: float) -> None:
        """Takes one latency into the estimate."""
        expected = self.estimate(now)
        self.latency = expected + _SMOOTHING * (latency - expected)
        self.estimated_at = now

    def ejected(self, now: float) -> bool:
        """Returns whether the target is avoided after failures in a row."""
        return now < self.ejected_until


@attrs.define
class ReplicaChooser:
    """Ranks replicas by observed latency, work outstanding and failures.

    When most replicas of a fleet look bad the observer itself is suspect, and
    penalties are left out of account.
    """

    failure_domain: str
    _rng: random.Random
    _longest_ejection_s: float = _EJECTION_MAX_S
    _seen: dict[str, _Seen] = attrs.field(factory=dict)

    def choose(
        self,
        targets: Collection[str],
        configuration: api.Configuration,
        now: float,
    ) -> str | None:
        """Returns the better of two replicas drawn at random.

        Args:
            targets: The replicas to choose from.
            configuration: What is in force.
            now: Time on this process's clock.
        """
        domains = {t: configuration.targets[t].failure_domain for t in targets}
        return self.choose_among(domains, now)

    def choose_among(
        self, domains: Mapping[str, str], now: float
    ) -> str | None:
        """Returns the better of two replicas drawn at random.

        Args:
            domains: Failure domain of each replica to choose from.
            now: Time on this process's clock.
        """
        pool = sorted(domains)
        if not pool:
            return None
        panic = self._panics(now)
        if not panic:
            kept = [t for t in pool if not self._entry(t, now).ejected(now)]
            pool = kept or pool
        if len(pool) > 2:
            pool = self._rng.sample(pool, 2)
        return min(
            pool,
            key=lambda t: self._cost(t, domains[t], panic, now),
        )

    def avoids(self, target: str, now: float) -> bool:
        """Returns whether a target gets no work while others are left."""
        return self._entry(target, now).ejected(now)

    def view(self, now: float) -> dict[str, ReplicaView]:
        """Returns what is believed of each target ever asked."""
        return {
            target: ReplicaView(
                latency=seen.estimate(now),
                outstanding=seen.outstanding,
                failures=seen.failures,
                avoided_for=max(0.0, seen.ejected_until - now),
            )
            for target, seen in sorted(self._seen.items())
        }

    def sent(self, target: str, now: float) -> None:
        """Notes a request sent to a target."""
        self._entry(target, now).outstanding += 1

    def answered(self, target: str, latency: float, now: float) -> None:
        """Notes a good answer and its latency in seconds."""
        seen = self._entry(target, now)
        seen.outstanding = max(0, seen.outstanding - 1)
        seen.observe(latency, now)
        seen.failures = 0
        seen.ejected_until = 0.0

    def failed(self, target: str, now: float) -> None:
        """Notes a failure or an answer that did not come in time.

        The target is avoided for a while that doubles with each failure in a
        row, so that a bad one costs few extra attempts.
        """
        seen = self._entry(target, now)
        seen.outstanding = max(0, seen.outstanding - 1)
        pause = _EJECTION_FIRST_S * 2**seen.failures
        seen.failures = min(seen.failures + 1, 10)
        seen.ejected_until = now + min(pause, self._longest_ejection_s)

    def outlasted(self, target: str, elapsed: float, now: float) -> None:
        """Notes a request that was cancelled without an answer so far.

        Its latency would have been longer than the time that it had.
        """
        seen = self._entry(target, now)
        seen.outstanding = max(0, seen.outstanding - 1)
        if elapsed > seen.estimate(now):
            seen.observe(elapsed, now)

    def forget(self, target: str) -> None:
        """Drops what is held of a target that is gone."""
        self._seen.pop(target, None)

    def abandoned(self, target: str, now: float) -> None:
        """Notes a request that was cancelled, without blame."""
        seen = self._entry(target, now)
        seen.outstanding = max(0, seen.outstanding - 1)

    def _entry(self, target: str, now: float) -> _Seen:
        seen = self._seen.get(target)
        if seen is None:
            seen = self._seen[target] = _Seen(now)
        return seen

    def _panics(self, now: float) -> bool:
        bad = sum(1 for seen in self._seen.values() if seen.ejected(now))
        return bad > max(1, _PANIC_FRACTION * len(self._seen))

    def _cost(self, target: str, domain: str, panic: bool, now: float) -> float:
        seen = self._entry(target, now)
        cost = seen.estimate(now) * (1 + seen.outstanding)
        if domain != self.failure_domain:
            cost += _OTHER_DOMAIN_S
        if not panic and seen.ejected(now):
            cost += _EJECTED_COST_S
        return cost
