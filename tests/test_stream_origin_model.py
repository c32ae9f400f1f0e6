"""Model of the ways to keep where streams began."""

from __future__ import annotations

import pytest

from milletcourse.exchange.resumption.origin_holders import HOLDERS_PER_STREAM
from milletcourse.experiments.stream_origin_model import (
    OriginStrategy,
    compare_origin_strategies,
)


@pytest.mark.parametrize("gateways", [7, 79, 420])
def test_five_holders_outlive_kills_at_a_tenth_of_the_traffic_of_telling_all(gateways: int) -> None:
    """Five holders are what the gateways use; telling nobody loses what the killed ones began."""
    figures = {
        (item.strategy, round(item.killed_share, 1)): item
        for item in compare_origin_strategies([gateways], 1)
    }
    assert HOLDERS_PER_STREAM == 5
    held = figures[OriginStrategy.FIVE_HOLDERS, 0.3]
    assert held.known_share > 0.99
    assert figures[OriginStrategy.FIVE_HOLDERS, 0.7].known_share > 0.85
    assert figures[OriginStrategy.NOBODY, 0.7].known_share < 0.5
    all_told = figures[OriginStrategy.ALL_IN_BATCHES, 0.3]
    if gateways > 7:
        assert held.bytes_per_second < 0.1 * all_told.bytes_per_second


def test_a_run_repeats() -> None:
    """The same seed gives the same figures."""
    assert compare_origin_strategies([7], 3) == compare_origin_strategies([7], 3)
