"""Watches what ends an exchange from outside: its deadline, and a planned stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from milletcourse.exchange.attempts.planned_stop import PlannedStop, StopPhase
from milletcourse.exchange.messages.messages import AbortCause
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.runtime.responsive_clock import STALL_THRESHOLD_SECONDS
from milletcourse.runtime.responsive_timer import RECHECK_DELAY_SECONDS


class EndWatch:
    """Ends an exchange at its deadline, or when a planned stop leaves it no time."""

    def __init__(
        self,
        context: GatewayContext,
        deadline_at: float,
        end: Callable[[AbortCause], None],
        may_wait: Callable[[], bool],
    ) -> None:
        """Watch nothing yet.

        Args:
            context: Shared state of the gateway.
            deadline_at: Monotonic time by which the final answer is due.
            end: Ends the exchange.
            may_wait: Whether a planned stop that isn't over leaves the exchange time.
        """
        self._context = context
        self._deadline_at = deadline_at
        self._end = end
        self._may_wait = may_wait
        self._timer: asyncio.TimerHandle | None = None
        self._has_rechecked = False

    def start(self) -> None:
        """Watch from now on."""
        self._set_timer()
        self._context.resume_listeners.add(self._set_timer)
        self._context.stop.listeners.add(self._on_planned_stop)

    def close(self) -> None:
        """The exchange is over."""
        self._context.resume_listeners.discard(self._set_timer)
        self._context.stop.listeners.discard(self._on_planned_stop)
        self._cancel_timer()
        # The reference cycle would keep the request with its body until a garbage collection.
        self._end = _end_nothing
        self._may_wait = _may_always_wait

    def _set_timer(self) -> None:
        """Schedule the end at the deadline; repeated after a suspension, which stops timers."""
        self._cancel_timer()
        seconds = max(self._seconds_left(), 0.0)
        self._timer = self._context.loop.call_later(seconds, self._on_deadline)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _on_deadline(self) -> None:
        """End at the deadline, after data that arrived during an event-loop stall is delivered."""
        if -self._seconds_left() > STALL_THRESHOLD_SECONDS and not self._has_rechecked:
            self._has_rechecked = True
            self._timer = self._context.loop.call_later(RECHECK_DELAY_SECONDS, self._on_deadline)
            return
        self._end(AbortCause.DEADLINE_EXCEEDED)

    def _on_planned_stop(self, stop: PlannedStop) -> None:
        """End what the stop leaves no time: with a final answer, unless one has begun."""
        is_over = stop.phase(self._context.now()) is StopPhase.EXPIRED
        if is_over or not self._may_wait():
            self._end(AbortCause.SHUTTING_DOWN)

    def _seconds_left(self) -> float:
        return self._deadline_at - self._context.now()


def _end_nothing(_: AbortCause) -> None:
    """The exchange is over."""


def _may_always_wait() -> bool:
    """The exchange is over."""
    return True
