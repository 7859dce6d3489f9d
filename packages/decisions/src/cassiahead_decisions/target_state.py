"""What one target may be given: slots, cold start, health.

Own observations decide. What a target says of itself may lower the limit but
never raises it.
"""

from __future__ import annotations

import attrs

from cassiahead_decisions import rights
from cassiahead_notes import api

__all__ = ["ANSWERS_PER_SLOT_INCREASE", "TargetState", "target_resource"]

ANSWERS_PER_SLOT_INCREASE = 8
_BACKOFF_FIRST_S = 0.1
_BACKOFF_MAX_S = 2.0
_BLAMED_AFTER = 2


def target_resource(target: str) -> str:
    """Returns the name of the rights to a target's slots."""
    return f"target:{target}"


@attrs.define
class TargetState:
    """The owner's knowledge of one target.

    A target that is new to its owner counts as cold. Its limit rises by one
    slot for each ``ANSWERS_PER_STEP`` answers.
    """

    name: str
    spec: api.Target
    in_flight: int = 0
    _warmth: int = 0
    _answers: int = 0
    _incarnation: str = ""
    _failures: int = 0
    _barred_until: float = 0.0

    def slot_limit(self, held: int, ceiling: int) -> int:
        """Returns the requests that may be in flight from this owner.

        Args:
            held: Rights to the target held here.
            ceiling: Rights over the whole fleet.
        """
        cold = self.spec.cold_slots
        fleet_limit = min(self.spec.slots, cold + self._warmth)
        return rights.apportion(fleet_limit, held, ceiling)

    def connection_limit(self, held: int, ceiling: int) -> int:
        """Returns the connections that may be open from this owner."""
        share = rights.apportion(self.spec.connections, held, ceiling)
        return min(share, 2 * self.spec.slots)

    def is_available(self, now: float) -> bool:
        """Returns whether the target is not backing off after failures."""
        return now >= self._barred_until

    @property
    def is_cold(self) -> bool:
        """Whether the limit is below the target's slots."""
        return self.spec.cold_slots + self._warmth < self.spec.slots

    @property
    def incarnation(self) -> str:
        """Incarnation in the target's last answer; empty if unknown."""
        return self._incarnation

    def record_answer(self, incarnation: str, says_cold: bool) -> bool:
        """Notes a good answer.

        Returns:
            Whether the target turned out to have become cold.
        """
        self._failures = 0
        turned_cold = says_cold or (
            bool(self._incarnation) and incarnation != self._incarnation
        )
        self._incarnation = incarnation
        if turned_cold:
            return self.reset_to_cold()
        if not self.is_cold:
            return False
        self._answers += 1
        if self._answers >= ANSWERS_PER_SLOT_INCREASE:
            self._answers = 0
            self._warmth += 1
        return False

    def record_failure(self, now: float) -> bool:
        """Notes a reset or refusal, which may mean a restart.

        Returns:
            Whether the target was taken to be warm before.
        """
        self._failures += 1
        steps = max(0, self._failures - _BLAMED_AFTER)
        if self._failures >= _BLAMED_AFTER:
            pause = min(_BACKOFF_MAX_S, _BACKOFF_FIRST_S * 2**steps)
            self._barred_until = now + pause
        return self.reset_to_cold()

    def reset_to_cold(self) -> bool:
        """Falls back to the cold limit; returns whether it was higher."""
        was_warm = self._warmth > 0
        self._warmth = 0
        self._answers = 0
        return was_warm

    def configure(self, spec: api.Target, starts_cold: bool) -> None:
        """Takes over a changed specification; ``ramp`` starts it cold."""
        if starts_cold or spec.address != self.spec.address:
            self.reset_to_cold()
        self.spec = spec
