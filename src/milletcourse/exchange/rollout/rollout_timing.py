"""Decides whether a server loads released weights now or waits for the next version; no I/O.

A load drops the server's cached prompt state. When another version is released soon, waiting saves
one load, since a single load then covers both versions. Meanwhile superseded weights answer the
server's requests. The decision compares the two costs from the server's observed request rate and
the observed interval between releases.
"""

from __future__ import annotations

from collections import deque

SUPERSEDED_COST = 0.2
"""Cost, in requests, of one request answered by superseded weights: a fifth of its value."""
LOAD_COST_REQUESTS = 2.0
"""Cost of a load, in requests: the load itself, and shared prompts that are processed again after
it. Two whole requests weigh as much as ten that are answered by superseded weights."""
GRACE_SECONDS = 1.5
"""An answer by weights that were superseded more recently than this counts as current."""
REMEMBERED_RELEASES = 4
"""Number of latest releases whose intervals are averaged."""


class ReleaseCadence:
    """Estimates from past release times when the next version is released."""

    def __init__(self) -> None:
        self._released_at: deque[float] = deque(maxlen=REMEMBERED_RELEASES)

    def on_release(self, now: float) -> None:
        """Records the release of a version."""
        self._released_at.append(now)

    def seconds_to_next(self, now: float, usual_seconds: float) -> float:
        """Expected time until the next release; 0 before the first one.

        Args:
            now: Monotonic time.
            usual_seconds: Default interval; it is averaged with the observed intervals, and is the
                estimate while there are none.
        """
        if not self._released_at:
            return 0.0
        observed = self._released_at[-1] - self._released_at[0]
        interval = (observed + usual_seconds) / len(self._released_at)
        elapsed = now - self._released_at[-1]
        # The time left to an overdue release is estimated as the time that has elapsed.
        return interval - elapsed if elapsed < interval else elapsed


def is_worth_loading(
    requests_per_second: float,
    seconds_to_next: float,
    seconds_since_superseded: float,
    load_seconds: float,
) -> bool:
    """Whether a load now costs less than the superseded answers that waiting would produce.

    Args:
        requests_per_second: Request rate of the server.
        seconds_to_next: Expected time until the next version is released.
        seconds_since_superseded: Time since the server's version was superseded.
        load_seconds: Duration of a load.
    """
    grace_left = GRACE_SECONDS - seconds_since_superseded - load_seconds
    superseded_seconds = seconds_to_next - max(grace_left, 0.0)
    return requests_per_second * superseded_seconds * SUPERSEDED_COST >= LOAD_COST_REQUESTS
