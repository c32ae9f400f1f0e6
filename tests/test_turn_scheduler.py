"""Work that is spread over iterations of the event loop."""

from __future__ import annotations

import asyncio

from milletcourse.runtime.turn_scheduler import TurnScheduler

WORK_PER_ITERATION = 10


class Worker:
    """Has steps of work to do; may fail in its first one."""

    def __init__(self, steps: int, work: int = 1, fails: bool = False) -> None:
        self.steps = steps
        self.done = 0
        self._work = work
        self._fails = fails

    def has_work(self) -> bool:
        return self.done < self.steps

    def take_turn(self) -> int:
        """Do one step."""
        self.done += 1
        if self._fails and self.done == 1:
            raise RuntimeError("step failed")
        return self._work


def test_work_per_iteration_is_bounded_and_shared() -> None:
    async def scenario() -> None:
        turns = TurnScheduler(WORK_PER_ITERATION)
        workers = [Worker(steps=30) for _ in range(3)]
        for worker in workers:
            turns.add(worker)
            turns.add(worker)
        before = 0
        while any(worker.has_work() for worker in workers):
            await asyncio.sleep(0)
            done = [worker.done for worker in workers]
            assert sum(done) - before <= WORK_PER_ITERATION
            assert max(done) - min(done) <= 1
            before = sum(done)

    asyncio.run(scenario())


def test_a_step_that_raises_does_not_end_the_turns_of_others() -> None:
    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, __: None)
        turns = TurnScheduler(WORK_PER_ITERATION)
        failing, other = Worker(steps=1, fails=True), Worker(steps=30)
        turns.add(failing)
        turns.add(other)
        async with asyncio.timeout(5.0):
            while other.has_work():
                await asyncio.sleep(0)

    asyncio.run(scenario())
