"""How long the next bytes of an answer are waited for."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.replication.answer_progress import (
    COMPLETION_TIMEOUT_SECONDS,
    MIN_CONTENT_ANSWER_BYTES,
    SILENCE_TIMEOUT_SECONDS,
    AnswerProgress,
)

FIRST_BYTE_SECONDS = 1.2


def started_answer(declared_bytes: int | None) -> AnswerProgress:
    """An answer whose head came at second 10."""
    progress = AnswerProgress(FIRST_BYTE_SECONDS)
    progress.on_head(declared_bytes, 10.0)
    return progress


def test_an_answer_that_has_not_begun_has_its_whole_time() -> None:
    """That of its first byte."""
    assert AnswerProgress(FIRST_BYTE_SECONDS).wait_seconds(99.0) == FIRST_BYTE_SECONDS


def test_an_answer_that_is_held_behind_its_head_has_its_whole_time() -> None:
    """Until its body begins."""
    progress = started_answer(100)
    assert progress.wait_seconds(10.9) == FIRST_BYTE_SECONDS
    progress.on_bytes(1)
    assert progress.wait_seconds(10.9) == SILENCE_TIMEOUT_SECONDS


def test_an_answer_that_keeps_coming_is_waited_for() -> None:
    """Piece by piece, beyond the time for its first byte."""
    progress = started_answer(400_000)
    for second in range(1, 5):
        progress.on_bytes(100_000)
        assert progress.wait_seconds(10.0 + second) == SILENCE_TIMEOUT_SECONDS


@pytest.mark.parametrize("declared_bytes", [None, 10**7])
def test_an_answer_ends_within_a_bound(declared_bytes: int | None) -> None:
    """Whatever comes."""
    progress = started_answer(declared_bytes)
    progress.on_bytes(10**7 - 1)
    assert (
        0 < progress.wait_seconds(10.0 + COMPLETION_TIMEOUT_SECONDS - 0.1) < SILENCE_TIMEOUT_SECONDS
    )
    assert progress.wait_seconds(10.0 + COMPLETION_TIMEOUT_SECONDS) <= 0


def test_an_answer_that_can_not_be_whole_in_time_is_given_up_early() -> None:
    """One byte a second, of a thousand."""
    progress = started_answer(1000)
    progress.on_bytes(1)
    assert progress.wait_seconds(10.5) > 0
    assert progress.wait_seconds(11.5) <= 0


@given(
    st.integers(0, 10**7), st.integers(1, 10**7), st.floats(0.01, COMPLETION_TIMEOUT_SECONDS - 0.01)
)
def test_an_answer_at_a_useful_rate_is_never_given_up(
    already: int, declared: int, seconds: float
) -> None:
    """One that would be whole within the bound at its rate so far."""
    progress = started_answer(declared)
    received = min(already, declared)
    progress.on_bytes(received)
    if declared * seconds <= received * COMPLETION_TIMEOUT_SECONDS:
        assert progress.wait_seconds(10.0 + seconds) > 0


def test_content_shows_in_the_head_or_in_the_bytes() -> None:
    """An answer that says that nothing has changed is far smaller."""
    assert started_answer(MIN_CONTENT_ANSWER_BYTES).has_content
    unknown = started_answer(None)
    assert not unknown.has_content
    unknown.on_bytes(MIN_CONTENT_ANSWER_BYTES)
    assert unknown.has_content
