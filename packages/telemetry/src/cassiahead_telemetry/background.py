"""Background tasks that run for the lifetime of a process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from cassiahead_telemetry import events

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

__all__ = ["BackgroundTasks"]

_CANCEL_INTERVAL_S = 0.2


@attrs.define
class BackgroundTasks:
    """The background tasks of one process.

    A task that fails is logged and sets the asyncio event that the object was
    created with, so that the process stops instead of running on without the
    task.
    """

    _stop_requested: asyncio.Event
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a task.

        Args:
            coroutine: Runs until it is cancelled.
        """
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self._on_done)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended.

        A task that runs on is cancelled again, since a single cancellation can
        get lost in the code that the task runs.
        """
        running_tasks = {task for task in self._tasks if not task.done()}
        while running_tasks:
            for task in running_tasks:
                task.cancel()
            _, running_tasks = await asyncio.wait(
                running_tasks, timeout=_CANCEL_INTERVAL_S
            )

    def _on_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        events.log(events.Event.INTERNAL_ERROR, exc_info=task.exception())
        self._stop_requested.set()
