"""Versions that the store has lost, and who is told of them."""

from __future__ import annotations

from milletcourse.exchange.replication.lost_configuration import LostConfiguration


def test_a_version_that_the_store_lost_is_told_until_it_is_there_again() -> None:
    """By a gateway that has it in force, and by one that was told of it."""
    in_force = [0]
    lost = LostConfiguration(lambda: in_force[0])
    assert lost.version == 0, "a gateway without a configuration knows of no loss"
    in_force[0] = lost.stored_version = 4
    assert lost.version == 0
    lost.stored_version = 3
    assert lost.version == 4 and not lost.is_outdated
    assert lost.on_peer_version(6) and not lost.on_peer_version(5) and not lost.on_peer_version(6)
    assert lost.version == 6 and lost.is_outdated
    in_force[0] = lost.stored_version = 6
    assert lost.version == 0 and not lost.is_outdated


def test_a_store_without_any_configuration_has_lost_the_one_in_force() -> None:
    """It may come back from a copy of before the first one."""
    lost = LostConfiguration(lambda: 2)
    assert lost.version == 2
