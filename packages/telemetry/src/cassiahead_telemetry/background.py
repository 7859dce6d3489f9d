"""Work that goes on for as long as a process runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from cassiahead_telemetry import events

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

__all__ = ["BackgroundTasks"]


@attrs.define
class BackgroundTasks:
    """Tasks of a process, none of which ends by itself.

    When one of them ends by an error, the process is asked to stop instead of
    going on without it.
    """

    _stopping: asyncio.Event
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Begins a task."""
        task = asyncio.ensure_future(work)
        task.add_done_callback(self._on_done)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        events.log(events.Event.INTERNAL_ERROR, exc_info=task.exception())
        self._stopping.set()
