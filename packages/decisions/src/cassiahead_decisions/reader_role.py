"""Which processes read the platform's configuration service.

Calls are counted and limited over the fleet, so one process reads and the
others hear from it. There is no election: the older a process's knowledge, the
more reason it has to read. Processes differ in their patience by their rank,
so that after a reader is lost one other takes over first.

Load pattern: a reader that dies, freezes, is cut off or is refused while the
others could read; the whole fleet losing the service and finding it again.
"""

from __future__ import annotations

import math
import random

import attrs

from cassiahead_decisions import rendezvous

__all__ = ["ReaderRole", "reader_rank"]

# Age of knowledge at which the first process begins to read, in seconds: a
# wait of 1 s at the service, its answer, and a heartbeat to the others.
_STALE_AFTER_S = 1.6
# Further patience of each following rank, in seconds.
_RANK_STEP_S = 0.2
# At the start nothing is known; processes begin to read spread over this.
_START_SPREAD_S = 0.5
_FIRST_BACKOFF_S = 0.25
_MOST_BACKOFF_S = 2.0
_RESOURCE = "configuration service"


def reader_rank(process: str, peers: list[str]) -> int:
    """Returns a process's place in the order of readers, from 0."""
    own = rendezvous.score(process, _RESOURCE)
    return sum(1 for p in peers if rendezvous.score(p, _RESOURCE) > own)


@attrs.define
class ReaderRole:
    """Whether this process reads now."""

    _rng: random.Random
    _started_at: float
    _start_delay: float
    _reading: bool = False
    _failures: int = 0
    _not_before: float = -math.inf

    @classmethod
    def at_start(cls, rng: random.Random, now: float) -> ReaderRole:
        """Creates the duty of a process that starts now."""
        return cls(rng, now, rng.random() * _START_SPREAD_S)

    @property
    def is_reading(self) -> bool:
        """Whether this process reads."""
        return self._reading

    def decide(
        self,
        now: float,
        configuration_age_s: float,
        rank: int,
        higher_ranked_reads: bool,
    ) -> bool:
        """Returns whether this process reads now.

        Args:
            now: Time on this process's clock.
            configuration_age_s: Seconds since anyone's read that this process's
                knowledge includes; infinite if it knows nothing.
            rank: Place in the order of readers among the peers heard.
            higher_ranked_reads: Whether a peer of a better rank reads and was
                answered lately.
        """
        if now < self._not_before:
            return False
        if self._reading:
            self._reading = not higher_ranked_reads
            return self._reading
        if math.isinf(configuration_age_s):
            self._reading = now - self._started_at >= self._start_delay
        else:
            patience = _STALE_AFTER_S + rank * _RANK_STEP_S
            self._reading = configuration_age_s >= patience
        return self._reading

    def record_success(self) -> None:
        """Notes an answer of the service."""
        self._failures = 0

    def record_failure(self, now: float) -> float:
        """Notes a call that failed; returns the seconds of the pause."""
        self._reading = False
        pause = min(_MOST_BACKOFF_S, _FIRST_BACKOFF_S * 2.0**self._failures)
        self._failures = min(self._failures + 1, 10)
        pause *= 0.5 + self._rng.random()
        self._not_before = now + pause
        return pause
