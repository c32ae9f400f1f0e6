"""When callers that are refused while all servers rest may come back; no input/output."""

from __future__ import annotations

MAX_SPREAD_SECONDS = 5.0
"""Returns are spread over no longer than this: few callers wait longer."""
RANKS = 10
"""Ranks of requests, 0 for the most urgent."""


def backoff_retry_seconds(left: float, rest: float, rank: int, drawn: float) -> float:
    """Seconds after which a refused caller may come back.

    Who was refused in a rest comes back over as long a time as the rest took, so that servers get
    at most twice their usual requests then and not all at once; the more urgent in its first part.

    Args:
        left: Seconds until the first server has had its rest.
        rest: Seconds that this rest takes as a whole.
        rank: Rank of the request, 0 for the most urgent.
        drawn: A random number from 0 to 1.
    """
    spread = min(rest, MAX_SPREAD_SECONDS)
    turn = min(rank, RANKS - 1) / RANKS
    return left + spread * (turn + drawn) / 2.0
