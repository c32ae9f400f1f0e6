"""One gateway's part of the connections that a server takes from all of them; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.peer_messages import short_key

KEPT_SHARE = 0.8
"""The rest is for requests that need a further connection for a while."""
CHANCE_SHARE = 0.5
"""Of it, where chance decides which gateways keep one: more may than on the mean."""
NO_BOUND = 1 << 20
_KEYS = float(1 << 32)


def connection_part(takes: int, members: int, own_name: str, address: str) -> int:
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
        return NO_BOUND
    part = takes * KEPT_SHARE / members
    if part >= 1.0:
        return int(part)
    return int(short_key(f"{own_name} {address}") / _KEYS < CHANCE_SHARE * part)
