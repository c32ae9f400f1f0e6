"""A simulated cluster under datagram loss, deaths, a zone partition and many restarts at once."""

from __future__ import annotations

from member_measures import measure_members


def test_members_meet_time_and_traffic_limits() -> None:
    """Members learn of deaths and changes in time and declare no live member dead."""
    measured = measure_members(30, seed=1)
    assert measured.false_deaths == 0
    assert measured.lower_revisions_applied == 0
    assert measured.dead_known_seconds_max <= 10.0
    assert measured.change_in_force_seconds_max <= 16.0
    assert measured.change_with_dead_seconds_max <= 16.0
    assert measured.herd_settled_seconds <= 60.0
    assert measured.bytes_per_second_per_node <= 5 * 1024
