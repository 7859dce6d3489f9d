"""Choice of the process that reads the platform's configuration service.

The service limits the calls of the whole fleet, so one process reads and passes
the records on to its peers. There is no leader election: each process starts to
read when its copy of the records is too old. The age limit rises with the
process's rank number, so that after the loss of a reader one other process
takes over before the rest.

Load pattern: the reader ends, is suspended, is partitioned from its peers, or
is refused by the service while other processes could read; or the whole fleet
loses the service and reaches it again.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["READER_RESOURCE", "ReaderRole"]

# Name for which the processes rank themselves as readers.
READER_RESOURCE = "configuration service"

# Age of the records at which the process of rank 0 starts to read: long enough
# for a wait of 1 s at the service, its answer, and a heartbeat to the peers.
_MAX_AGE_AT_RANK_ZERO_S = 1.6
_EXTRA_AGE_PER_RANK_S = 0.2
# Longest random delay after which a newly started process without any records
# starts to read. Processes at seed addresses start first: the others can get
# the records from them.
_START_JITTER_S = 0.5
_START_DELAY_OF_OTHERS_S = 0.7
# Backoffs before jitter, which multiplies them by 0.5 to 1.5.
_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0


@attrs.define
class ReaderRole:
    """Decides when this process reads the configuration service.

    All times are seconds on this process's monotonic clock.
    """

    _rng: random.Random
    _started_at: float
    _start_delay_s: float
    _is_reading: bool = False
    _consecutive_failure_count: int = 0
    _backoff_ends_at: float = -math.inf

    @classmethod
    def at_start(
        cls, rng: random.Random, now: float, is_seed: bool
    ) -> ReaderRole:
        """Creates the role of a process that starts now.

        Args:
            rng: Random number generator.
            now: Current time.
            is_seed: Whether other processes find this one by their settings.
        """
        start_delay_s = rng.random() * _START_JITTER_S
        if not is_seed:
            start_delay_s += _START_DELAY_OF_OTHERS_S
        return cls(rng, now, start_delay_s)

    @property
    def is_reading(self) -> bool:
        """Whether the last decision was to read, without a failure since."""
        return self._is_reading

    def decide(
        self,
        now: float,
        configuration_age_s: float,
        get_rank: Callable[[], int],
        is_higher_ranked_peer_reading: bool,
    ) -> bool:
        """Decides whether this process reads now.

        Args:
            now: Current time.
            configuration_age_s: Seconds since the last read, by any process,
                whose result this process has; infinite if there is none.
            get_rank: Returns the rank of this process among those not known to
                be unreachable; 0 is the highest. Called only if the records
                are too old for some rank.
            is_higher_ranked_peer_reading: Whether a peer of higher rank reads
                and was answered lately; this process then stops reading.
        """
        if now < self._backoff_ends_at:
            return False
        if self._is_reading:
            self._is_reading = not is_higher_ranked_peer_reading
            return self._is_reading
        if math.isinf(configuration_age_s):
            self._is_reading = now - self._started_at >= self._start_delay_s
        elif configuration_age_s >= _MAX_AGE_AT_RANK_ZERO_S:
            max_age_s = (
                _MAX_AGE_AT_RANK_ZERO_S + get_rank() * _EXTRA_AGE_PER_RANK_S
            )
            self._is_reading = configuration_age_s >= max_age_s
        return self._is_reading

    def record_success(self) -> None:
        """Records an answer of the service, which resets the backoff."""
        self._consecutive_failure_count = 0

    def record_failure(self, now: float) -> float:
        """Records a failed call and stops reading for a backoff time.

        The backoff doubles with each consecutive failure, with random jitter.

        Returns:
            The backoff in seconds.
        """
        self._is_reading = False
        backoff_s = min(
            _MAX_BACKOFF_S,
            _FIRST_BACKOFF_S * 2.0**self._consecutive_failure_count,
        )
        self._consecutive_failure_count = min(
            self._consecutive_failure_count + 1, 10
        )
        backoff_s *= 0.5 + self._rng.random()
        self._backoff_ends_at = now + backoff_s
        return backoff_s
