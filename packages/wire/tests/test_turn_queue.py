"""Turns of tasks with much work."""

from __future__ import annotations

import asyncio

from cassiahead_wire import turn_queue


def test_one_turn_in_each_cycle_in_order() -> None:
    async def main() -> None:
        turns = turn_queue.TurnQueue()
        taken: list[int] = []

        async def take(number: int) -> None:
            await turns.enqueue()
            taken.append(number)

        tasks = [asyncio.ensure_future(take(number)) for number in range(5)]
        await asyncio.sleep(0)
        tasks[1].cancel()
        counts = []
        while len(taken) < 4:
            counts.append(len(taken))
            await asyncio.sleep(0)
        assert taken == [0, 2, 3, 4]
        # At most one task has run in each cycle.
        steps = [b - a for a, b in zip(counts, counts[1:], strict=False)]
        assert max(steps) == 1
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(main())
