"""Model of the distribution of configuration changes to the gateways of a zone."""

from __future__ import annotations

import math

import pytest

from milletcourse.experiments.change_model import (
    ChangeModel,
    ChangeSetting,
    ChangeStrategy,
    min_transfer_seconds,
)

LARGE = 418_000
SLACK_SHARE = 1.2
SLACK_SECONDS = 0.5


@pytest.mark.parametrize("gateways", [2, 27, 65, 140])
def test_patches_reach_all_gateways_within_the_minimum_transfer_time(gateways: int) -> None:
    """Zones of fleets with 79, 195 and 420 gateways, and a zone of two."""
    setting = ChangeSetting(gateways, LARGE, LARGE, 100.0, 5.0)
    figures = ChangeModel(ChangeStrategy.PATCHES, setting, 1).run()
    assert figures.known_after <= SLACK_SHARE * min_transfer_seconds(setting) + SLACK_SECONDS
    assert figures.refused_share == 0.0


def test_copies_that_time_out_saturate_the_links() -> None:
    """If a copy takes longer than the response timeout, no gateway ever receives it."""
    setting = ChangeSetting(12, 1_670_000, 300, 10.0, 10.0)
    figures = ChangeModel(ChangeStrategy.COPIES, setting, 1).run()
    assert figures.known_after == math.inf and figures.refused_share > 0.5
    patches = ChangeModel(ChangeStrategy.PATCHES, setting, 1).run()
    assert patches.known_after < 2.0 and patches.refused_share == 0.0


def test_a_tree_reduces_the_load_on_a_slow_reader_link() -> None:
    """A tree of gateways carries fewer bytes over the reader's link and finishes earlier."""
    setting = ChangeSetting(12, LARGE, LARGE, 5.0, 5.0)
    star = ChangeModel(ChangeStrategy.PATCHES, setting, 1).run()
    tree = ChangeModel(ChangeStrategy.TREE, setting, 1).run()
    assert tree.reader_megabytes < star.reader_megabytes
    assert tree.known_after < star.known_after


def test_a_run_repeats() -> None:
    """The same seed gives the same figures."""
    setting = ChangeSetting(27, LARGE, LARGE, 100.0, 5.0)
    runs = [ChangeModel(ChangeStrategy.COPIES, setting, 7).run() for _ in range(2)]
    assert runs[0] == runs[1]
