"""One gateway's part of the connections that a server takes from all of them; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.peer_messages import short_key

KEPT_FRACTION = 0.8
"""The rest is for requests that need a further connection for a while."""
RANDOM_KEEP_FACTOR = 0.5
"""Of it, where chance decides which gateways keep one: more may than on the mean."""
UNLIMITED = 1 << 20
_KEYS = float(1 << 32)


def connection_share(takes: int, members: int, own_name: str, address: str) -> int:
    """Connections to a server that a gateway keeps open after their answers.

    Where there are more gateways than connections, only some keep one to each server: others for
    each server, so that none is without any.

    Args:
        takes: Connections that the server takes from all gateways; 0 when it isn't told.
        members: How many gateways there are.
        own_name: Name of this gateway.
        address: Address of the server.
    """
    if not takes:
        return UNLIMITED
    part = takes * KEPT_FRACTION / members
    if part >= 1.0:
        return int(part)
    return int(short_key(f"{own_name} {address}") / _KEYS < RANDOM_KEEP_FACTOR * part)
