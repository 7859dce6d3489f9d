"""Adaptive limit on the searches that an entry has in flight.

By Little's law a system that serves X searches per second, each with a service
time S and a queue time Q, has X * (S + Q) searches in flight. The limit is
adjusted until Q is the allowed fraction of S. More searches in flight would
wait longer without being served any sooner; those that miss their deadlines
would waste the work that some shards have already done.
"""

from __future__ import annotations

import attrs

__all__ = ["ConcurrencyLimit"]

_INITIAL_LIMIT_SEARCHES = 8.0
_MIN_LIMIT_SEARCHES = 1.0
_MAX_LIMIT_SEARCHES = 1000.0
# Allowed queue time, as a fraction of the service time.
_ALLOWED_QUEUE_TIME_FRACTION = 0.5
_UPDATE_INTERVAL_S = 0.1
# Weight of a new observation in the moving averages.
_SMOOTHING_FRACTION = 0.1
# Fraction of the computed change that one update applies.
_STEP_FRACTION = 0.4
# Bounds of the computed change, as a ratio of the new limit to the old one.
_MAX_CHANGE_RATIO = 1.5
_MIN_CHANGE_RATIO = 0.5
_MIN_SERVICE_TIME_S = 0.001


@attrs.define
class ConcurrencyLimit:
    """Limit for one layout at one entry, derived from observed search times.

    A search of all shards counts as 1, a request for some of the shards as
    their fraction of all shards.
    """

    _limit_searches: float = _INITIAL_LIMIT_SEARCHES
    _in_flight_searches: float = 0.0
    _mean_service_time_s: float | None = None
    _mean_queue_time_s: float = 0.0
    _was_limit_reached: bool = False
    _updated_at: float = 0.0

    @property
    def limit(self) -> float:
        """Searches that may be in flight."""
        return self._limit_searches

    @property
    def in_flight(self) -> float:
        """Searches in flight, including fractions."""
        return self._in_flight_searches

    def has_room(self) -> bool:
        """Returns whether fewer searches are in flight than the limit allows.

        If not, this is recorded, so that the next update may raise the limit.
        """
        if self._in_flight_searches < self._limit_searches:
            return True
        self._was_limit_reached = True
        return False

    def try_acquire(self, shard_fraction: float) -> bool:
        """Adds a request to those in flight if the limit is not reached.

        The request may exceed the limit by part of ``shard_fraction``:
        otherwise small requests could overtake a large one for ever.

        Args:
            shard_fraction: Fraction of the layout's shards that the request is
                for.

        Returns:
            Whether the request was added.
        """
        if not self.has_room():
            return False
        self._in_flight_searches += shard_fraction
        return True

    def release(self, shard_fraction: float) -> None:
        """Removes a request from those in flight.

        Args:
            shard_fraction: Value that was passed to ``try_acquire``.
        """
        self._in_flight_searches = max(
            0.0, self._in_flight_searches - shard_fraction
        )

    def record_request_times(
        self, service_time_s: float | None, queue_time_s: float, now: float
    ) -> None:
        """Adds the times of one request, and updates the limit if it is due.

        Args:
            service_time_s: Seconds for which a target worked on the request,
                the mean over the shards that answered; None if no shard
                answered.
            queue_time_s: Seconds for which the request waited for a slot, the
                mean over its shards.
            now: Current time on this process's monotonic clock, in seconds.
        """
        if service_time_s is not None:
            service_time_s = max(service_time_s, _MIN_SERVICE_TIME_S)
            previous_s = (
                service_time_s
                if self._mean_service_time_s is None
                else self._mean_service_time_s
            )
            self._mean_service_time_s = previous_s + _SMOOTHING_FRACTION * (
                service_time_s - previous_s
            )
        self._mean_queue_time_s += _SMOOTHING_FRACTION * (
            queue_time_s - self._mean_queue_time_s
        )
        if (
            self._mean_service_time_s is None
            or now - self._updated_at < _UPDATE_INTERVAL_S
        ):
            return
        self._updated_at = now
        self._update_limit(self._mean_service_time_s)

    def _update_limit(self, service_time_s: float) -> None:
        allowed_s = service_time_s * (1 + _ALLOWED_QUEUE_TIME_FRACTION)
        change_ratio = allowed_s / (service_time_s + self._mean_queue_time_s)
        # While the limit is not reached, the observed times say nothing about
        # a higher limit.
        max_ratio = _MAX_CHANGE_RATIO if self._was_limit_reached else 1.0
        change_ratio = min(max_ratio, max(_MIN_CHANGE_RATIO, change_ratio))
        self._limit_searches *= 1 + _STEP_FRACTION * (change_ratio - 1)
        self._limit_searches = min(
            _MAX_LIMIT_SEARCHES, max(_MIN_LIMIT_SEARCHES, self._limit_searches)
        )
        self._was_limit_reached = False
