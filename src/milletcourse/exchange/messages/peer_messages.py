"""What gateways tell each other: their load on servers and the state of servers; no input/output.

Messages are small and may be lost: each carries a whole current load, and a notice is repeated for
a while. Nothing depends on them but speed: what they don't tell is learnt from servers' answers and
from the discovery.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
import xxhash

from milletcourse.exchange.messages.signal_headers import MAX_LIMIT_PER_SECOND

NOTICE_REPEATS = 3
"""Times that a notice is sent, against loss."""
MAX_REPORTED_CRASHES = 6
"""Ends of servers that are kept and told of one request; three are enough to contain it."""
MAX_AGE_MS = 4 * 3600 * 1000
"""Nothing that is told is older: a greater age is an error of the sender."""

AgeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]
"""Milliseconds before the message was sent: clocks of gateways differ, ages don't."""


class ServerState(IntEnum):
    """What a notice says of a server."""

    LOADING = 1
    """It takes a weight version."""
    READY = 2
    """It has a weight version."""
    TERMINATED = 3
    """Another incarnation answers at its address."""
    STORE_UNREACHABLE = 4
    """A store of kept prompt state doesn't answer."""
    STORE_REACHABLE = 5
    """A store of kept prompt state answers again."""


class LoadScope(IntEnum):
    """Whose load a message tells."""

    GATEWAY = 1
    """The sender's own."""
    ZONE = 2
    """That of a reader of the store and of all gateways that follow it."""
    FLEET = 3
    """That of all gateways, the receiver included."""


class InstanceLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load on one server.

    Attributes:
        key: Hash of the server's name.
        waiting_tokens: Prompt tokens to be read for requests without a first event.
        running: Requests that the server works on.
        failures: Attempts that failed there lately, weighed by what they say of the server.
        successes: Attempts that were answered there lately.
        memory_tokens: Memory that the requests there take, in tokens.
    """

    key: int
    waiting_tokens: int
    running: int
    failures: int = 0
    successes: int = 0
    memory_tokens: int = 0

    def plus(self, other: InstanceLoad) -> InstanceLoad:
        """The sum of two loads on the same server."""
        return InstanceLoad(
            self.key,
            self.waiting_tokens + other.waiting_tokens,
            self.running + other.running,
            self.failures + other.failures,
            self.successes + other.successes,
            self.memory_tokens + other.memory_tokens,
        )

    def minus(self, other: InstanceLoad) -> InstanceLoad:
        """What is left of a sum without one of its parts, as far as that is still in it."""
        return InstanceLoad(
            self.key,
            max(self.waiting_tokens - other.waiting_tokens, 0),
            max(self.running - other.running, 0),
            max(self.failures - other.failures, 0),
            max(self.successes - other.successes, 0),
            max(self.memory_tokens - other.memory_tokens, 0),
        )

    @property
    def is_zero(self) -> bool:
        """Whether there is neither load nor news."""
        return not (self.waiting_tokens or self.running or self.failures or self.successes)


class TenantUse(msgspec.Struct, array_like=True, frozen=True):
    """What a tenant with a limit spends.

    Attributes:
        key: Identity of the tenant in messages.
        per_second: Units of its limit that are spent in a second.
    """

    key: int
    per_second: int

    def plus(self, other: TenantUse) -> TenantUse:
        """The sum of what two senders spend for the same tenant."""
        return TenantUse(self.key, self.per_second + other.per_second)

    def minus(self, other: TenantUse) -> TenantUse:
        """What is left of a sum without one of its parts.

        Below zero while the sum doesn't hold the part yet: it counts in full some moments later, so
        that over time nothing is counted twice.
        """
        return TenantUse(self.key, self.per_second - other.per_second)

    @property
    def is_zero(self) -> bool:
        """Whether nothing is spent."""
        return not self.per_second


class ServerNotice(msgspec.Struct, array_like=True, frozen=True):
    """The state of one incarnation of a server, or of a store of kept prompt state.

    Attributes:
        subject: Name of the incarnation, or `host:port` of the store.
        model: Model whose weights it takes; empty when the notice isn't about weights.
        version: Version of the weights; 0 when the notice isn't about weights.
        state: What it does, or did.
        started_ms: Start of the incarnation, 0 when it isn't known.
    """

    subject: str
    model: str
    version: int
    state: ServerState
    started_ms: int = 0


class ServerCrash(msgspec.Struct, array_like=True, frozen=True):
    """A server that ended while it had a request.

    Attributes:
        server: Key of the incarnation.
        sent_ms: Age of the send of the request to it.
        crashed_ms: Age of its end.
    """

    server: int
    sent_ms: AgeMs
    crashed_ms: AgeMs


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway knows of a request under which servers ended.

    Attributes:
        identity: Identity of its content.
        crashes: Servers that ended under it since the latest answer.
        cleared_ms: Age of the latest answer to it, None when there was none.
    """

    identity: int
    crashes: Annotated[list[ServerCrash], msgspec.Meta(max_length=MAX_REPORTED_CRASHES)] = []
    cleared_ms: AgeMs | None = None


class SignalReport(msgspec.Struct, array_like=True, frozen=True):
    """What a server said of itself.

    Attributes:
        key: Key of the incarnation.
        per_second: Requests a second that it takes from all gateways together, None for no limit.
        limit_age_ms: Age of the answer that said so.
        leaving_age_ms: Age of the first answer that said that it leaves, None when none did.
    """

    key: int
    per_second: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_LIMIT_PER_SECOND)] | None
    limit_age_ms: AgeMs
    leaving_age_ms: AgeMs | None = None


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    Attributes:
        sender: Name of the gateway.
        sequence: Rises with each message of a process.
        loads: Servers with load; others have none.
        notices: States of servers that changed in the last moments.
        scope: Whose load it is.
        is_follower: The sender follows the receiver, and wants to be told the fleet's load.
        uses: What is spent for tenants with a limit; nothing for others.
        gateways: How many gateways' load and use it tells.
        crashes: Requests under which servers ended.
        signals: What servers say of themselves, or said lately.
    """

    sender: str
    sequence: int
    loads: list[InstanceLoad] = []
    notices: list[ServerNotice] = []
    scope: LoadScope = LoadScope.GATEWAY
    is_follower: bool = False
    uses: list[TenantUse] = []
    gateways: int = 1
    crashes: list[CrashReport] = []
    signals: list[SignalReport] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Bytes of a datagram."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> PeerMessage | None:
    """Understand a datagram; None when it is none of ours."""
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None


def incarnation_key(name: str, started_ms: int) -> int:
    """Short identity of one start of a server: what is told of another start doesn't mix with it.

    The start is a part of the key rather than a field beside it: no byte more is told for a server,
    and gateways that have seen another start just know nothing of this one.
    """
    return short_key(f"{name}@{started_ms}" if started_ms else name)


def short_key(name: str) -> int:
    """Short identity of a server or a tenant in messages; a collision only blurs what is told."""
    return xxhash.xxh32_intdigest(name.encode())
