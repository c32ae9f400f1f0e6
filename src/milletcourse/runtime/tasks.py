"""Background tasks of one process, which are cancelled together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from milletcourse.logs import get_logger

T = TypeVar("T")


async def _nothing() -> Any:
    """Replaces the coroutine of a task that is spawned after `cancel_all`."""
    return None


class TaskSet:
    """Holds strong references to tasks and logs those that fail."""

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._ended = False
        self._log = get_logger("tasks")
        self.on_failure: Callable[[BaseException], None] | None = None

    def spawn(self, coroutine: Coroutine[Any, Any, T], name: str) -> asyncio.Task[T]:
        """Start a task, which is cancelled at the latest when the process stops."""
        if self._ended:
            coroutine.close()
            coroutine = _nothing()
        task = asyncio.get_running_loop().create_task(coroutine, name=f"{self._owner}/{name}")
        self._tasks[task] = None
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        assert error is not None
        self._log.error("task failed", task=task.get_name(), error=repr(error), exc_info=error)
        if self.on_failure is not None:
            self.on_failure(error)

    def cancel_all(self) -> list[asyncio.Task[Any]]:
        """Cancel all tasks in the order of their start; tasks spawned later do not run."""
        self._ended = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    async def close(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        tasks = self.cancel_all()
        await asyncio.gather(*tasks, return_exceptions=True)
