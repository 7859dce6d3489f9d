"""When a process exchanges messages with the others next.

Load pattern: processes start, leave or are drained one after the other, and
each time the homes of client accounts move. Until the new home has borrowed
the rights, requests of these accounts wait.
"""

from __future__ import annotations

import attrs

__all__ = ["AFTER_CHANGE_S", "INTERVAL_S", "ExchangePace"]

# A third of the time after which a silent peer is suspected
# (``membership.SUSPECT_S``), so that one lost message suspects nobody.
INTERVAL_S = 0.4
# A quarter of that: bounds the messages while homes move again and again.
AFTER_CHANGE_S = 0.1


@attrs.define
class ExchangePace:
    """Exchanges at an interval, and soon after each move of the homes.

    Attributes:
        due: Time of the next exchange.
    """

    due: float = float("-inf")
    _exchanged_at: float = float("-inf")
    _basis: object = None

    def exchanged(self, basis: object, now: float) -> None:
        """Notes an exchange.

        Args:
            basis: What the homes depend on, after the exchange was begun.
            now: Time on this process's clock.
        """
        moved = basis != self._basis
        self._basis = basis
        self._exchanged_at = now
        self.due = now + (AFTER_CHANGE_S if moved else INTERVAL_S)

    def follow(self, basis: object) -> bool:
        """Brings the next exchange forward if the homes have moved.

        Args:
            basis: What the homes depend on now.

        Returns:
            Whether it is due earlier than before.
        """
        sooner = self._exchanged_at + AFTER_CHANGE_S
        if basis == self._basis or sooner >= self.due:
            return False
        self.due = sooner
        return True
