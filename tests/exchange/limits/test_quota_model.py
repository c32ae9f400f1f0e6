"""The experiment that compares strategies for enforcing a server's limit distinguishes them."""

from __future__ import annotations

import pytest

from milletcourse.experiments.server_quota_model import ServerQuotaModel, Trouble
from milletcourse.experiments.server_quota_strategies import Strategy

SAME_LISTS = [trouble for trouble in Trouble if trouble is not Trouble.VIEWS]


@pytest.mark.parametrize("trouble", SAME_LISTS)
@pytest.mark.parametrize(("gateways", "per_second"), [(5, 1.0), (23, 8.0)])
def test_granted_permits_stay_within_the_limit_and_use_it(
    trouble: Trouble, gateways: int, per_second: float
) -> None:
    """This holds as long as gateways agree on the list of gateways."""
    figures = ServerQuotaModel(Strategy.GRANTED_PERMITS, trouble, gateways, per_second, 1).run()
    assert figures.windows_over == 0
    assert figures.used >= 0.9


def test_the_other_strategies_exceed_the_limit_or_leave_most_of_it_unused() -> None:
    """Shares and reported use allow bursts; a few chosen gateways seldom have the requests."""
    over = {
        strategy: ServerQuotaModel(strategy, Trouble.CUT, 79, 8.0, 1).run().windows_over
        for strategy in (Strategy.EQUAL_SHARES, Strategy.REPORTED_USAGE)
    }
    assert all(over.values()), over
    assert ServerQuotaModel(Strategy.FEW_GATEWAYS, Trouble.USUAL, 79, 1.0, 1).run().used < 0.2


def test_the_same_seed_gives_the_same_figures() -> None:
    """The seed determines everything that is random."""
    runs = [
        ServerQuotaModel(Strategy.GRANTED_PERMITS, Trouble.HOT, 5, 1.0, 7).run() for _ in range(2)
    ]
    assert runs[0] == runs[1]
