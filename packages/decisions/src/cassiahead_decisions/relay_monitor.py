"""Detects unresponsive relays sooner than missed exchanges do.

A host that fails or hangs closes no connection, and missed exchanges reveal
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

    A relay is unresponsive once a request to it has had no response within the
    timeout, until it sends any response: an answer, or the reply of an
    exchange. A relay with slow targets is therefore soon responsive again.
    """

    # Time of the oldest request since the last response, by relay.
    _unanswered_since: dict[str, float] = attrs.field(factory=dict)
    _unresponsive_relays: set[str] = attrs.field(factory=set)

    def record_request(self, relay: str, now: float) -> None:
        """Records that a request was sent to a relay."""
        self._unanswered_since.setdefault(relay, now)

    def record_response(self, relay: str) -> bool:
        """Records any response from a relay, which is responsive again.

        Returns:
            Whether the relay had been unresponsive.
        """
        self._unanswered_since.pop(relay, None)
        was_unresponsive = relay in self._unresponsive_relays
        self._unresponsive_relays.discard(relay)
        return was_unresponsive

    def find_newly_unresponsive(
        self, relays: Iterable[str], response_timeout_s: float, now: float
    ) -> list[str]:
        """Marks relays that haven't responded to a request in time.

        Args:
            relays: Addresses of the relays to check.
            response_timeout_s: Seconds within which a response is expected,
                raised to ``_MIN_RESPONSE_TIMEOUT_S`` if less.
            now: Time on this process's clock.

        Returns:
            The relays that have become unresponsive with this call.
        """
        response_timeout_s = max(response_timeout_s, _MIN_RESPONSE_TIMEOUT_S)
        newly_unresponsive = [
            relay
            for relay in relays
            if relay not in self._unresponsive_relays
            and now - self._unanswered_since.get(relay, now)
            > response_timeout_s
        ]
        self._unresponsive_relays.update(newly_unresponsive)
        return newly_unresponsive

    def is_unresponsive(self, relay: str) -> bool:
        """Returns whether a relay is unresponsive and should be avoided."""
        return relay in self._unresponsive_relays
