"""Sums over every window of a length that ends at an event."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator


def window_sums(events: Iterable[tuple[float, float]], seconds: float) -> Iterator[float]:
    """Sum of the units in the window that ends at each event, including both boundaries.

    Args:
        events: Time and units of each event, in order of time.
        seconds: Length of the window.
    """
    window: deque[tuple[float, float]] = deque()
    total = 0.0
    for at, units in events:
        window.append((at, units))
        total += units
        while at - window[0][0] > seconds:
            total -= window.popleft()[1]
        yield total


def most_in_window(times: Iterable[float], seconds: float) -> int:
    """Largest number of events in a window; 0 if there are no events."""
    return int(max(window_sums(((at, 1.0) for at in times), seconds), default=0.0))
