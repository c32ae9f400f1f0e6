"""One gateway's share of the connections that a server accepts; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.peer_messages import short_key

KEPT_FRACTION = 0.8
"""Fraction of a server's connections that stay open; the others are left for requests that need a
further connection for a while."""
RANDOM_KEEP_FACTOR = 0.5
"""Applied to the share where a hash decides which gateways keep a connection, since more of them
than the expected number may do so."""
UNLIMITED = 1 << 20
_KEYS = float(1 << 32)


def connection_share(max_connections: int, members: int, own_name: str, address: str) -> int:
    """Connections to a server that a gateway keeps open after their answers.

    With more gateways than connections, only some gateways keep one to each server. A hash selects
    different gateways for each server, so that no gateway is without any connection.

    Args:
        max_connections: Connections that the server accepts from all gateways; 0 when unknown.
        members: Number of gateways.
        own_name: Name of this gateway.
        address: Address of the server.
    """
    if not max_connections:
        return UNLIMITED
    share = max_connections * KEPT_FRACTION / members
    if share >= 1.0:
        return int(share)
    return int(short_key(f"{own_name} {address}") / _KEYS < RANDOM_KEEP_FACTOR * share)
