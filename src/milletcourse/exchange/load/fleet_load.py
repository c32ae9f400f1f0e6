"""What a follower was told of the fleet by its reader, ready for look-ups; no input/output."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.peer_messages import InstanceLoad, PeerMessage, TenantUse


class FleetLoad(msgspec.Struct, frozen=True):
    """One message about the fleet.

    Attributes:
        sequence: Number of the message.
        received_at: Monotonic time at which it came.
        loads: Key of a server -> its load.
        failing: Keys of the servers at which some gateway saw a failure lately.
        uses: Key of a tenant -> what is spent for it.
        gateways: How many gateways it tells of, the receiver included.
    """

    sequence: int = 0
    received_at: float = float("-inf")
    loads: dict[int, InstanceLoad] = {}
    failing: frozenset[int] = frozenset()
    uses: dict[int, TenantUse] = {}
    gateways: int = 0


def fleet_load(message: PeerMessage, now: float) -> FleetLoad:
    """The fleet as a message tells it."""
    return FleetLoad(
        sequence=message.sequence,
        received_at=now,
        loads={load.key: load for load in message.loads},
        failing=frozenset(load.key for load in message.loads if load.failures),
        uses={use.key: use for use in message.uses},
        gateways=message.gateways,
    )
