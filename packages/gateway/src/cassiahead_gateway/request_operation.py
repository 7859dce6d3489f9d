"""What all operations on a caller's request share."""

from __future__ import annotations

import asyncio

import attrs

from cassiahead_gateway import errors

__all__ = [
    "AttemptSummary",
    "Completion",
    "EARLY_HEDGE_KEPT_FRACTION",
    "HEDGE_ROUND_INTERVAL_FRACTION",
    "LATE_HEDGE_KEPT_FRACTION",
    "NO_TARGET_RETRY_AFTER_S",
    "REQUIRED_HEDGE_KEPT_FRACTION",
    "SHED_RETRY_AFTER_S",
    "STOPPING_RETRY_AFTER_S",
    "stopped_error",
    "stopping_error",
]

# Fraction of the extra-load budget's maximum credit that hedges leave unspent.
# Early hedges spend only credit near the maximum, above which no more can be
# earned. Late hedges leave some for retries of attempts that have certainly
# failed. Required hedges, without which a search fails, leave none.
EARLY_HEDGE_KEPT_FRACTION = 0.75
LATE_HEDGE_KEPT_FRACTION = 0.2
REQUIRED_HEDGE_KEPT_FRACTION = 0.0
# Time between rounds of late hedges, as a fraction of the latency objective. A
# hedge that finds no credit or capacity is tried again in the next round.
HEDGE_ROUND_INTERVAL_FRACTION = 0.15
SHED_RETRY_AFTER_S = 0.3
NO_TARGET_RETRY_AFTER_S = 0.5
# The retry reaches another host, since this one closes the connection.
STOPPING_RETRY_AFTER_S = 0.05


@attrs.define
class AttemptSummary:
    """Attempts and responses of one request, for the log.

    Attributes:
        part_count: Number of parts of a complete answer; 1 for a forwarded
            request.
        answered_count: Number of parts for which a successful response arrived.
        attempt_count: Number of attempts sent.
        missing_shards: Names of the shards without a successful response; of a
            refused request, those without an available target or capacity.
        target_ids: Id of the target of each attempt; in order of sending for
            each shard.
        lacked_capacity: Whether the request failed for lack of capacity, so
            that it would have succeeded among fewer requests.
    """

    part_count: int = 0
    answered_count: int = 0
    attempt_count: int = 0
    missing_shards: list[str] = attrs.field(factory=list)
    target_ids: list[str] = attrs.field(factory=list)
    lacked_capacity: bool = False


@attrs.define(eq=False)
class Completion:
    """Future for the end of one request, and the timers that run until then.

    Attributes:
        future: Resolved when the request has nothing more to wait for.
        is_stopped: Whether the gateway shuts down before the request's end.
    """

    future: asyncio.Future[None]
    is_stopped: bool = False
    _timers: list[asyncio.TimerHandle] = attrs.field(factory=list)

    @classmethod
    def create(cls) -> Completion:
        """Creates a pending completion without timers."""
        return cls(asyncio.get_running_loop().create_future())

    def finish(self) -> None:
        """Resolves ``future``; further calls have no effect."""
        if not self.future.done():
            self.future.set_result(None)

    def stop(self) -> None:
        """Resolves ``future`` because the gateway shuts down."""
        if not self.future.done():
            self.is_stopped = True
            self.finish()

    def call_later(
        self, delay_s: float, callback: object, *args: object
    ) -> None:
        """Calls a function after a delay, unless ``cancel_timers`` comes first.

        Args:
            delay_s: Delay in seconds; a negative one counts as 0.
            callback: Function to call.
            *args: Arguments of the function.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, delay_s), callback, *args)  # type: ignore[arg-type]
        self._timers.append(timer)

    def cancel_timers(self) -> None:
        """Cancels all timers."""
        for timer in self._timers:
            timer.cancel()


def stopping_error() -> errors.RequestError:
    """Returns the refusal of a request that no target has run."""
    return errors.RequestError(
        errors.ErrorCode.STOPPING,
        "the gateway is shutting down",
        STOPPING_RETRY_AFTER_S,
    )


def stopped_error() -> errors.RequestError:
    """Returns the failure of a request that a target may have run."""
    return errors.RequestError(
        errors.ErrorCode.STOPPED,
        "the gateway shut down before an answer came",
    )
