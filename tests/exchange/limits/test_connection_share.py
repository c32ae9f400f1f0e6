"""Connections that gateways keep open to a server with a limited number of connections."""

from __future__ import annotations

import pytest

from milletcourse.exchange.limits.connection_share import (
    KEPT_FRACTION,
    RANDOM_KEEP_FACTOR,
    connection_share,
)

ADDRESS = "10.0.0.1:80"


SIZES = [(360, 7), (100, 23), (360, 195), (360, 420), (5, 69)]


@pytest.mark.parametrize(("takes", "members"), SIZES)
def test_all_gateways_together_keep_no_more_connections_than_a_server_accepts(
    takes: int, members: int
) -> None:
    """This also holds with fewer connections than gateways."""
    parts = [connection_share(takes, members, f"front-{n}", ADDRESS) for n in range(members)]
    assert 0.8 * RANDOM_KEEP_FACTOR * KEPT_FRACTION * takes <= sum(parts) <= takes


def test_a_server_without_a_declared_limit_accepts_any_number() -> None:
    """Most applications declare none."""
    assert connection_share(0, 7, "front-1", ADDRESS) > 1000
