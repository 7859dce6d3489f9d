"""Limits the load on one target by slots, slow start and back-off.

The limits follow from this process's own observations. A target's report that
it is cold lowers the limit; nothing that a target reports raises it.
"""

from __future__ import annotations

import attrs

from cassiahead_decisions import rights
from cassiahead_notes import api as notes

__all__ = ["ANSWERS_PER_SLOT_INCREASE", "TargetState", "target_resource"]

ANSWERS_PER_SLOT_INCREASE = 8
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_MIN_FAILURES_FOR_BACKOFF = 2


def target_resource(target: str) -> str:
    """Returns the resource name of a target's slots."""
    return f"target:{target}"


@attrs.define
class TargetState:
    """State of one target, kept by the relay that is the target's home.

    A target that is new to this relay counts as cold: its limit starts at the
    configured cold limit, and rises by one slot for every
    ``ANSWERS_PER_SLOT_INCREASE`` successful answers.

    Attributes:
        name: Name of the target.
        spec: The target as configured.
        in_flight_count: Number of requests that this process has in flight.
    """

    name: str
    spec: notes.Target
    in_flight_count: int = 0
    # Slots above the cold limit.
    _gained_slot_count: int = 0
    _answers_since_increase: int = 0
    _incarnation: str = ""
    _consecutive_failure_count: int = 0
    _backoff_ends_at: float = 0.0

    def slot_limit(self, held_right_count: int, ceiling: int) -> int:
        """Returns how many requests this process may have in flight.

        Args:
            held_right_count: Number of rights to the target that this process
                holds.
            ceiling: Number of rights over the whole fleet.
        """
        cold_limit = self.spec.cold_slots
        fleet_limit = min(self.spec.slots, cold_limit + self._gained_slot_count)
        return rights.apportion(fleet_limit, held_right_count, ceiling)

    def connection_limit(self, held_right_count: int, ceiling: int) -> int:
        """Returns how many connections this process may have open.

        At most two per slot of the target, even if the target accepts more.

        Args:
            held_right_count: Number of rights to the target that this process
                holds.
            ceiling: Number of rights over the whole fleet.
        """
        connections = rights.apportion(
            self.spec.connections, held_right_count, ceiling
        )
        return min(connections, 2 * self.spec.slots)

    def is_available(self, now: float) -> bool:
        """Returns whether no back-off after failures is in progress."""
        return now >= self._backoff_ends_at

    @property
    def is_cold(self) -> bool:
        """Whether slow start still limits the target below its slots."""
        return self.spec.cold_slots + self._gained_slot_count < self.spec.slots

    @property
    def incarnation(self) -> str:
        """Incarnation given in the target's last answer; empty if unknown."""
        return self._incarnation

    def record_answer(self, incarnation: str, reports_cold: bool) -> bool:
        """Records a successful answer.

        Args:
            incarnation: Incarnation given in the answer; a change means that
                the target has restarted and is cold.
            reports_cold: Whether the target reports that it is cold.

        Returns:
            Whether a limit that had risen was reset to the cold limit.
        """
        self._consecutive_failure_count = 0
        is_now_cold = reports_cold or (
            bool(self._incarnation) and incarnation != self._incarnation
        )
        self._incarnation = incarnation
        if is_now_cold:
            return self.reset_to_cold()
        if not self.is_cold:
            return False
        self._answers_since_increase += 1
        if self._answers_since_increase >= ANSWERS_PER_SLOT_INCREASE:
            self._answers_since_increase = 0
            self._gained_slot_count += 1
        return False

    def record_failure(self, now: float) -> bool:
        """Records a connection reset or refusal, which may mean a restart.

        After ``_MIN_FAILURES_FOR_BACKOFF`` or more failures in a row, the
        target gets no new work for a time that doubles with each failure, up to
        ``_MAX_BACKOFF_S``.

        Returns:
            Whether a limit that had risen was reset to the cold limit.
        """
        self._consecutive_failure_count += 1
        doublings = max(
            0, self._consecutive_failure_count - _MIN_FAILURES_FOR_BACKOFF
        )
        if self._consecutive_failure_count >= _MIN_FAILURES_FOR_BACKOFF:
            backoff_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**doublings)
            self._backoff_ends_at = now + backoff_s
        return self.reset_to_cold()

    def reset_to_cold(self) -> bool:
        """Resets the limit to the cold limit; returns whether it had risen."""
        was_warm = self._gained_slot_count > 0
        self._gained_slot_count = 0
        self._answers_since_increase = 0
        return was_warm

    def configure(self, spec: notes.Target, starts_cold: bool) -> None:
        """Adopts a changed specification.

        Args:
            spec: The target as configured.
            starts_cold: Whether to reset the limit to the cold limit. A changed
                address also resets it.
        """
        if starts_cold or spec.address != self.spec.address:
            self.reset_to_cold()
        self.spec = spec
