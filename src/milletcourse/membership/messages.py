"""Messages of the failure detector."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """State of a member; a higher value wins at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """Purpose of a datagram."""

    PROBE = 0
    ACK = 1
    INDIRECT_PROBE = 2
    GOSSIP = 3


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """State of one member as exchanged between routers.

    Attributes:
        name: Unique name of the router.
        place: Its zone.
        datagram_address: `host:port` for datagrams.
        http_address: `host:port` for HTTP.
        state: Latest known state.
        incarnation: Increases with each start and each refuted suspicion.
    """

    name: str
    place: str
    datagram_address: str
    http_address: str
    state: MemberState
    incarnation: int

    def supersedes(self, other: MemberRecord) -> bool:
        """Whether this record is newer than another one of the same member."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


@dataclass(frozen=True, slots=True, order=True)
class PlatformStamp:
    """Evidence of freshness: a router read this revision from the platform at this wall time."""

    revision: int = 0
    wall_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class MembershipMessage:
    """Content of one membership datagram.

    Attributes:
        kind: Purpose.
        sequence: Matches acks to probes.
        target: Name of the probed member.
        revision: Configuration revision in force at the sender.
        stamp: Latest platform stamp that the sender knows.
        records: Piggybacked member updates.
    """

    kind: MessageKind
    sequence: int
    target: str
    revision: int
    stamp: PlatformStamp
    records: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to be sent to an address."""

    destination: str
    message: MembershipMessage
