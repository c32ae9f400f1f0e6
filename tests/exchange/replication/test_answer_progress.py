"""Read timeouts for an answer by its transfer progress."""

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
    """An answer whose head was received at second 10."""
    progress = AnswerProgress(FIRST_BYTE_SECONDS)
    progress.on_head(declared_bytes, 10.0)
    return progress


def test_an_answer_without_a_head_has_the_first_byte_timeout() -> None:
    """The timeout doesn't depend on the time of the call."""
    assert AnswerProgress(FIRST_BYTE_SECONDS).wait_seconds(99.0) == FIRST_BYTE_SECONDS


def test_an_answer_whose_body_is_delayed_has_the_first_byte_timeout() -> None:
    """It applies until the first byte of the body, as in a long poll."""
    progress = started_answer(100)
    assert progress.wait_seconds(10.9) == FIRST_BYTE_SECONDS
    progress.on_bytes(1)
    assert progress.wait_seconds(10.9) == SILENCE_TIMEOUT_SECONDS


def test_an_answer_that_makes_progress_is_not_abandoned() -> None:
    """Each chunk restarts the silence timeout, beyond the first-byte timeout."""
    progress = started_answer(400_000)
    for second in range(1, 5):
        progress.on_bytes(100_000)
        assert progress.wait_seconds(10.0 + second) == SILENCE_TIMEOUT_SECONDS


@pytest.mark.parametrize("declared_bytes", [None, 10**7])
def test_an_answer_is_abandoned_at_the_completion_timeout(declared_bytes: int | None) -> None:
    """The timeout holds whether or not the length is declared."""
    progress = started_answer(declared_bytes)
    progress.on_bytes(10**7 - 1)
    assert (
        0 < progress.wait_seconds(10.0 + COMPLETION_TIMEOUT_SECONDS - 0.1) < SILENCE_TIMEOUT_SECONDS
    )
    assert progress.wait_seconds(10.0 + COMPLETION_TIMEOUT_SECONDS) <= 0


def test_an_answer_that_can_not_complete_in_time_is_abandoned_early() -> None:
    """One byte per second, of 1,000 bytes."""
    progress = started_answer(1000)
    progress.on_bytes(1)
    assert progress.wait_seconds(10.5) > 0
    assert progress.wait_seconds(11.5) <= 0


@given(
    st.integers(0, 10**7), st.integers(1, 10**7), st.floats(0.01, COMPLETION_TIMEOUT_SECONDS - 0.01)
)
def test_an_answer_at_a_sufficient_rate_is_never_abandoned(
    already: int, declared: int, seconds: float
) -> None:
    """Its average rate so far would complete it within the timeout."""
    progress = started_answer(declared)
    received = min(already, declared)
    progress.on_bytes(received)
    if declared * seconds <= received * COMPLETION_TIMEOUT_SECONDS:
        assert progress.wait_seconds(10.0 + seconds) > 0


def test_content_is_detected_by_declared_length_or_received_bytes() -> None:
    """An answer that reports no change is much smaller."""
    assert started_answer(MIN_CONTENT_ANSWER_BYTES).has_content
    unknown = started_answer(None)
    assert not unknown.has_content
    unknown.on_bytes(MIN_CONTENT_ANSWER_BYTES)
    assert unknown.has_content
