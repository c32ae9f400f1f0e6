"""Model of the calls and the recovery time after a restore of the object store."""

from __future__ import annotations

import pytest

from milletcourse.experiments.store_restore_model import (
    WRITES_PER_SECOND,
    RestoreStrategy,
    StoreRestoreModel,
)

LISTED_SECONDS = 2.0


@pytest.mark.parametrize("gateways", [1, 5, 79, 420])
@pytest.mark.parametrize("returns", [1, 2])
def test_only_readers_read_and_all_are_listed_within_two_seconds(
    gateways: int, returns: int
) -> None:
    """This holds even if more gateways lost entries than the store accepts writes per second."""
    figures = StoreRestoreModel(RestoreStrategy.AT_NEXT_CHECK, gateways, 1.5, 1.0, returns, 1).run()
    assert figures.listed_after < LISTED_SECONDS
    assert figures.known_after < LISTED_SECONDS
    assert figures.refused == 0
    assert figures.writes == figures.lost_entries == gateways


def test_immediate_writes_of_many_gateways_are_refused() -> None:
    """The other strategies need more calls, and refused calls are repeated later."""
    at_once = StoreRestoreModel(
        RestoreStrategy.AT_ONCE, WRITES_PER_SECOND + 20, 1.5, 1.0, 1, 1
    ).run()
    assert at_once.refused > 0 and at_once.listed_after > LISTED_SECONDS
    all_read = StoreRestoreModel(RestoreStrategy.ALL_READ, 420, 1.5, 1.0, 1, 1).run()
    assert all_read.reads > 100 * at_once.reads


def test_a_run_repeats() -> None:
    """The same seed gives the same figures."""
    runs = [
        StoreRestoreModel(RestoreStrategy.AT_NEXT_CHECK, 79, 1.5, 0.1, 1, 7).run() for _ in range(2)
    ]
    assert runs[0] == runs[1]
