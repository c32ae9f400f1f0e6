"""The containment experiment: the production rule keeps its bound, and no containment breaks it."""

from __future__ import annotations

import pytest

from milletcourse.experiments.containment_model import ContainmentModel, Trouble
from milletcourse.experiments.containment_strategies import Strategy

MAX_LATE_SENDS = 3


@pytest.mark.parametrize("trouble", list(Trouble))
def test_a_request_is_rarely_sent_after_its_third_crash(trouble: Trouble) -> None:
    """In each fault scenario; hardly any unrelated request is refused."""
    figures = ContainmentModel(Strategy.CONSECUTIVE, trouble, 24, 2, seed=5).run()
    assert figures.most_late <= MAX_LATE_SENDS
    assert figures.innocent_refused < 1.0


def test_without_containment_the_bound_is_exceeded() -> None:
    """The model detects a strategy that is known to be bad."""
    figures = ContainmentModel(Strategy.NONE, Trouble.CALM, 24, 2, seed=5).run()
    assert figures.most_late > MAX_LATE_SENDS


def test_runs_with_one_seed_are_equal() -> None:
    """So that the figures of strategies can be compared."""
    runs = [
        ContainmentModel(Strategy.CONSECUTIVE, Trouble.LOSS, 8, 2, seed=6).run() for _ in range(2)
    ]
    assert runs[0] == runs[1]
