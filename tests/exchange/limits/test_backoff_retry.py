"""Callers that come back after a rest, and the model in which ways of resting are compared."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.limits.backoff_retry import (
    MAX_SPREAD_SECONDS,
    RANKS,
    backoff_retry_seconds,
)
from milletcourse.experiments.rest_model import Need, RestModel, RestWay

GATEWAYS = 20
SEED = 3


@given(
    left=st.floats(0.0, 86400.0),
    rest=st.floats(0.0, 86400.0),
    rank=st.integers(0, 20),
    drawn=st.floats(0.0, 1.0),
)
def test_nobody_comes_back_in_the_rest_or_long_after_it(
    left: float, rest: float, rank: int, drawn: float
) -> None:
    """And never later than the most that returns are spread over."""
    seconds = backoff_retry_seconds(left, rest, rank, drawn)
    assert left <= seconds <= left + min(rest, MAX_SPREAD_SECONDS)


def test_the_more_urgent_come_back_first() -> None:
    """On the mean, and the most urgent in the first half."""
    urgent = [backoff_retry_seconds(0.0, 3.0, 0, drawn / 10) for drawn in range(11)]
    least = [backoff_retry_seconds(0.0, 3.0, RANKS, drawn / 10) for drawn in range(11)]
    assert max(urgent) <= 1.5
    assert sum(urgent) < sum(least)


def test_heeding_keeps_requests_from_servers_in_their_rest() -> None:
    """While asking all the same sends them there."""
    anyway = RestModel(RestWay.ASK_ANYWAY, Need.ALL, GATEWAYS, SEED).run()
    heeded = RestModel(RestWay.HEED, Need.ALL, GATEWAYS, SEED).run()
    assert heeded.sent_in_a_rest == 0 < anyway.sent_in_a_rest
    assert heeded.turned_away < 0.5 * anyway.turned_away


def test_spread_returns_serve_no_fewer() -> None:
    """When servers' need ends by time."""
    heeded = RestModel(RestWay.HEED, Need.ALL, 79, SEED).run()
    spread = RestModel(RestWay.SPREAD, Need.ALL, 79, SEED).run()
    assert spread.served >= heeded.served


def test_a_play_repeats() -> None:
    """Its seed decides all that is random."""
    plays = [RestModel(RestWay.SEVERAL, Need.BY_LOAD, GATEWAYS, SEED).run() for _ in range(2)]
    assert plays[0] == plays[1]
