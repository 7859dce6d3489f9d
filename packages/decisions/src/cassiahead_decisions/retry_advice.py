"""When a refused caller may come back, and who has come back.

Load pattern: an overload in which a host refuses many callers within a short
time. All of them honour ``Retry-After``; with equal values they would return
together and be refused again.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable
import hashlib
import heapq

import attrs

__all__ = ["RefusalMemory", "RetryAdvice", "spread_factor"]

# Advised while no rate of starts is known.
_DEFAULT_DELAY_S = 0.3
_MIN_DELAY_S = 0.05
# The advice is spread evenly over these multiples of the drain time.
_MIN_SPREAD_FACTOR = 0.75
_MAX_SPREAD_FACTOR = 1.25
# Callers honour the advice up to this fraction of their remaining time.
_MAX_REMAINING_FRACTION = 1 / 3
# A refusal is remembered for this long after the advised return.
_RETURN_WINDOW_S = 1.0
_MAX_REMEMBERED_COUNT = 4096
_HASH_BYTES = 8
_HASH_RANGE = float(1 << 8 * _HASH_BYTES)


@attrs.frozen
class RetryAdvice:
    """Advice to a refused caller, with its inputs.

    Attributes:
        delay_s: Seconds after which the caller may return.
        backlog: Requests of the same and higher priorities that wait or are
            expected back before, and the refused request itself.
        rate_per_s: Starts per second of the destination; None if unknown.
    """

    delay_s: float
    backlog: int
    rate_per_s: float | None


@attrs.define
class RefusalMemory:
    """Advises refused callers and recognises them when they return.

    Callers that are expected back count as backlog: otherwise all callers that
    one overload refuses would be told the same time. A caller mostly returns to
    another host, whose own refused callers return here in its place.

    All times are seconds on this process's monotonic clock.
    """

    _expires_at_by_fingerprint: collections.OrderedDict[str, float] = (
        attrs.field(factory=collections.OrderedDict)
    )
    # Heaps of the times at which callers are expected back.
    _returns: dict[tuple[Hashable, int], list[float]] = attrs.field(
        factory=dict
    )

    @property
    def remembered_count(self) -> int:
        """Number of remembered refusals."""
        return len(self._expires_at_by_fingerprint)

    def is_returning(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request was refused and may come back now."""
        expires_at = self._expires_at_by_fingerprint.get(fingerprint)
        return expires_at is not None and now < expires_at

    def forget(self, fingerprint: str) -> None:
        """Forgets a refusal, as the request has been started."""
        self._expires_at_by_fingerprint.pop(fingerprint, None)

    def advise(
        self,
        *,
        destination: Hashable,
        priority: int,
        fingerprint: str,
        waiting_count: int,
        rate_per_s: float | None,
        remaining_s: float,
        now: float,
    ) -> RetryAdvice:
        """Advises a refused caller, and remembers the refusal.

        Args:
            destination: Destination of the request.
            priority: Priority of the request; 0 is the highest.
            fingerprint: Digest of the request.
            waiting_count: Requests of the same and higher priorities that wait.
            rate_per_s: Starts per second of the destination; None if unknown.
            remaining_s: Seconds until the caller's deadline.
            now: Current time.
        """
        backlog = (
            waiting_count
            + self._expected_return_count(destination, priority, now)
            + 1
        )
        drain_s = backlog / rate_per_s if rate_per_s else _DEFAULT_DELAY_S
        # The bounds hold after the spread, so that callers at a bound are
        # spread as well.
        max_delay_s = max(0.0, remaining_s) * _MAX_REMAINING_FRACTION
        base_delay_s = min(
            max(_MIN_DELAY_S / _MIN_SPREAD_FACTOR, drain_s),
            max_delay_s / _MAX_SPREAD_FACTOR,
        )
        delay_s = base_delay_s * spread_factor(fingerprint)
        self._remember(destination, priority, fingerprint, delay_s, now)
        return RetryAdvice(delay_s, backlog, rate_per_s)

    def _expected_return_count(
        self, destination: Hashable, priority: int, now: float
    ) -> int:
        count = 0
        for key, returns_at in list(self._returns.items()):
            while returns_at and returns_at[0] <= now:
                heapq.heappop(returns_at)
            if not returns_at:
                del self._returns[key]
            elif key[0] == destination and key[1] <= priority:
                count += len(returns_at)
        return count

    def _remember(
        self,
        destination: Hashable,
        priority: int,
        fingerprint: str,
        delay_s: float,
        now: float,
    ) -> None:
        remembered = self._expires_at_by_fingerprint
        while remembered:
            oldest_fingerprint, expires_at = next(iter(remembered.items()))
            if expires_at > now and len(remembered) < _MAX_REMEMBERED_COUNT:
                break
            del remembered[oldest_fingerprint]
        remembered.pop(fingerprint, None)
        remembered[fingerprint] = now + delay_s + _RETURN_WINDOW_S
        returns_at = self._returns.setdefault((destination, priority), [])
        if len(returns_at) < _MAX_REMEMBERED_COUNT:
            heapq.heappush(returns_at, now + delay_s)


def spread_factor(fingerprint: str) -> float:
    """Returns the factor of a request's advice, the same for each refusal.

    The fingerprint is hashed again since its own first digits select the
    requests of accounts over their rate.

    Returns:
        A factor of at least 0.75 and below 1.25.
    """
    digest = hashlib.blake2b(
        fingerprint.encode(), digest_size=_HASH_BYTES
    ).digest()
    point = int.from_bytes(digest, "big") / _HASH_RANGE
    return _MIN_SPREAD_FACTOR + point * (
        _MAX_SPREAD_FACTOR - _MIN_SPREAD_FACTOR
    )
