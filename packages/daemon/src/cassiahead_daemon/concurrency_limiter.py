"""Lets as many searches of a layout run as its targets serve without a queue.

What exceeds this waits a short time, fair between client accounts, and is then
refused before any target has worked for it.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import errors
from cassiahead_daemon import telemetry as telemetry_lib
from cassiahead_decisions import concurrency_limit
from cassiahead_decisions import fair_queue
from cassiahead_protocol import api
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cassiahead_daemon import request_context as context_lib

__all__ = ["Gate"]

_WAIT_FRACTION = 0.25
_QUEUE_PER_ACCOUNT = 16
_RETRY_AFTER_S = 1.0
_LEAST_SIZE = 1e-9


@attrs.frozen(eq=False)
class _Arrival:
    size: float
    let_in: asyncio.Future[bool]


@attrs.define
class _LayoutGate:
    limit: concurrency_limit.ConcurrencyLimit = attrs.field(
        factory=concurrency_limit.ConcurrencyLimit
    )
    queue: fair_queue.FairQueue[_Arrival] = attrs.field(
        factory=lambda: fair_queue.FairQueue(_QUEUE_PER_ACCOUNT)
    )
    under_way: dict[str, float] = attrs.field(factory=dict)

    def try_begin(self, account: str, size: float) -> bool:
        """Gives a place to a request if there is room for it."""
        if not self.limit.try_acquire(size):
            return False
        self.under_way[account] = self.under_way.get(account, 0.0) + size
        return True

    def end(self, account: str, size: float) -> None:
        """Takes a place back and lets in what waits."""
        self.limit.release(size)
        self.under_way[account] -= size
        if self.under_way[account] < _LEAST_SIZE:
            del self.under_way[account]
        self.pump()

    def pump(self) -> None:
        """Lets in what waits, the account with the least under way first."""
        while len(self.queue) and self.limit.has_room():
            waiting = self.queue.pop_least_loaded(self.under_way)
            if waiting is None:
                return
            if waiting.item.let_in.done():
                continue
            self.try_begin(waiting.account, waiting.item.size)
            waiting.item.let_in.set_result(True)


@attrs.define
class Gate:
    """The gates of all layouts at this entry."""

    _telemetry: telemetry_lib.Telemetry
    _gates: dict[str, _LayoutGate] = attrs.field(factory=dict)

    @contextlib.asynccontextmanager
    async def entered(
        self, context: context_lib.RequestContext, shards: int
    ) -> AsyncIterator[concurrency_limit.ConcurrencyLimit]:
        """Holds a place for a request while the block runs.

        Args:
            context: The request.
            shards: Number of shards that it asks.

        Yields:
            The limit, which learns from what the request sees.

        Raises:
            errors.RequestError: If there was no place in time; the request
                has not run.
        """
        gate = self._gates.setdefault(context.route.layout, _LayoutGate())
        size = shards / len(context.layout.shards)
        if len(gate.queue) or not gate.try_begin(context.account, size):
            await self._wait(gate, context, size)
        try:
            yield gate.limit
        finally:
            gate.end(context.account, size)

    async def _wait(
        self,
        gate: _LayoutGate,
        context: context_lib.RequestContext,
        size: float,
    ) -> None:
        arrival = _Arrival(size, asyncio.get_running_loop().create_future())
        account = context.configuration.accounts.get(context.account)
        patience = _WAIT_FRACTION * context.remaining()
        shed = gate.queue.push(
            fair_queue.QueuedItem(
                context.account,
                account.weight if account else 1.0,
                clock.monotonic() + patience,
                arrival,
            )
        )
        if shed is not None and not shed.item.let_in.done():
            shed.item.let_in.set_result(False)
        gate.pump()
        let_in = arrival.let_in
        try:
            await asyncio.wait({let_in}, timeout=patience)
        except asyncio.CancelledError:
            self._leave(gate, context.account, arrival)
            raise
        if let_in.done() and let_in.result():
            return
        self._leave(gate, context.account, arrival)
        self._telemetry.decide(
            events.Event.OVERLOADED,
            context.request_id,
            layout=context.route.layout,
            limit=round(gate.limit.limit, 1),
            under_way=round(gate.limit.in_flight, 1),
            waiting=len(gate.queue),
        )
        raise errors.RequestError(
            errors.Code.OVERLOADED,
            api.Outcome.NOT_RUN,
            "the targets of this layout have more work than they can serve",
            _RETRY_AFTER_S,
        )

    def _leave(
        self, gate: _LayoutGate, account: str, arrival: _Arrival
    ) -> None:
        """Gives up a wait, or the place that came with its end."""
        if not arrival.let_in.done():
            arrival.let_in.set_result(False)
            gate.queue.remove(arrival)
        elif arrival.let_in.result():
            gate.end(account, arrival.size)
