"""When a process exchanges messages with the others next.

Load pattern: processes start, leave or are drained one after the other, and
each time the homes of client accounts move. Until the new home has borrowed
the rights, requests of these accounts wait.
"""

from __future__ import annotations

import attrs

__all__ = ["INTERVAL_AFTER_CHANGE_S", "EXCHANGE_INTERVAL_S", "ExchangeSchedule"]

# A third of the time after which a silent peer is suspected
# (``membership.SUSPECT_S``), so that one lost message suspects nobody.
EXCHANGE_INTERVAL_S = 0.4
# A quarter of that: bounds the messages while homes move again and again.
INTERVAL_AFTER_CHANGE_S = 0.1


@attrs.define
class ExchangeSchedule:
    """Exchanges at an interval, and soon after each move of the homes.

    Attributes:
        next_due_at: Time of the next exchange.
    """

    next_due_at: float = float("-inf")
    _exchanged_at: float = float("-inf")
    _basis: object = None

    def record_exchange(self, home_map_version: object, now: float) -> None:
        """Notes an exchange.

        Args:
            home_map_version: What the homes depend on, after the exchange was
                begun.
            now: Time on this process's clock.
        """
        moved = home_map_version != self._basis
        self._basis = home_map_version
        self._exchanged_at = now
        self.next_due_at = now + (
            INTERVAL_AFTER_CHANGE_S if moved else EXCHANGE_INTERVAL_S
        )

    def bring_forward_if_moved(self, home_map_version: object) -> bool:
        """Brings the next exchange forward if the homes have moved.

        Args:
            home_map_version: What the homes depend on now.

        Returns:
            Whether it is due earlier than before.
        """
        sooner = self._exchanged_at + INTERVAL_AFTER_CHANGE_S
        if home_map_version == self._basis or sooner >= self.next_due_at:
            return False
        self.next_due_at = sooner
        return True
