"""Which connections are closed for others when connections or memory run out.

A client that sends its request in full and reads its reply soon is not closed
for others before its reply is there; a client that delays either is closed once
it has delayed for longest.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
from typing import Generic
from typing import Protocol
from typing import TypeVar

import attrs

from cassiahead_wire import clock

__all__ = ["Evictable", "EvictionQueue", "EvictionRank", "EvictionStage"]

_RANKING_INTERVAL_S = 0.25


class EvictionStage(enum.IntEnum):
    """What a client is doing; the first stage is evicted first.

    Attributes:
        REFUSED: Reading a refusal.
        IDLE: Waiting for longer than clients within the limits do.
        DELAYING: Sending a request, or reading a reply.
        KEPT: Keeping the connection for its next request.
    """

    REFUSED = 0
    IDLE = 1
    DELAYING = 2
    KEPT = 3


@attrs.frozen
class EvictionRank:
    """Place in the order of eviction.

    Attributes:
        stage: What the client is doing.
        since: When the stage began; of two connections in one stage, that
            which began it earlier is evicted first.
    """

    stage: EvictionStage
    since: float


class Evictable(Protocol):
    """A connection that may be closed for others."""

    @property
    def eviction_rank(self) -> EvictionRank | None:
        """Place in the order of eviction; None if it may not be closed."""

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that an eviction gives back."""

    def evict(self) -> None:
        """Closes the connection, and gives its memory back."""


_Candidate = TypeVar("_Candidate", bound=Evictable)


@attrs.define(eq=False)
class EvictionQueue(Generic[_Candidate]):
    """Evicts connections in the order of their ranks.

    All connections are ranked at intervals, so that an eviction costs little
    however many there are.
    """

    _candidates: Callable[[], Iterable[_Candidate]]
    _min_s_by_stage: Mapping[EvictionStage, float]
    _is_wanted: Callable[[_Candidate], bool] = lambda _candidate: True
    _ranked: list[tuple[EvictionRank, _Candidate]] = attrs.field(factory=list)
    _next_ranking_at: float = 0.0

    def evict(self, now: float) -> bool:
        """Evicts the first connection that is wanted.

        A connection is evicted once it has been in its stage for long enough.

        Args:
            now: Time on the clock of the ranks.

        Returns:
            Whether there was one.
        """
        candidate = self._pop()
        if candidate is None and clock.monotonic() >= self._next_ranking_at:
            self._next_ranking_at = clock.monotonic() + _RANKING_INTERVAL_S
            self._rank(now)
            candidate = self._pop()
        if candidate is None:
            return False
        candidate.evict()
        return True

    def _pop(self) -> _Candidate | None:
        while self._ranked:
            rank, candidate = self._ranked.pop()
            if candidate.eviction_rank == rank:
                return candidate
        return None

    def _rank(self, now: float) -> None:
        ranked = [
            (rank, candidate)
            for candidate in self._candidates()
            if self._is_wanted(candidate)
            and (rank := candidate.eviction_rank) is not None
            and now - rank.since >= self._min_s_by_stage.get(rank.stage, 0.0)
        ]
        ranked.sort(key=lambda r: (r[0].stage, r[0].since), reverse=True)
        self._ranked = ranked
