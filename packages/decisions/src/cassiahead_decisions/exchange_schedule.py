"""Decides when a process starts its next exchange with its peers.

Load pattern: processes start, leave or are drained one after another, and each
time the homes of some client accounts move. Requests of these accounts wait
until the new home has borrowed the rights, which takes an exchange.
"""

from __future__ import annotations

import attrs

__all__ = ["INTERVAL_AFTER_CHANGE_S", "EXCHANGE_INTERVAL_S", "ExchangeSchedule"]

# A third of the time after which a silent peer is suspected
# (``membership.SUSPECT_AFTER_S``), so that one lost message causes no
# suspicion.
EXCHANGE_INTERVAL_S = 0.4
# A quarter of the regular interval; bounds the message rate while homes move
# repeatedly.
INTERVAL_AFTER_CHANGE_S = 0.1


@attrs.define
class ExchangeSchedule:
    """Schedules exchanges at an interval, and sooner after homes have moved.

    All times are seconds on this process's monotonic clock. A version of the
    home map is any object that differs from the previous one if homes may have
    moved.

    Attributes:
        next_due_at: Time of the next exchange.
    """

    next_due_at: float = float("-inf")
    _last_exchange_at: float = float("-inf")
    _home_map_version: object = None

    def record_exchange(self, home_map_version: object, now: float) -> None:
        """Records the start of an exchange and schedules the next one.

        Args:
            home_map_version: Version of the home map just after the start of
                the exchange.
            now: Current time.
        """
        homes_have_moved = home_map_version != self._home_map_version
        self._home_map_version = home_map_version
        self._last_exchange_at = now
        self.next_due_at = now + (
            INTERVAL_AFTER_CHANGE_S if homes_have_moved else EXCHANGE_INTERVAL_S
        )

    def bring_forward_if_moved(self, home_map_version: object) -> bool:
        """Makes the next exchange due earlier if homes have moved.

        Args:
            home_map_version: Current version of the home map.

        Returns:
            Whether the next exchange is due earlier than before.
        """
        earlier_due_at = self._last_exchange_at + INTERVAL_AFTER_CHANGE_S
        if (
            home_map_version == self._home_map_version
            or earlier_due_at >= self.next_due_at
        ):
            return False
        self.next_due_at = earlier_due_at
        return True
