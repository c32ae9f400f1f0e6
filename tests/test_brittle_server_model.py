"""The experiment with brittle servers distinguishes the strategies."""

from __future__ import annotations

from milletcourse.experiments.brittle_server_model import BrittleServerModel, Strategy, Trouble


def test_leases_keep_servers_from_crashing_and_use_their_slots() -> None:
    for trouble in (Trouble.NONE, Trouble.OWNERS_RESTART):
        figures = BrittleServerModel(Strategy.LEASES, trouble, 20, 2.5, 5.0, 1).run()
        assert figures.crashes == 0
        assert figures.used >= 0.8


def test_the_other_strategies_let_servers_crash() -> None:
    for strategy in (Strategy.KEEP_AWAY, Strategy.TOLD_LOAD):
        assert BrittleServerModel(strategy, Trouble.NONE, 20, 2.5, 5.0, 1).run().crashes > 20
