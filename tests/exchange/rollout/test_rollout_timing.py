"""When servers load released weights: expected time of the next release, and value of a load."""

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

DEFAULT_SECONDS = 10.0
LOAD_SECONDS = 0.8


def cadence_of(*released_at: float) -> ReleaseCadence:
    """The cadence of releases at some times."""
    cadence = ReleaseCadence()
    for moment in released_at:
        cadence.on_release(moment)
    return cadence


def test_nothing_is_expected_before_the_first_version() -> None:
    """Without a version there is nothing to wait for."""
    assert ReleaseCadence().seconds_to_next(5.0, DEFAULT_SECONDS) == 0.0


def test_the_default_interval_counts_less_with_each_observed_one() -> None:
    """Releases every two seconds soon lower the estimate."""
    expected = [
        cadence_of(*(2.0 * number for number in range(count))).seconds_to_next(
            2.0 * (count - 1), DEFAULT_SECONDS
        )
        for count in range(1, 5)
    ]
    assert expected[0] == DEFAULT_SECONDS
    assert expected == sorted(expected, reverse=True)
    assert expected[-1] == pytest.approx(4.0)


def test_an_overdue_release_is_expected_later_and_later() -> None:
    """The longer a release is overdue, the later it is expected."""
    cadence = cadence_of(0.0, 2.0, 4.0, 6.0)
    assert cadence.seconds_to_next(9.9, DEFAULT_SECONDS) == pytest.approx(0.1)
    assert cadence.seconds_to_next(12.0, DEFAULT_SECONDS) == pytest.approx(6.0)
    assert cadence.seconds_to_next(26.0, DEFAULT_SECONDS) == pytest.approx(20.0)


@given(
    st.lists(st.floats(0.0, 1e6), min_size=1, max_size=12).map(sorted),
    st.floats(0.0, 1e6),
    st.floats(0.1, 60.0),
)
def test_what_is_expected_is_a_finite_time(
    released: list[float], later: float, usual: float
) -> None:
    """This holds for any release times, also for simultaneous releases."""
    seconds = cadence_of(*released).seconds_to_next(released[-1] + later, usual)
    assert math.isfinite(seconds) and seconds >= 0.0


def test_a_load_is_worth_more_the_more_answers_it_renews() -> None:
    """An idle server waits; a busy one loads, unless another release is imminent."""
    assert not is_worth_loading(0.0, 10.0, 5.0, LOAD_SECONDS)
    assert is_worth_loading(3.0, 10.0, 0.0, LOAD_SECONDS)
    assert not is_worth_loading(3.0, 1.0, 5.0, LOAD_SECONDS)


def test_answers_within_the_grace_time_are_no_loss() -> None:
    """A load that ends within the grace time gains nothing until the grace time is over."""
    seconds = 2.2
    assert is_worth_loading(5.0, seconds, GRACE_SECONDS, LOAD_SECONDS)
    assert not is_worth_loading(5.0, seconds, 0.0, LOAD_SECONDS)


def test_versions_found_at_the_start_do_not_count_as_releases() -> None:
    """Their release times aren't known."""
    gate = VersionGate(DEFAULT_SECONDS)
    gate.on_target(ModelTarget("m", 4), 0.0, just_started=True)
    assert gate.seconds_to_next("m", 1.0) == 0.0
    gate.on_target(ModelTarget("m", 5), 3.0)
    assert gate.seconds_to_next("m", 3.0) == DEFAULT_SECONDS
    assert gate.superseded_at("m", 4) == 3.0
    assert gate.superseded_at("m", 5) is None
