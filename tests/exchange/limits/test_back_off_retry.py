"""Retry times of callers after a back-off, and the model that compares back-off strategies."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.limits.back_off_retry import (
    MAX_SPREAD_SECONDS,
    RANKS,
    back_off_retry_seconds,
)
from milletcourse.experiments.backoff_model import BackoffModel, BackoffStrategy, Overload

GATEWAYS = 20
SEED = 3


@given(
    left=st.floats(0.0, 86400.0),
    rest=st.floats(0.0, 86400.0),
    rank=st.integers(0, 20),
    drawn=st.floats(0.0, 1.0),
)
def test_no_caller_retries_during_the_back_off_or_long_after_it(
    left: float, rest: float, rank: int, drawn: float
) -> None:
    """Retries are spread over a bounded time after it."""
    seconds = back_off_retry_seconds(left, rest, rank, drawn)
    assert left <= seconds <= left + min(rest, MAX_SPREAD_SECONDS)


def test_more_urgent_callers_retry_first() -> None:
    """They retry earlier on average, and the most urgent ones in the first half."""
    urgent = [back_off_retry_seconds(0.0, 3.0, 0, drawn / 10) for drawn in range(11)]
    least = [back_off_retry_seconds(0.0, 3.0, RANKS, drawn / 10) for drawn in range(11)]
    assert max(urgent) <= 1.5
    assert sum(urgent) < sum(least)


def test_honouring_a_back_off_keeps_requests_from_the_servers() -> None:
    """Without it, requests are sent to servers that back off."""
    anyway = BackoffModel(BackoffStrategy.IGNORE_WHEN_ALL, Overload.ALL, GATEWAYS, SEED).run()
    heeded = BackoffModel(BackoffStrategy.HONOUR, Overload.ALL, GATEWAYS, SEED).run()
    assert heeded.sent_in_a_rest == 0 < anyway.sent_in_a_rest
    assert heeded.turned_away < 0.5 * anyway.turned_away


def test_spread_retries_serve_as_many_requests() -> None:
    """This is for servers whose back-off ends after a fixed time."""
    heeded = BackoffModel(BackoffStrategy.HONOUR, Overload.ALL, 79, SEED).run()
    spread = BackoffModel(BackoffStrategy.SPREAD_RETRIES, Overload.ALL, 79, SEED).run()
    assert spread.served >= heeded.served


def test_a_run_is_reproducible() -> None:
    """The seed determines everything that is random."""
    runs = [
        BackoffModel(BackoffStrategy.QUORUM_BAN, Overload.BY_LOAD, GATEWAYS, SEED).run()
        for _ in range(2)
    ]
    assert runs[0] == runs[1]
