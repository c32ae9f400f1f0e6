"""Messages between gateways about load on servers and the state of servers; no input/output.

Messages are small and may be lost: each carries a complete current load, and a notice is repeated a
few times. They only reduce latency: servers' answers and service discovery provide the same
information later.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
import xxhash

from milletcourse.exchange.messages.signal_headers import MAX_LIMIT_PER_SECOND
from milletcourse.runtime.decode_errors import DECODE_ERRORS

NOTICE_REPEATS = 3
"""Number of times that a notice is sent, in case messages are lost."""
MAX_REPORTED_CRASHES = 6
"""Maximum number of server crashes kept and reported per feature; three suffice to contain it."""
MAX_AGE_MS = 4 * 3600 * 1000
"""Maximum age in messages; a greater one is an error of the sender."""

AgeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]
"""Milliseconds before the message was sent; ages are used since the gateways' clocks differ."""
LimitPerSecond = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_LIMIT_PER_SECOND)]


class ServerState(IntEnum):
    """State of a server or cache store in a notice."""

    LOADING = 1
    """The server loads a weight version."""
    READY = 2
    """The server has loaded a weight version."""
    TERMINATED = 3
    """Another incarnation answers at the server's address."""
    STORE_UNREACHABLE = 4
    """A store of cached prompt state doesn't answer."""
    STORE_REACHABLE = 5
    """A store of cached prompt state answers again."""


class LoadScope(IntEnum):
    """Which gateways' load a message reports."""

    GATEWAY = 1
    """The sender's own load."""
    ZONE = 2
    """Load of a store reader and of all gateways that follow it."""
    FLEET = 3
    """Load of all gateways, including the receiver."""


class InstanceLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load on one server.

    Attributes:
        key: Hash of the server's name.
        waiting_tokens: Prompt tokens still to be processed, of requests without a first event.
        running: Requests that the server works on.
        failures: Recent failed attempts, weighted by how likely the server is at fault.
        successes: Recent attempts that the server answered.
        memory_tokens: Memory that the requests take at the server, in tokens.
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
        """The sum without one of its parts, floored at zero if the part is no longer included."""
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
        """Whether there is no load and no recent result."""
        return not (self.waiting_tokens or self.running or self.failures or self.successes)


class TenantUse(msgspec.Struct, array_like=True, frozen=True):
    """Usage of a tenant that has a limit.

    Attributes:
        key: Key of the tenant in messages.
        per_second: Usage in units of its limit per second.
    """

    key: int
    per_second: int

    def plus(self, other: TenantUse) -> TenantUse:
        """The sum of the usage that two senders report for the same tenant."""
        return TenantUse(self.key, self.per_second + other.per_second)

    def minus(self, other: TenantUse) -> TenantUse:
        """The sum without one of its parts.

        Negative while the sum doesn't include the part yet; the sum includes it fully some moments
        later, so over time nothing is counted twice.
        """
        return TenantUse(self.key, self.per_second - other.per_second)

    @property
    def is_zero(self) -> bool:
        """Whether there is no usage."""
        return not self.per_second


class ServerNotice(msgspec.Struct, array_like=True, frozen=True):
    """The state of one incarnation of a server, or of a store of cached prompt state.

    Attributes:
        subject: Name of the incarnation, or `host:port` of the store.
        model: Model whose weights it loads; empty when the notice isn't about weights.
        version: Version of the weights; 0 when the notice isn't about weights.
        state: Its new state.
        started_ms: Start of the incarnation in Unix milliseconds, 0 when it isn't known.
    """

    subject: str
    model: str
    version: int
    state: ServerState
    started_ms: int = 0


class FeatureKind(IntEnum):
    """What requests that crash servers have in common."""

    CONTENT = 0
    """Their whole content: the same request is repeated."""
    PROMPT_PART = 1
    """One part of their prompts."""


class ReportedCrash(msgspec.Struct, array_like=True, frozen=True):
    """A server that crashed while it processed a request with a feature.

    Attributes:
        server: Key of the incarnation.
        sent_ms: Age of the request's send to the server.
        crashed_ms: Age of the crash.
    """

    server: int
    sent_ms: AgeMs
    crashed_ms: AgeMs


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Crashes of servers that a gateway associates with a feature of requests.

    Attributes:
        identity: Identity of the feature.
        crashes: Servers that crashed while they processed a request with it, since the latest
            answer.
        cleared_ms: Age of the latest answer to such a request, None when there was none.
        kind: What the feature is.
        tried_ms: Age of the latest send of a request with it while it was held, None when there was
            none.
    """

    identity: int
    crashes: Annotated[list[ReportedCrash], msgspec.Meta(max_length=MAX_REPORTED_CRASHES)] = []
    cleared_ms: AgeMs | None = None
    kind: FeatureKind = FeatureKind.CONTENT
    tried_ms: AgeMs | None = None


class SignalReport(msgspec.Struct, array_like=True, frozen=True):
    """Self-reported state of a server.

    Attributes:
        key: Key of the incarnation.
        per_second: Requests per second that it accepts from all gateways together, None for no
            limit.
        limit_age_ms: Age of the answer that reported this limit.
        leaving_age_ms: Age of the first answer that reported a shutdown, None when none did.
        rejections_per_second: Rejections per second beyond which it crashes, None for no limit.
        rejection_limit_age_ms: Age of the answer that reported this limit; the maximum when none
            did.
    """

    key: int
    per_second: LimitPerSecond | None
    limit_age_ms: AgeMs
    leaving_age_ms: AgeMs | None = None
    rejections_per_second: LimitPerSecond | None = None
    rejection_limit_age_ms: AgeMs = MAX_AGE_MS


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    Attributes:
        sender: Name of the gateway.
        sequence: Increases with each message of a process.
        loads: Load on each server that has some.
        notices: States of servers that changed recently.
        scope: Which gateways' load it is.
        is_follower: The sender follows the receiver, and is to receive the fleet's load.
        uses: Usage of tenants that have a limit.
        gateways: Number of gateways whose load and usage it includes.
        crashes: Requests associated with server crashes.
        signals: Recent self-reported states of servers.
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
    """Encodes a message as a datagram."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> PeerMessage | None:
    """Decodes a datagram; returns None when it is malformed."""
    try:
        return _DECODER.decode(data)
    except DECODE_ERRORS:
        return None


def incarnation_key(name: str, started_ms: int) -> int:
    """Short key of one incarnation of a server, so that reports about incarnations don't mix.

    The start time is part of the key rather than a separate field: this adds no bytes per server,
    and for a gateway that has seen another start this incarnation is simply unknown.
    """
    return short_key(f"{name}@{started_ms}" if started_ms else name)


def short_key(name: str) -> int:
    """Short key of a server or tenant in messages; a collision only makes reports less precise."""
    return xxhash.xxh32_intdigest(name.encode())
