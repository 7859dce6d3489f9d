"""Timing of a planned stop: which requests a draining process still takes.

Load pattern: a process is told to stop while callers keep sending requests over
the connections that they have. Whatever is still unanswered when the grace
period ends would be cut off, and its caller could not know whether it has run.
"""

from __future__ import annotations

import attrs

__all__ = ["DrainSchedule"]

# Time after the signal to stop for which the process still accepts connections.
# The balancer takes a host out of service after two readiness checks, one
# second apart, that are not answered with 200; until then callers keep their
# connections to the host.
_LISTENING_S = 3.0
# The first request on a connection arrives up to this long after its accept.
_FIRST_REQUEST_DELAY_S = 0.25
# Time after the signal to stop at which connections without a request are
# closed. Any other connection is closed after its next reply.
_IDLE_CONNECTIONS_S = 4.5
# Time left for writing the last replies before the process is killed.
_REPLY_MARGIN_S = 0.5
# Part of a short grace period for which connections are still accepted.
_MAX_LISTENING_FRACTION = 0.5
# Part of a short grace period that is left for writing the last replies.
_MAX_MARGIN_FRACTION = 0.25


@attrs.frozen
class DrainSchedule:
    """Times of one planned stop, in seconds on the process's monotonic clock.

    Attributes:
        stop_listening_at: When the process stops accepting connections.
        accept_all_until: Until when each request is taken, however long its
            caller may wait for it.
        close_idle_at: When connections without a request are closed.
        answer_all_at: When each request still unanswered gets the answer that
            is possible then.
        close_all_at: When the connections that are still open are closed.
        kill_at: When the process is killed.
    """

    stop_listening_at: float
    accept_all_until: float
    close_idle_at: float
    answer_all_at: float
    close_all_at: float
    kill_at: float

    @classmethod
    def from_signal(cls, signalled_at: float, grace_s: float) -> DrainSchedule:
        """Creates the schedule of a stop.

        Args:
            signalled_at: When the process was told to stop.
            grace_s: Seconds until the process is killed.
        """
        margin_s = min(_REPLY_MARGIN_S, _MAX_MARGIN_FRACTION * grace_s)
        answer_all_at = signalled_at + grace_s - margin_s
        stop_listening_at = signalled_at + min(
            _LISTENING_S, _MAX_LISTENING_FRACTION * grace_s
        )
        return cls(
            stop_listening_at,
            min(stop_listening_at + _FIRST_REQUEST_DELAY_S, answer_all_at),
            min(signalled_at + _IDLE_CONNECTIONS_S, answer_all_at),
            answer_all_at,
            answer_all_at + margin_s / 2,
            signalled_at + grace_s,
        )

    def accepts(self, request_deadline: float, now: float) -> bool:
        """Returns whether a request that arrives now is still taken.

        A later request is taken only if its own deadline lies within the grace
        period, so that it is answered in any case.

        Args:
            request_deadline: When the caller stops waiting for the answer.
            now: Current time.
        """
        return now < self.accept_all_until or (
            request_deadline <= self.answer_all_at
        )
