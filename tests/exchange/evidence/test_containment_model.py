"""The experiment on containment: the product's way holds its bound, and no memory is seen."""

from __future__ import annotations

import pytest

from milletcourse.experiments.containment_model import ContainmentModel, Trouble
from milletcourse.experiments.containment_ways import Way

LATE_ALLOWED = 3


@pytest.mark.parametrize("trouble", list(Trouble))
def test_no_request_is_sent_often_after_its_third_end(trouble: Trouble) -> None:
    """Whatever happens beside, and hardly any innocent request is refused."""
    figures = ContainmentModel(Way.IN_TURN, trouble, 24, 2, seed=5).run()
    assert figures.most_late <= LATE_ALLOWED
    assert figures.innocent_refused < 1.0


def test_without_memory_the_bound_breaks() -> None:
    """The known-bad way is seen to be bad."""
    figures = ContainmentModel(Way.NONE, Trouble.CALM, 24, 2, seed=5).run()
    assert figures.most_late > LATE_ALLOWED


def test_a_play_is_the_same_each_time() -> None:
    """Figures can be compared between ways."""
    plays = [ContainmentModel(Way.IN_TURN, Trouble.LOSS, 8, 2, seed=6).run() for _ in range(2)]
    assert plays[0] == plays[1]
