"""How many searches an entry keeps under way at once.

By Little's law a system that serves X searches a second, each in S seconds of
work and Q seconds of waiting, holds X * (S + Q) of them. The limit is moved
until Q is the allowed fraction of S: more would wait without being served any
sooner, and end at their deadlines with the work of some shards wasted.
"""

from __future__ import annotations

import attrs

__all__ = ["ConcurrencyLimit"]

_INITIAL = 8.0
_MIN = 1.0
_MAX = 1000.0
_WAITING_ALLOWED = 0.5
_UPDATE_EVERY_S = 0.1
_SMOOTHING = 0.1
_STEP = 0.4
_MOST_GROWTH = 1.5
_MOST_SHRINKAGE = 0.5
_LEAST_WORK_S = 0.001


@attrs.define
class ConcurrencyLimit:
    """The limit of one layout at one entry, learnt from what searches see.

    A search counts as 1, a request for some shards as their fraction.
    """

    _limit: float = _INITIAL
    _under_way: float = 0.0
    _work: float | None = None
    _waiting: float = 0.0
    _was_full: bool = False
    _updated_at: float = 0.0

    @property
    def limit(self) -> float:
        """Searches that may be under way."""
        return self._limit

    @property
    def in_flight(self) -> float:
        """Searches under way."""
        return self._under_way

    def has_room(self) -> bool:
        """Returns whether the limit is not reached; notes it if it is."""
        if self._under_way < self._limit:
            return True
        self._was_full = True
        return False

    def try_acquire(self, size: float) -> bool:
        """Begins a request of a size if the limit is not reached.

        The last one may exceed the limit, so that a large request is not
        passed by small ones for ever.
        """
        if not self.has_room():
            return False
        self._under_way += size
        return True

    def release(self, size: float) -> None:
        """Ends a request that has begun."""
        self._under_way = max(0.0, self._under_way - size)

    def observe(
        self, service_time_s: float | None, queue_time_s: float, now: float
    ) -> None:
        """Takes in what one request saw.

        Args:
            service_time_s: Seconds that a target worked for it, the mean of the
                shards that answered; None if none did.
            queue_time_s: Seconds that it waited for slots, the mean of its
                shards.
            now: Time on this process's clock.
        """
        if service_time_s is not None:
            service_time_s = max(service_time_s, _LEAST_WORK_S)
            before = service_time_s if self._work is None else self._work
            self._work = before + _SMOOTHING * (service_time_s - before)
        self._waiting += _SMOOTHING * (queue_time_s - self._waiting)
        if self._work is None or now - self._updated_at < _UPDATE_EVERY_S:
            return
        self._updated_at = now
        self._update(self._work)

    def _update(self, work: float) -> None:
        allowed = work * (1 + _WAITING_ALLOWED)
        change = allowed / (work + self._waiting)
        # A limit that is not reached says nothing about a higher one.
        most = _MOST_GROWTH if self._was_full else 1.0
        change = min(most, max(_MOST_SHRINKAGE, change))
        self._limit *= 1 + _STEP * (change - 1)
        self._limit = min(_MAX, max(_MIN, self._limit))
        self._was_full = False
