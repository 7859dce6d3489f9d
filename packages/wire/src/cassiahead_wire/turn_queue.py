"""Lets tasks with much work to do run one after the other.

Load pattern: hundreds of clients send long bodies at once. If each of them were
read on in every cycle of the event loop, a request without a body would wait
for all of them in each of the few cycles that it takes.
"""

from __future__ import annotations

import asyncio
import collections

import attrs

__all__ = ["TurnQueue"]


@attrs.define(eq=False)
class TurnQueue:
    """Gives one turn in each cycle of the event loop."""

    _waiting: collections.deque[asyncio.Future[None]] = attrs.field(
        factory=collections.deque
    )
    _is_scheduled: bool = False

    def enqueue(self) -> asyncio.Future[None]:
        """Returns a future that ends with the turn, after all earlier ones.

        Whoever needs no turn any more may end the future before.
        """
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._schedule()
        return turn

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self) -> None:
        self._is_scheduled = False
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            self._schedule()
