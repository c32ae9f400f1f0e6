"""The clock by which others are judged stands still while this process does."""

from __future__ import annotations

import asyncio
import time

import pytest
import uvloop
from hypothesis import example, given
from hypothesis import strategies as st

from milletcourse.runtime.responsive_clock import STALL_THRESHOLD_SECONDS, ResponsiveClock
from milletcourse.runtime.responsive_timer import ResponsiveTimer, responsive_timeout

TURN_SECONDS = 0.25
steps = st.lists(st.tuples(st.floats(0.0, 5.0), st.booleans()), max_size=30)


@given(steps)
@example([(1.0, False), (0.03125, False), (1.0, False)])
def test_attended_time_is_elapsed_time_less_what_turns_were_late(
    passing: list[tuple[float, bool]],
) -> None:
    """It never runs backwards, never faster than time, and leaves out just the lateness."""
    now = 100.0
    clock = ResponsiveClock(lambda: now)
    clock.on_loop_tick(TURN_SECONDS)
    due_at = now + TURN_SECONDS
    absent = 0.0
    before = clock.seconds()
    looked_at = now
    for seconds, is_turn in passing:
        now += seconds
        if now - due_at > STALL_THRESHOLD_SECONDS:
            absent += now - max(due_at, looked_at)
            due_at = now
        looked_at = now
        attended = clock.seconds()
        assert attended == pytest.approx(now - absent)
        assert before <= attended <= before + seconds + 1e-6
        before = attended
        if is_turn:
            clock.on_loop_tick(TURN_SECONDS)
            due_at = now + TURN_SECONDS
    assert clock.stalled_seconds == pytest.approx(absent)


def test_without_turns_it_is_elapsed_time() -> None:
    """A process that doesn't show its turns isn't taken for absent."""
    now = 5.0
    clock = ResponsiveClock(lambda: now)
    now = 500.0
    assert clock.seconds() == 500.0


def test_a_timer_waits_on_for_as_long_as_the_loop_was_held() -> None:
    """And rings when the rest of its time has been attended."""

    async def body() -> None:
        clock = ResponsiveClock()
        rung = asyncio.Event()
        clock.on_loop_tick(0.01)
        timer = ResponsiveTimer(clock, rung.set)
        timer.expect_within(0.3)
        time.sleep(0.5)
        clock.on_loop_tick(10.0)
        await asyncio.sleep(0.15)
        assert not rung.is_set()
        await asyncio.wait_for(rung.wait(), 5.0)

    uvloop.run(body())


def test_a_timeout_ends_what_takes_too_long_and_nothing_else() -> None:
    """As `asyncio.timeout` does."""

    async def body() -> None:
        clock = ResponsiveClock()
        with pytest.raises(TimeoutError):
            async with responsive_timeout(clock, 0.02):
                await asyncio.Event().wait()
        async with responsive_timeout(clock, 5.0):
            await asyncio.sleep(0.0)

    uvloop.run(body())
