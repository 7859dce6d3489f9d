"""Notes which targets answer slowly, compared with others on the same route."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cassiahead_decisions import hedging
from cassiahead_decisions import target_sightings

__all__ = ["TargetObserver"]

# An answer is slow if it takes more than this multiple of the route's median,
# and good if it takes less than the other.
_SLOW_LATENCY_RATIO = 2.5
_GOOD_LATENCY_RATIO = 1.5


@attrs.frozen(eq=False)
class TargetObserver:
    """Classifies the results of attempts for the sightings of targets.

    All times are seconds on this process's monotonic clock.

    Attributes:
        on_bad_result: Called with the id of each target that responded slowly
            or failed to respond, and the current time.
    """

    _sightings: target_sightings.FleetSightings
    on_bad_result: Callable[[str, float], None]

    def observe_answer(
        self,
        target_id: str,
        latency_s: float,
        latencies: hedging.LatencyWindow,
        now: float,
    ) -> None:
        """Records a good answer, which may have come late.

        Args:
            target_id: Id of the target.
            latency_s: Seconds since the request was sent.
            latencies: Recent latencies of attempts on the same route.
            now: Current time.
        """
        self._sightings.record_answer(now)
        self._sightings.failing.record_good(target_id, now)
        median_s = latencies.median_s
        if median_s is None:
            return
        if latency_s > _SLOW_LATENCY_RATIO * median_s:
            self._sightings.slow.record_bad(target_id, now)
            self.on_bad_result(target_id, now)
        elif latency_s < _GOOD_LATENCY_RATIO * median_s:
            self._sightings.slow.record_good(target_id, now)

    def observe_overdue(
        self,
        target_id: str,
        elapsed_s: float,
        latencies: hedging.LatencyWindow,
        now: float,
    ) -> bool:
        """Records an attempt in flight if its answer will count as slow.

        Args:
            target_id: Id of the target.
            elapsed_s: Seconds since the request was sent.
            latencies: Recent latencies of attempts on the same route.
            now: Current time.

        Returns:
            Whether it was recorded.
        """
        median_s = latencies.median_s
        if median_s is None or elapsed_s <= _SLOW_LATENCY_RATIO * median_s:
            return False
        self._sightings.slow.record_bad(target_id, now)
        self.on_bad_result(target_id, now)
        return True

    def observe_wait(
        self,
        target_id: str,
        elapsed_s: float,
        latencies: hedging.LatencyWindow,
        now: float,
        is_recorded: bool = False,
    ) -> None:
        """Records an attempt that was given up without an answer.

        Args:
            target_id: Id of the target.
            elapsed_s: Seconds since the request was sent.
            latencies: Recent latencies of attempts on the same route.
            now: Current time.
            is_recorded: Whether ``observe_overdue`` has recorded the attempt.
        """
        self._sightings.record_answer(now)
        if not is_recorded:
            self.observe_overdue(target_id, elapsed_s, latencies, now)

    def observe_failure(self, target_id: str, now: float) -> None:
        """Records a lost, broken or bad answer to a request that was sent."""
        self._sightings.record_answer(now)
        self._sightings.failing.record_bad(target_id, now)
        self.on_bad_result(target_id, now)

    def observe_no_connection(self, target_id: str, now: float) -> None:
        """Records that a target could not be connected to.

        Hosts that are cut off from the target see the same; the good answers
        that other hosts get outweigh it.
        """
        self._sightings.slow.record_bad(target_id, now)
        self.on_bad_result(target_id, now)
