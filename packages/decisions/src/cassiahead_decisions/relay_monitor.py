"""Which relays an entry has asked in vain, sooner than heartbeats tell.

A host that is lost or stands still closes no connection, and heartbeats take
``membership.SUSPECT_S`` to miss it. Until then every search that asks such a
relay needs a second attempt for its shards, which the budget cannot bear.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["RelayMonitor"]

_LEAST_PATIENCE_S = 0.05


@attrs.define
class RelayMonitor:
    """Since when each relay has been asked without being heard of.

    Any word counts: an answer to any request, or a reply to a heartbeat. So
    slow targets alone do not make their relay quiet for long.
    """

    _asked_since: dict[str, float] = attrs.field(factory=dict)
    _quiet: set[str] = attrs.field(factory=set)

    def record_request(self, relay: str, now: float) -> None:
        """Notes that a relay is sent a request."""
        self._asked_since.setdefault(relay, now)

    def record_response(self, relay: str) -> bool:
        """Notes a word of a relay.

        Returns:
            Whether it had been quiet.
        """
        self._asked_since.pop(relay, None)
        was_quiet = relay in self._quiet
        self._quiet.discard(relay)
        return was_quiet

    def find_newly_quiet(
        self, relays: Iterable[str], response_timeout_s: float, now: float
    ) -> list[str]:
        """Finds relays that have not been heard of for too long.

        Args:
            relays: The relays to look at.
            response_timeout_s: Seconds within which an answer was to be
                expected.
            now: Time on this process's clock.

        Returns:
            Those that were not known to be quiet before.
        """
        response_timeout_s = max(response_timeout_s, _LEAST_PATIENCE_S)
        found = [
            relay
            for relay in relays
            if relay not in self._quiet
            and now - self._asked_since.get(relay, now) > response_timeout_s
        ]
        self._quiet.update(found)
        return found

    def is_quiet(self, relay: str) -> bool:
        """Returns whether a relay is avoided while there is another."""
        return relay in self._quiet
