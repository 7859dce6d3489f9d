"""How many rights a resource is divided into."""

from __future__ import annotations

import attrs

__all__ = ["Ceiling"]


@attrs.define
class Ceiling:
    """The number of rights to a resource; the larger of old and new rules."""

    overlap_s: float
    _value: int = 1
    _previous: int = 1
    _changed_at: float = float("-inf")

    def configure(self, value: int, now: float) -> None:
        """Takes over the ceiling that came into force at ``now``."""
        if value == self._value:
            return
        first = self._changed_at == float("-inf")
        self._previous = value if first else self.effective_value(now)
        self._value = value
        self._changed_at = now

    def effective_value(self, now: float) -> int:
        """Returns the ceiling to divide by."""
        if now >= self._changed_at + self.overlap_s:
            return self._value
        return max(self._value, self._previous)
