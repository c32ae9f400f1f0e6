"""The fleet's load as a follower received it from its reader, indexed by key; no input/output."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.peer_messages import InstanceLoad, PeerMessage, TenantUse


class FleetLoad(msgspec.Struct, frozen=True):
    """The fleet's load from one message.

    Attributes:
        sequence: Sequence number of the message.
        received_at: Monotonic time of its receipt.
        loads: Key of a server -> its load.
        failing: Keys of the servers at which some gateway saw a failure recently.
        uses: Key of a tenant -> its usage.
        gateways: Number of gateways that it includes, counting the receiver.
    """

    sequence: int = 0
    received_at: float = float("-inf")
    loads: dict[int, InstanceLoad] = {}
    failing: frozenset[int] = frozenset()
    uses: dict[int, TenantUse] = {}
    gateways: int = 0


def fleet_load(message: PeerMessage, now: float) -> FleetLoad:
    """Indexes the load in a message with the scope of the fleet."""
    return FleetLoad(
        sequence=message.sequence,
        received_at=now,
        loads={load.key: load for load in message.loads},
        failing=frozenset(load.key for load in message.loads if load.failures),
        uses={use.key: use for use in message.uses},
        gateways=message.gateways,
    )
