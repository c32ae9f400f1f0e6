"""Spreads work over iterations of the event loop, so that no source of work stops the process."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

IMMEDIATE_PARSER_WORK = 512
"""Parser callbacks that one read, and one request, may take without waiting for a turn; more than
an ordinary request needs."""
PARSER_WORK_PER_ITERATION = 1024
"""Parser callbacks in one iteration of the event loop for requests that take more of them."""


class TurnTaker(Protocol):
    """Has work that it does in small steps."""

    def take_turn(self) -> int:
        """Do one step; returns how much work it was, in the unit of the scheduler."""

    def has_work(self) -> bool:
        """Whether there is a next step now."""


class TurnScheduler:
    """Gives those that wait one step each, in turn, and a bounded amount of work per iteration."""

    def __init__(self, work_per_iteration: int) -> None:
        """Start without anybody who waits.

        Args:
            work_per_iteration: Work of all steps together after which the loop runs on.
        """
        self._work_per_iteration = work_per_iteration
        self._waiting: OrderedDict[TurnTaker, None] = OrderedDict()
        self._is_scheduled = False

    def add(self, taker: TurnTaker) -> None:
        """Give it turns for as long as it has work."""
        self._waiting.setdefault(taker)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled and self._waiting:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        try:
            self._give_turns()
        finally:
            # A step that raises must not end the turns of the others.
            self._schedule()

    def _give_turns(self) -> None:
        work = 0
        while self._waiting and work < self._work_per_iteration:
            taker, _ = self._waiting.popitem(last=False)
            if taker.has_work():
                work += taker.take_turn()
            if taker.has_work():
                self._waiting.setdefault(taker)
