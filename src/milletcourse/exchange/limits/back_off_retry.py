"""When callers that are refused while all servers back off may retry; no input/output."""

from __future__ import annotations

MAX_SPREAD_SECONDS = 5.0
"""Retries are spread over at most this time: few callers wait longer."""
RANKS = 10
"""Ranks of requests, 0 for the most urgent."""


def back_off_retry_seconds(
    seconds_left: float, back_off_seconds: float, rank: int, random_fraction: float
) -> float:
    """Seconds after which a refused caller may retry.

    Callers refused during a back-off retry over a time as long as the back-off, so that servers
    then get at most twice their usual request rate instead of all retries at once. More urgent
    callers retry in the first part of it.

    Args:
        seconds_left: Seconds until the first server ends its back-off.
        back_off_seconds: Whole length of this back-off.
        rank: Rank of the request, 0 for the most urgent.
        random_fraction: A random number from 0 to 1.
    """
    spread = min(back_off_seconds, MAX_SPREAD_SECONDS)
    turn = min(rank, RANKS - 1) / RANKS
    return seconds_left + spread * (turn + random_fraction) / 2.0
