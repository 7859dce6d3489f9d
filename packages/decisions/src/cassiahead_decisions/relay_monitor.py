"""Detects unresponsive relays sooner than missing heartbeats do.

A host that fails or hangs closes no connection, and missing heartbeats reveal
the failure only after ``membership.SUSPECT_AFTER_S``. Until then each search
that asks a relay on the host needs a second attempt for the relay's shards,
which is more than the extra-load budget allows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["RelayMonitor"]

_MIN_RESPONSE_TIMEOUT_S = 0.05


@attrs.define
class RelayMonitor:
    """Tracks how long requests to each relay have gone without a response.

    Any response counts: an answer to any request, or a reply to a heartbeat.
    Hence slow targets alone don't keep their relay quiet for long.
    """

    # Time of the oldest request since the last response, by relay.
    _unanswered_since: dict[str, float] = attrs.field(factory=dict)
    _quiet_relays: set[str] = attrs.field(factory=set)

    def record_request(self, relay: str, now: float) -> None:
        """Records that a request was sent to a relay."""
        self._unanswered_since.setdefault(relay, now)

    def record_response(self, relay: str) -> bool:
        """Records any response from a relay, which is no longer quiet.

        Returns:
            Whether the relay had been quiet.
        """
        self._unanswered_since.pop(relay, None)
        was_quiet = relay in self._quiet_relays
        self._quiet_relays.discard(relay)
        return was_quiet

    def find_newly_quiet(
        self, relays: Iterable[str], response_timeout_s: float, now: float
    ) -> list[str]:
        """Marks relays that haven't responded to a request in time as quiet.

        Args:
            relays: Addresses of the relays to check.
            response_timeout_s: Seconds within which a response is expected,
                raised to ``_MIN_RESPONSE_TIMEOUT_S`` if less.
            now: Time on this process's clock.

        Returns:
            The relays that have become quiet with this call.
        """
        response_timeout_s = max(response_timeout_s, _MIN_RESPONSE_TIMEOUT_S)
        newly_quiet = [
            relay
            for relay in relays
            if relay not in self._quiet_relays
            and now - self._unanswered_since.get(relay, now)
            > response_timeout_s
        ]
        self._quiet_relays.update(newly_quiet)
        return newly_quiet

    def is_quiet(self, relay: str) -> bool:
        """Returns whether a relay is quiet, and to be avoided if possible."""
        return relay in self._quiet_relays
