"""Configuration versions that the store has lost, and their announcement to gateways."""

from __future__ import annotations

from milletcourse.exchange.replication.lost_configuration import LostConfiguration


def test_a_lost_version_is_announced_until_it_is_stored_again() -> None:
    """By a gateway that applied it, and by one that received the announcement."""
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
    """It may have been restored from a snapshot older than the first configuration."""
    lost = LostConfiguration(lambda: 2)
    assert lost.version == 2
