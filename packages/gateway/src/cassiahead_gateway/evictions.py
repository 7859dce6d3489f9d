"""Which connections are closed for others when connections or memory run out.

A client that sends its request in full and reads its reply soon is never
closed; a client that delays either is closed once it has delayed for longest.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import enum
from typing import Generic
from typing import Protocol
from typing import TypeVar

import attrs

from cassiahead_wire import clock

__all__ = ["Evictable", "EvictionQueue", "EvictionRank", "EvictionStage"]

# All candidates are ranked again at most this often.
_MIN_RANKING_INTERVAL_S = 0.05


class EvictionStage(enum.IntEnum):
    """What a client is doing; the first stage is evicted first."""

    REFUSED = 0
    IDLE = 1
    DELAYING = 2


@attrs.frozen(order=True)
class EvictionRank:
    """Place in the order of eviction.

    Attributes:
        stage: What the client is doing.
        since: When the stage began, on the clock of the ranking's owner.
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
    """Evicts connections in the order of their ranks."""

    _candidates: Callable[[], Iterable[_Candidate]]
    _ranked: list[tuple[EvictionRank, _Candidate]] = attrs.field(factory=list)
    _ranked_at: float = 0.0

    def evict(
        self,
        until: float,
        is_wanted: Callable[[_Candidate], bool] = lambda _candidate: True,
    ) -> _Candidate | None:
        """Evicts the first connection.

        Args:
            until: Time after which the stage of a connection must not have
                begun; connections in other stages than ``DELAYING`` may be
                evicted at any time.
            is_wanted: Returns whether a connection is worth its eviction.

        Returns:
            The connection; None if there is none to evict.
        """
        candidate = self._pop(until, is_wanted)
        if candidate is None and self._rank():
            candidate = self._pop(until, is_wanted)
        if candidate is not None:
            candidate.evict()
        return candidate

    def _pop(
        self, until: float, is_wanted: Callable[[_Candidate], bool]
    ) -> _Candidate | None:
        for index in range(len(self._ranked) - 1, -1, -1):
            rank, candidate = self._ranked[index]
            if rank.stage is EvictionStage.DELAYING and rank.since > until:
                # All that follow began later.
                return None
            if candidate.eviction_rank != rank:
                del self._ranked[index]
            elif is_wanted(candidate):
                del self._ranked[index]
                return candidate
        return None

    def _rank(self) -> bool:
        """Ranks all candidates; returns whether that was due."""
        now = clock.monotonic()
        if now - self._ranked_at < _MIN_RANKING_INTERVAL_S:
            return False
        self._ranked_at = now
        ranked = [
            (rank, candidate)
            for candidate in self._candidates()
            if (rank := candidate.eviction_rank) is not None
        ]
        self._ranked = sorted(ranked, key=lambda r: r[0], reverse=True)
        return True
