"""Whether a server takes named weights now or waits for a version that may follow; no input/output.

Waiting saves a load, and the kept prompt state that it drops, when another version is named soon:
both are then taken at once. Meanwhile the server's requests are answered by superseded weights. The
two are weighed by what is observed: requests that the server answers, and how often versions are
named.
"""

from __future__ import annotations

from collections import deque

SUPERSEDED_COST = 0.2
"""Loss, in requests, by one that is answered by superseded weights: a fifth of its worth."""
LOAD_COST_REQUESTS = 2.0
"""What a load costs, in requests: the load itself, and shared prompts that are read again after it.
Two whole requests stand against ten that are answered by superseded weights."""
GRACE_SECONDS = 1.5
"""An answer by weights that were superseded more recently than this is as good as any."""
REMEMBERED_RELEASES = 4
"""Versions whose intervals count."""


class ReleaseCadence:
    """Tells from the moments at which versions were named when the next one is to be expected."""

    def __init__(self) -> None:
        self._released_at: deque[float] = deque(maxlen=REMEMBERED_RELEASES)

    def on_release(self, now: float) -> None:
        """A version was named."""
        self._released_at.append(now)

    def seconds_to_next(self, now: float, usual_seconds: float) -> float:
        """Expected time until the next version is named; 0 before the first.

        Args:
            now: Monotonic time.
            usual_seconds: Interval that is assumed beside the observed ones, and while there are
                none.
        """
        if not self._released_at:
            return 0.0
        observed = self._released_at[-1] - self._released_at[0]
        interval = (observed + usual_seconds) / len(self._released_at)
        elapsed = now - self._released_at[-1]
        # Once the rhythm is broken, the pause goes on for as long as it has lasted already.
        return interval - elapsed if elapsed < interval else elapsed


def is_worth_loading(
    requests_per_second: float,
    seconds_to_next: float,
    seconds_since_superseded: float,
    load_seconds: float,
) -> bool:
    """Whether a load now costs less than the superseded answers that waiting would give.

    Args:
        requests_per_second: What the server answers.
        seconds_to_next: Expected time until the next version is named.
        seconds_since_named: Time since the server's version was superseded.
        load_seconds: Time of a load.
    """
    grace_left = GRACE_SECONDS - seconds_since_superseded - load_seconds
    superseded_seconds = seconds_to_next - max(grace_left, 0.0)
    return requests_per_second * superseded_seconds * SUPERSEDED_COST >= LOAD_COST_REQUESTS
