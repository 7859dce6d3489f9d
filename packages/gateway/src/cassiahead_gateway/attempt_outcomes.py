"""Outcomes of attempts, requests to one target each.

A request that is not idempotent may be sent again only if the outcome shows
that the target did not run it.
"""

from __future__ import annotations

import attrs

from cassiahead_wire import connection as connection_lib

__all__ = ["Answered", "AttemptOutcome", "NotRun", "OutcomeUnknown"]


@attrs.frozen(eq=False)
class Answered:
    """The target sent a response, of any status.

    Attributes:
        response: The target's response, which is complete or has a stream.
        signature: The target's signature on the response; empty if the
            response has none.
    """

    response: connection_lib.Response
    signature: str

    @property
    def is_success(self) -> bool:
        """Whether the response is signed and has a 2xx status."""
        return 200 <= self.response.status < 300 and bool(self.signature)

    def discard(self) -> None:
        """Gives up a response that is not used."""
        if self.response.stream is not None:
            self.response.stream.release()


@attrs.frozen
class NotRun:
    """The target certainly did not run the request.

    Attributes:
        reason: Why the request did not run, for the log.
        was_received: Whether the target received the request.
        is_overload: Whether the target refused it for lack of capacity.
    """

    reason: str
    was_received: bool
    is_overload: bool = False


@attrs.frozen
class OutcomeUnknown:
    """No valid response arrived; the target may have run the request.

    Attributes:
        reason: Why there is no valid response, for the log.
    """

    reason: str


AttemptOutcome = Answered | NotRun | OutcomeUnknown
