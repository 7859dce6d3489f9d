"""Limits the concurrent searches of a layout at an entry, to avoid overload.

The limit adapts so that sub-requests spend little time in the queues for target
slots. Requests above the limit wait for a short time in a queue that is fair
between client accounts. A request that is not started in time, or is the oldest
of an account that has too many in the queue, is refused before any target has
worked for it.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import errors
from cassiahead_daemon import telemetry
from cassiahead_decisions import concurrency_limit
from cassiahead_decisions import fair_queue
from cassiahead_protocol import api
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cassiahead_daemon import request_context

__all__ = ["ConcurrencyLimiter"]

# Maximum time in the queue, as a fraction of the time left until the request's
# deadline.
_MAX_WAIT_FRACTION = 0.25
_MAX_QUEUED_PER_ACCOUNT = 16
_RETRY_AFTER_S = 1.0
# A sum of shard fractions below this is a rounding error and counts as zero.
_ROUNDING_TOLERANCE = 1e-9


@attrs.frozen(eq=False)
class _Waiter:
    """A queued request.

    Attributes:
        shard_fraction: Fraction of the layout's shards that the request asks.
        grant_future: Result is True if the request may run, False if the
            request is refused.
    """

    shard_fraction: float
    grant_future: asyncio.Future[bool]


@attrs.define
class _LayoutLimiter:
    """The concurrency limit of one layout and the requests that wait for it.

    Attributes:
        limit: Limit on the load in flight; its unit is one search that asks all
            shards of the layout.
        queue: Requests that wait until the limit allows them.
        in_flight_by_account: Sum of the shard fractions of the requests in
            flight, by client account.
    """

    limit: concurrency_limit.ConcurrencyLimit = attrs.field(
        factory=concurrency_limit.ConcurrencyLimit
    )
    queue: fair_queue.FairQueue[_Waiter] = attrs.field(
        factory=lambda: fair_queue.FairQueue(_MAX_QUEUED_PER_ACCOUNT)
    )
    in_flight_by_account: dict[str, float] = attrs.field(factory=dict)

    def try_acquire(self, account: str, shard_fraction: float) -> bool:
        """Counts a request as in flight if the limit allows.

        Args:
            account: Client account of the request.
            shard_fraction: Fraction of the layout's shards that the request
                asks; the request counts as this fraction of one search.

        Returns:
            Whether the request may run.
        """
        if not self.limit.try_acquire(shard_fraction):
            return False
        self.in_flight_by_account[account] = (
            self.in_flight_by_account.get(account, 0.0) + shard_fraction
        )
        return True

    def release(self, account: str, shard_fraction: float) -> None:
        """Stops counting a request, and lets queued ones run.

        Args:
            account: Client account of the request.
            shard_fraction: As given to ``try_acquire``.
        """
        self.limit.release(shard_fraction)
        self.in_flight_by_account[account] -= shard_fraction
        if self.in_flight_by_account[account] < _ROUNDING_TOLERANCE:
            del self.in_flight_by_account[account]
        self.grant_queued()

    def grant_queued(self) -> None:
        """Lets queued requests run while the limit allows.

        Accounts with the least in flight, relative to their weight, are served
        first.
        """
        while len(self.queue) and self.limit.has_room():
            queued_item = self.queue.pop_least_loaded(self.in_flight_by_account)
            if queued_item is None:
                return
            if queued_item.item.grant_future.done():
                continue
            self.try_acquire(
                queued_item.account, queued_item.item.shard_fraction
            )
            queued_item.item.grant_future.set_result(True)


@attrs.define
class ConcurrencyLimiter:
    """The concurrency limits of all layouts at one entry."""

    _telemetry: telemetry.Telemetry
    _limiter_by_layout: dict[str, _LayoutLimiter] = attrs.field(factory=dict)

    @contextlib.asynccontextmanager
    async def acquire(
        self, context: request_context.RequestContext, shard_count: int
    ) -> AsyncIterator[concurrency_limit.ConcurrencyLimit]:
        """Waits until a request may run, and counts it while the block runs.

        Args:
            context: The request.
            shard_count: Number of shards that the request asks.

        Yields:
            The limit, to which the block reports service and queue times.

        Raises:
            errors.RequestError: ``OVERLOADED`` if the limit did not allow the
                request in time, or too many newer requests of the client
                account were queued; the request has not run.
        """
        limiter = self._limiter_by_layout.setdefault(
            context.route.layout, _LayoutLimiter()
        )
        shard_fraction = shard_count / len(context.layout.shards)
        if len(limiter.queue) or not limiter.try_acquire(
            context.account, shard_fraction
        ):
            await self._wait(limiter, context, shard_fraction)
        try:
            yield limiter.limit
        finally:
            limiter.release(context.account, shard_fraction)

    async def _wait(
        self,
        limiter: _LayoutLimiter,
        context: request_context.RequestContext,
        shard_fraction: float,
    ) -> None:
        waiter = _Waiter(
            shard_fraction, asyncio.get_running_loop().create_future()
        )
        account_settings = context.configuration.accounts.get(context.account)
        max_wait_s = _MAX_WAIT_FRACTION * context.remaining_s()
        shed_item = limiter.queue.push(
            fair_queue.QueuedItem(
                context.account,
                account_settings.weight if account_settings else 1.0,
                clock.monotonic() + max_wait_s,
                waiter,
            )
        )
        if shed_item is not None and not shed_item.item.grant_future.done():
            shed_item.item.grant_future.set_result(False)
        limiter.grant_queued()
        grant_future = waiter.grant_future
        try:
            await asyncio.wait({grant_future}, timeout=max_wait_s)
        except asyncio.CancelledError:
            self._withdraw(limiter, context.account, waiter)
            raise
        if grant_future.done() and grant_future.result():
            return
        self._withdraw(limiter, context.account, waiter)
        self._telemetry.record_decision(
            events.Event.OVERLOADED,
            context.request_id,
            layout=context.route.layout,
            limit=round(limiter.limit.limit, 1),
            under_way=round(limiter.limit.in_flight, 1),
            waiting=len(limiter.queue),
        )
        raise errors.RequestError(
            errors.ErrorCode.OVERLOADED,
            api.Outcome.NOT_RUN,
            "the targets of this layout are overloaded",
            _RETRY_AFTER_S,
        )

    def _withdraw(
        self, limiter: _LayoutLimiter, account: str, waiter: _Waiter
    ) -> None:
        """Removes a request from the queue.

        A request that has been granted meanwhile is released.
        """
        if not waiter.grant_future.done():
            waiter.grant_future.set_result(False)
            limiter.queue.remove(waiter)
        elif waiter.grant_future.result():
            limiter.release(account, waiter.shard_fraction)
