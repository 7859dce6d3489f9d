"""A task that ends by an error ends the process, and says why."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cassiahead_telemetry import background

if TYPE_CHECKING:
    import pytest


async def _fail() -> None:
    raise ValueError("broken")


async def _go_on() -> None:
    await asyncio.Event().wait()


def test_an_error_is_logged_and_asks_for_the_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        stopping = asyncio.Event()
        tasks = background.BackgroundTasks(stopping)
        tasks.spawn(_go_on())
        tasks.spawn(_fail())
        await asyncio.wait_for(stopping.wait(), 10)
        await tasks.cancel()

    asyncio.run(main())
    assert [r.msg for r in caplog.records] == ["INTERNAL_ERROR"]


def test_cancelled_tasks_are_no_error() -> None:
    async def main() -> bool:
        stopping = asyncio.Event()
        tasks = background.BackgroundTasks(stopping)
        tasks.spawn(_go_on())
        await asyncio.sleep(0)
        await tasks.cancel()
        return stopping.is_set()

    assert not asyncio.run(main())
