"""Responsive clock and timers: stalls of this process do not count as silence of others."""

from __future__ import annotations

import asyncio
import time

import pytest
import uvloop
from hypothesis import example, given
from hypothesis import strategies as st

from milletcourse.runtime.responsive_clock import STALL_THRESHOLD_SECONDS, ResponsiveClock
from milletcourse.runtime.responsive_timer import ResponsiveTimer, responsive_timeout

TICK_SECONDS = 0.25
steps = st.lists(st.tuples(st.floats(0.0, 5.0), st.booleans()), max_size=30)


@given(steps)
@example([(1.0, False), (0.03125, False), (1.0, False)])
def test_responsive_time_is_elapsed_time_without_stalls(
    elapsing: list[tuple[float, bool]],
) -> None:
    """It never runs backwards, never faster than elapsed time, and omits only late ticks."""
    now = 100.0
    clock = ResponsiveClock(lambda: now)
    clock.on_loop_tick(TICK_SECONDS)
    next_tick_by = now + TICK_SECONDS
    stalled = 0.0
    before = clock.seconds()
    last_read_at = now
    for seconds, is_tick in elapsing:
        now += seconds
        if now - next_tick_by > STALL_THRESHOLD_SECONDS:
            stalled += now - max(next_tick_by, last_read_at)
            next_tick_by = now
        last_read_at = now
        responsive = clock.seconds()
        assert responsive == pytest.approx(now - stalled)
        assert before <= responsive <= before + seconds + 1e-6
        before = responsive
        if is_tick:
            clock.on_loop_tick(TICK_SECONDS)
            next_tick_by = now + TICK_SECONDS
    assert clock.stalled_seconds == pytest.approx(stalled)


def test_without_ticks_it_is_elapsed_time() -> None:
    """A process that never reports ticks is not considered stalled."""
    now = 5.0
    clock = ResponsiveClock(lambda: now)
    now = 500.0
    assert clock.seconds() == 500.0


def test_a_stall_of_the_loop_extends_the_timer() -> None:
    """It expires after the remaining responsive time, once the loop runs again."""

    async def body() -> None:
        clock = ResponsiveClock()
        expired = asyncio.Event()
        clock.on_loop_tick(0.01)
        timer = ResponsiveTimer(clock, expired.set)
        timer.expect_within(0.3)
        time.sleep(0.5)
        clock.on_loop_tick(10.0)
        await asyncio.sleep(0.15)
        assert not expired.is_set()
        await asyncio.wait_for(expired.wait(), 5.0)

    uvloop.run(body())


def test_a_timeout_interrupts_only_what_takes_too_long() -> None:
    """`responsive_timeout` behaves as `asyncio.timeout` does."""

    async def body() -> None:
        clock = ResponsiveClock()
        with pytest.raises(TimeoutError):
            async with responsive_timeout(clock, 0.02):
                await asyncio.Event().wait()
        async with responsive_timeout(clock, 5.0):
            await asyncio.sleep(0.0)

    uvloop.run(body())
