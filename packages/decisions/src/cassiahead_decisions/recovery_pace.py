"""Ramp-up of targets that have started or recovered.

Load pattern: one target, or all targets of a service, come back while the fleet
is serving. A host of a large fleet sends one target a request once in several
seconds, so that most hosts have no answer of their own while the load of the
fleet rises. The share of a target therefore grows with time only up to a limit
that good answers raise, and hardly with time after a bad answer.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import target_ramp

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["RecoveryPace", "is_bad_latency"]

# Answers that take longer than these multiples of the usual latency count
# neither as good nor as bad, or as bad.
_GOOD_LATENCY_RATIO = 1.5
_BAD_LATENCY_RATIO = 3.0
# Latency assumed while a service's usual one is unknown.
_DEFAULT_LATENCY_S = 0.02
_SIGHTING_INTERVAL_S = 2.0
# Failures without a good answer between them after which a target has to
# recover. A connect also fails during a short pause of the target.
_MIN_FAILURE_COUNT = 2


@attrs.define
class RecoveryPace:
    """Keeps, for each target that ramps up, its share of the usual load.

    All times are seconds on this process's monotonic clock, all shares above 0
    and up to 1.

    Attributes:
        is_enabled: Whether targets ramp up at all.
    """

    _rng: random.Random
    is_enabled: bool = True
    _ramp_by_target: dict[str, target_ramp.TargetRamp] = attrs.field(
        factory=dict
    )
    _failure_count_by_target: dict[str, int] = attrs.field(factory=dict)
    _answered_at_by_target: dict[str, float] = attrs.field(factory=dict)
    _usual_s: float = _DEFAULT_LATENCY_S

    def begin(
        self, target: str, starts_at: float, is_cold: bool = False
    ) -> bool:
        """Begins the ramp-up of a target, again if it was ramping up.

        Args:
            target: The target.
            starts_at: Time from which on the share grows, such as the end of
                the target's cold start.
            is_cold: Whether the target is cold until then. The hosts then send
                it their first requests one after the other: a whole service
                may turn warm at once, and no host knows its pace yet.

        Returns:
            Whether the target was not ramping up before.
        """
        if not self.is_enabled:
            return False
        previous_ramp = self._ramp_by_target.get(target)
        turn = self._rng.random() if is_cold else 0.0
        ramp = target_ramp.TargetRamp.from_start(starts_at, turn)
        if previous_ramp is not None:
            ramp.in_flight_count = previous_ramp.in_flight_count
        self._ramp_by_target[target] = ramp
        return previous_ramp is None

    def is_ramping(self, target: str) -> bool:
        """Returns whether a target is ramping up."""
        return target in self._ramp_by_target

    def share(self, target: str, now: float) -> float:
        """Returns a target's share of its usual load; 1 if it is usual."""
        ramp = self._ramp_by_target.get(target)
        return 1.0 if ramp is None else ramp.share_at(now)

    def shares(self, targets: Iterable[str], now: float) -> dict[str, float]:
        """Returns the shares of those targets that are ramping up."""
        if not self._ramp_by_target:
            return {}
        return {
            target: self.share(target, now)
            for target in targets
            if target in self._ramp_by_target
        }

    def may_send(
        self, target: str, slots: int, fleet_size: int, now: float
    ) -> bool:
        """Returns whether the share permits this host another request now.

        Args:
            target: The target.
            slots: Requests that the target runs at once.
            fleet_size: Number of hosts.
            now: Current time.
        """
        ramp = self._ramp_by_target.get(target)
        if ramp is None:
            return True
        permitted_requests = ramp.permitted_requests(slots, fleet_size, now)
        if ramp.in_flight_count >= max(1, int(permitted_requests)):
            return False
        return now >= ramp.next_send_at(permitted_requests)

    def record_sent(self, target: str) -> None:
        """Records a request sent to a target."""
        ramp = self._ramp_by_target.get(target)
        if ramp is not None:
            ramp.in_flight_count += 1

    def record_ended(self, target: str) -> None:
        """Records the end of a request, however it ended."""
        ramp = self._ramp_by_target.get(target)
        if ramp is not None:
            ramp.in_flight_count = max(0, ramp.in_flight_count - 1)

    def record_answer(
        self, target: str, latency_s: float, usual_s: float | None, now: float
    ) -> bool:
        """Records a good answer, which counts as bad if it took too long.

        The first one after several failures begins a ramp-up.

        Args:
            target: The target.
            latency_s: Seconds that the answer took.
            usual_s: Usual latency of the service; None if it is unknown.
            now: Current time.

        Returns:
            Whether the target begins to ramp up.
        """
        if is_bad_latency(latency_s, usual_s):
            return self.record_bad(target, latency_s, usual_s, now)
        self._usual_s = self._usual_s if usual_s is None else usual_s
        self._answered_at_by_target[target] = now
        has_begun = is_first_answer = False
        failure_count = self._failure_count_by_target.pop(target, 0)
        if failure_count >= _MIN_FAILURE_COUNT:
            has_begun = self.begin(target, now)
            is_first_answer = True
        ramp = self._ramp_by_target.get(target)
        if ramp is None or now < ramp.updated_at:
            return has_begun
        if usual_s is not None and latency_s > _GOOD_LATENCY_RATIO * usual_s:
            ramp.record_unremarkable(latency_s, now)
        elif is_first_answer:
            ramp.record_first_good(latency_s, now)
        else:
            ramp.record_good(latency_s, now)
        return has_begun

    def record_bad(
        self,
        target: str,
        elapsed_s: float,
        usual_s: float | None,
        now: float,
        resume_at: float | None = None,
    ) -> bool:
        """Records a refusal, a lost or bad answer, or one that took too long.

        A target that this process has had no good answer of begins to ramp up:
        a process that has just started does not know which targets do.

        Args:
            target: The target.
            elapsed_s: Seconds since the request was sent.
            usual_s: Usual latency of the service; None if it is unknown.
            now: Current time.
            resume_at: Time until which the target asked for no requests.

        Returns:
            Whether the target begins to ramp up.
        """
        self._usual_s = self._usual_s if usual_s is None else usual_s
        has_begun = False
        if (
            target not in self._ramp_by_target
            and target not in self._answered_at_by_target
        ):
            has_begun = self.begin(target, now)
        ramp = self._ramp_by_target.get(target)
        if ramp is None:
            return False
        ramp.record_bad(max(elapsed_s, self._usual_s), now)
        if resume_at is not None:
            ramp.pause_growth(resume_at)
        return has_begun

    def record_failure(self, target: str, now: float) -> bool:
        """Records a target that accepts no connections or does not answer.

        After ``_MIN_FAILURE_COUNT`` failures the target gets a low share, so
        that the hosts don't return to it all at once, and its next good answer
        begins the ramp-up. This does not hold for a target that this process
        has had no good answer of: one without a free connection for a host that
        has just started is a usual one.

        Returns:
            Whether the target begins to ramp up.
        """
        has_begun = False
        if target in self._answered_at_by_target:
            count = self._failure_count_by_target.get(target, 0) + 1
            self._failure_count_by_target[target] = count
            if count >= _MIN_FAILURE_COUNT and not self.is_ramping(target):
                has_begun = self.begin(target, now)
        ramp = self._ramp_by_target.get(target)
        if ramp is not None:
            ramp.record_failure(now)
        return has_begun

    def record_silence(self, target: str, sent_at: float, now: float) -> bool:
        """Records that an abandoned request was never answered.

        Counts as a failure unless the target has answered another request since
        this one was sent.

        Returns:
            Whether the target begins to ramp up.
        """
        if self._answered_at_by_target.get(target, -math.inf) >= sent_at:
            return False
        return self.record_failure(target, now)

    def record_sighting(self, target: str, now: float) -> None:
        """Records that the fleet has seen a target to be bad.

        Counts as a bad answer of a target that ramps up, at most once per
        ``_SIGHTING_INTERVAL_S``. Others ramp up from their next good answer:
        all hosts would return to them at the same time.
        """
        self._failure_count_by_target[target] = _MIN_FAILURE_COUNT
        ramp = self._ramp_by_target.get(target)
        if ramp is None or now - ramp.sighted_at < _SIGHTING_INTERVAL_S:
            return
        ramp.sighted_at = now
        self.record_bad(target, 0.0, None, now)

    def forget_target(self, target: str) -> None:
        """Drops the state of a target that was replaced or has gone."""
        self._ramp_by_target.pop(target, None)
        self._failure_count_by_target.pop(target, None)
        self._answered_at_by_target.pop(target, None)

    def end_complete(self, now: float) -> list[str]:
        """Ends the ramp-ups that have reached the full share.

        Returns:
            The targets whose ramp-up has ended.
        """
        ended = [
            target
            for target, ramp in self._ramp_by_target.items()
            if ramp.share_at(now) >= 1
        ]
        for target in ended:
            del self._ramp_by_target[target]
        return ended

    @property
    def ramping_count(self) -> int:
        """Number of targets that are ramping up."""
        return len(self._ramp_by_target)

    def lowest_share(self, now: float) -> float:
        """Returns the lowest share of any target; 1 if none is ramping up."""
        return min(
            (ramp.share_at(now) for ramp in self._ramp_by_target.values()),
            default=1.0,
        )


def is_bad_latency(latency_s: float, usual_s: float | None) -> bool:
    """Returns whether an answer took so long that it counts as bad.

    Args:
        latency_s: Seconds that the answer took, or has taken so far.
        usual_s: Usual latency of the service; None if it is unknown.
    """
    return usual_s is not None and latency_s > _BAD_LATENCY_RATIO * usual_s
