"""The experiment that compares ways to keep a server's limit tells the ways apart."""

from __future__ import annotations

import pytest

from milletcourse.experiments.allowance_model import AllowanceModel, Trouble
from milletcourse.experiments.allowance_ways import Way

SAME_LISTS = [trouble for trouble in Trouble if trouble is not Trouble.VIEWS]


@pytest.mark.parametrize("trouble", SAME_LISTS)
@pytest.mark.parametrize(("gateways", "per_second"), [(5, 1.0), (23, 8.0)])
def test_lent_units_keep_to_the_limit_and_use_it(
    trouble: Trouble, gateways: int, per_second: float
) -> None:
    """As long as gateways agree on who they are."""
    figures = AllowanceModel(Way.LENT, trouble, gateways, per_second, 1).run()
    assert figures.windows_over == 0
    assert figures.used >= 0.9


def test_the_other_ways_go_over_or_leave_most_unused() -> None:
    """Parts and told use burst at many gateways; a few spenders seldom have the requests."""
    over = {
        way: AllowanceModel(way, Trouble.CUT, 79, 8.0, 1).run().windows_over
        for way in (Way.PARTS, Way.TOLD)
    }
    assert all(over.values()), over
    assert AllowanceModel(Way.FEW, Trouble.USUAL, 79, 1.0, 1).run().used < 0.2


def test_the_same_seed_gives_the_same_figures() -> None:
    """Of all that is random."""
    plays = [AllowanceModel(Way.LENT, Trouble.HOT, 5, 1.0, 7).run() for _ in range(2)]
    assert plays[0] == plays[1]
