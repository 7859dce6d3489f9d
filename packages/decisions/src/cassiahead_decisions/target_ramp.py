"""Share of the usual load that one host sends to one target that ramps up.

Load pattern: see ``recovery_pace``. The share grows with good answers and, up
to a limit that they raise, with time; bad answers halve it. It limits the
requests that the host has in flight at the target on average over time, because
a host of a large fleet has less than one request in flight there.
"""

from __future__ import annotations

import math

import attrs

__all__ = ["TargetRamp"]

_FIRST_SHARE = 0.1
_MIN_SHARE = 0.01
# Share up to which a target grows before its first good answer, and the growth
# by time that a good answer permits.
_UNANSWERED_SHARE = 0.4
_GROWTH_PER_ANSWER = 4.0
_GOOD_ANSWER_FACTOR = 1.5
_BAD_ANSWER_FACTOR = 0.5
_DOUBLING_TIME_S = 2.0
# Doubling time after a bad answer, and above the limit that good answers set: a
# host that is not asked for the service gets no answers.
_SLOW_DOUBLING_TIME_S = 10.0
# Time in which any share grows to 1; longer ones are not computed with.
_MAX_GROWTH_TIME_S = 100.0
# Requests in flight at a target from all hosts, for each of its slots, at the
# full share: while it answers well, and otherwise.
_REQUESTS_PER_SLOT = 7.0
_STRAINED_REQUESTS_PER_SLOT = 1.0
# Longest time between two requests of one host, in seconds.
_MAX_INTERVAL_S = 30.0


@attrs.define(eq=False)
class TargetRamp:
    """Ramp-up of one target.

    Attributes:
        share: Share of the usual load at ``updated_at``.
        updated_at: Time from which on the share grows.
        limit: Share up to which it grows with the short doubling time.
        starts_at: Time at which the ramp-up starts.
        turn: This host's place, from 0 to 1, among the hosts that send the
            target their first requests after a cold start; 0 if the target may
            get any request at once.
        is_strained: Whether the last answer was bad.
        had_bad_answer: Whether any answer of this ramp-up was bad.
        has_answer: Whether there was any answer.
        latency_s: Seconds that the last answer took.
        answered_at: Time of the last answer.
        in_flight_count: Requests sent since the start and not ended.
        sighted_at: When the fleet last counted the target as bad.
    """

    share: float
    updated_at: float
    limit: float
    starts_at: float
    turn: float
    is_strained: bool = False
    had_bad_answer: bool = False
    has_answer: bool = False
    latency_s: float = 0.0
    answered_at: float = -math.inf
    in_flight_count: int = 0
    sighted_at: float = -math.inf

    @classmethod
    def from_start(cls, starts_at: float, turn: float) -> TargetRamp:
        """Creates the ramp-up of a target that starts at a given time."""
        return cls(_FIRST_SHARE, starts_at, _UNANSWERED_SHARE, starts_at, turn)

    @property
    def first_send_at(self) -> float:
        """Time from which this host may send the target its first request.

        Until then, at most as many hosts have sent one as the share with the
        short doubling time permits.
        """
        doublings = math.log2(max(self.turn, _FIRST_SHARE) / _FIRST_SHARE)
        return self.starts_at + _DOUBLING_TIME_S * doublings

    def share_at(self, now: float) -> float:
        """Returns the share, which grows with time."""
        elapsed_s = min(max(0.0, now - self.updated_at), _MAX_GROWTH_TIME_S)
        fast_s = 0.0
        if not self.had_bad_answer and self.share < self.limit:
            doublings = math.log2(self.limit / self.share)
            fast_s = min(elapsed_s, _DOUBLING_TIME_S * doublings)
        slow_s = elapsed_s - fast_s
        doublings = fast_s / _DOUBLING_TIME_S + slow_s / _SLOW_DOUBLING_TIME_S
        return min(1.0, self.share * math.exp2(doublings))

    def record_first_good(self, latency_s: float, now: float) -> None:
        """Records the good answer that shows that a target has recovered."""
        self._record_answer(latency_s, now)
        self.is_strained = False
        self.limit = max(self.limit, _GROWTH_PER_ANSWER * self.share)

    def record_good(self, latency_s: float, now: float) -> None:
        """Records a good answer: the share rises, and so does its limit."""
        self._update_share(_GOOD_ANSWER_FACTOR, now)
        self.record_first_good(latency_s, now)

    def record_unremarkable(self, latency_s: float, now: float) -> None:
        """Records an answer that is neither fast nor slow enough to count."""
        self._record_answer(latency_s, now)

    def record_bad(self, latency_s: float, now: float) -> None:
        """Records a bad answer: the share falls and then grows slowly."""
        self._update_share(_BAD_ANSWER_FACTOR, now)
        self._record_answer(latency_s, now)
        self.had_bad_answer = True
        self.is_strained = True

    def record_failure(self, now: float) -> None:
        """Records that the target could not be reached: the share falls.

        Requests are not spread over time: other hosts may reach the target, and
        how often this host tries again is not decided here.
        """
        self._update_share(_BAD_ANSWER_FACTOR, now)
        self.had_bad_answer = True

    def pause_growth(self, until: float) -> None:
        """Keeps the share from growing with time until a given time."""
        self.updated_at = max(self.updated_at, until)

    def permitted_requests(
        self, slots: int, fleet_size: int, now: float
    ) -> float:
        """Returns how many requests this host may have in flight on average."""
        requests_per_slot = (
            _STRAINED_REQUESTS_PER_SLOT
            if self.is_strained
            else _REQUESTS_PER_SLOT
        )
        return requests_per_slot * slots * self.share_at(now) / fleet_size

    def next_send_at(self, permitted_requests: float) -> float:
        """Returns when the next request may be sent if none is in flight.

        A host that may have only a fraction of a request in flight waits after
        each answer, so that the fraction holds on average.

        Args:
            permitted_requests: Result of ``permitted_requests``.
        """
        if not self.has_answer:
            return self.first_send_at
        interval_s = self.latency_s * (1 / permitted_requests - 1)
        return self.answered_at + min(_MAX_INTERVAL_S, interval_s)

    def _record_answer(self, latency_s: float, now: float) -> None:
        self.has_answer = True
        self.latency_s = latency_s
        self.answered_at = now

    def _update_share(self, factor: float, now: float) -> None:
        share = factor * self.share_at(now)
        self.share = min(1.0, max(_MIN_SHARE, share))
        self.updated_at = max(now, self.updated_at)
