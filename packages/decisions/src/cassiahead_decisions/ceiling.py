"""Number of rights that each resource of a role is divided into."""

from __future__ import annotations

import attrs

__all__ = ["Ceiling"]


@attrs.define
class Ceiling:
    """Number of rights to each resource of a role.

    For ``overlap_s`` after a change, the larger of the old and the new number
    applies, so that processes that adopt the change at different times within
    that span never use more than the whole resource together.

    Attributes:
        overlap_s: Time after a change, in seconds, before the new number alone
            applies.
    """

    overlap_s: float
    _ceiling: int = 1
    _previous_ceiling: int = 1
    _changed_at: float = float("-inf")

    def configure(self, ceiling: int, now: float) -> None:
        """Adopts a ceiling that came into force at ``now``.

        The first ceiling applies at once, without an overlap.
        """
        if ceiling == self._ceiling:
            return
        is_first = self._changed_at == float("-inf")
        self._previous_ceiling = (
            ceiling if is_first else self.effective_value(now)
        )
        self._ceiling = ceiling
        self._changed_at = now

    def effective_value(self, now: float) -> int:
        """Returns the number of rights to divide a resource by."""
        if now >= self._changed_at + self.overlap_s:
            return self._ceiling
        return max(self._ceiling, self._previous_ceiling)
