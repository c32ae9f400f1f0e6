"""When servers take named weights: which version is expected next, and what a load is worth."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.messages.records import ModelTarget
from milletcourse.exchange.rollout.rollout_timing import (
    GRACE_SECONDS,
    ReleaseCadence,
    is_worth_loading,
)
from milletcourse.exchange.rollout.version_gate import VersionGate

USUAL = 10.0
LOAD = 0.8


def rhythm_of(*named_at: float) -> ReleaseCadence:
    """The rhythm of some moments."""
    rhythm = ReleaseCadence()
    for moment in named_at:
        rhythm.on_release(moment)
    return rhythm


def test_nothing_is_expected_before_the_first_version() -> None:
    """Without a version there is nothing to wait for."""
    assert ReleaseCadence().seconds_to_next(5.0, USUAL) == 0.0


def test_the_usual_interval_counts_less_with_each_observed_one() -> None:
    """Names that come each two seconds are soon expected to."""
    expected = [
        rhythm_of(*(2.0 * number for number in range(count))).seconds_to_next(
            2.0 * (count - 1), USUAL
        )
        for count in range(1, 5)
    ]
    assert expected[0] == USUAL
    assert expected == sorted(expected, reverse=True)
    assert expected[-1] == pytest.approx(4.0)


def test_a_broken_rhythm_is_expected_to_stay_broken() -> None:
    """When the next version doesn't come, it is less and less expected."""
    rhythm = rhythm_of(0.0, 2.0, 4.0, 6.0)
    assert rhythm.seconds_to_next(9.9, USUAL) == pytest.approx(0.1)
    assert rhythm.seconds_to_next(12.0, USUAL) == pytest.approx(6.0)
    assert rhythm.seconds_to_next(26.0, USUAL) == pytest.approx(20.0)


@given(
    st.lists(st.floats(0.0, 1e6), min_size=1, max_size=12).map(sorted),
    st.floats(0.0, 1e6),
    st.floats(0.1, 60.0),
)
def test_what_is_expected_is_a_finite_time(named: list[float], later: float, usual: float) -> None:
    """Whatever was observed, also several names at once."""
    seconds = rhythm_of(*named).seconds_to_next(named[-1] + later, usual)
    assert math.isfinite(seconds) and seconds >= 0.0


def test_a_load_is_worth_more_the_more_answers_it_renews() -> None:
    """An idle server waits; a busy one doesn't, unless a version is due to follow at once."""
    assert not is_worth_loading(0.0, 10.0, 5.0, LOAD)
    assert is_worth_loading(3.0, 10.0, 0.0, LOAD)
    assert not is_worth_loading(3.0, 1.0, 5.0, LOAD)


def test_answers_within_the_grace_time_are_no_loss() -> None:
    """So that a load which ends before it renews nothing until then."""
    seconds = 2.2
    assert is_worth_loading(5.0, seconds, GRACE_SECONDS, LOAD)
    assert not is_worth_loading(5.0, seconds, 0.0, LOAD)


def test_versions_found_at_the_start_tell_nothing_of_the_rhythm() -> None:
    """It isn't known when they were named."""
    gate = VersionGate(USUAL)
    gate.on_target(ModelTarget("m", 4), 0.0, just_started=True)
    assert gate.seconds_to_next("m", 1.0) == 0.0
    gate.on_target(ModelTarget("m", 5), 3.0)
    assert gate.seconds_to_next("m", 3.0) == USUAL
    assert gate.superseded_at("m", 4) == 3.0
    assert gate.superseded_at("m", 5) is None
