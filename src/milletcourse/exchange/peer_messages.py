"""What gateways tell each other: their load on servers and the state of orders; no input/output.

Messages are small and may be lost: each carries the sender's whole current load, and a notice is
repeated for a while. Nothing depends on them but speed: what they don't tell is learnt from
servers' answers and from the discovery.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import IntEnum

import msgspec
import xxhash

MIN_STALE_SECONDS = 1.0
"""Load told by a peer counts this long at least unless it is told again."""
STALE_ROUNDS = 2.0
"""It counts for this many of the rounds in which a peer tells all others."""
NOTICE_REPEATS = 3
"""Times that a notice is sent, against loss."""


class OrderState(IntEnum):
    """State of a server under an order."""

    LOADING = 1
    READY = 2


class InstanceLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of one gateway on one server.

    Attributes:
        key: Hash of the server's name.
        waiting_tokens: Prompt tokens to be read for requests without a first event.
        running: Requests that the server works on.
    """

    key: int
    waiting_tokens: int
    running: int


class OrderNotice(msgspec.Struct, array_like=True, frozen=True):
    """A server takes, or has taken, a weight version."""

    instance: str
    model: str
    version: int
    state: OrderState


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    Attributes:
        sender: Name of the gateway.
        sequence: Rises with each message of a process.
        loads: Servers with load; others have none.
        notices: Orders of the last moments.
        holds_lease: The sender rolls weight versions out.
    """

    sender: str
    sequence: int
    loads: list[InstanceLoad] = []
    notices: list[OrderNotice] = []
    holds_lease: bool = False


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


def instance_key(name: str) -> int:
    """Short identity of a server in messages; a collision only blurs two loads."""
    return xxhash.xxh32_intdigest(name.encode())


class _PeerLoad(msgspec.Struct):
    sequence: int
    heard_at: float
    loads: list[InstanceLoad]


class _Total(msgspec.Struct):
    waiting_tokens: int = 0
    running: int = 0


class PeerLoads:
    """Load of all other gateways on each server; sums are kept, since each choice reads all."""

    def __init__(self) -> None:
        # In the order of their latest messages, so that stale ones stand in front.
        self._peers: OrderedDict[str, _PeerLoad] = OrderedDict()
        self._totals: dict[int, _Total] = {}
        self._holder_heard_at = float("-inf")
        self._stale_seconds = MIN_STALE_SECONDS

    def set_peers(self, count: int, told_per_second: float) -> None:
        """The number of other gateways, and how many of them each one tells in a second."""
        round_seconds = count / told_per_second
        self._stale_seconds = max(MIN_STALE_SECONDS, STALE_ROUNDS * round_seconds)

    def on_message(self, message: PeerMessage, now: float) -> bool:
        """Take a message; False when it is older than one already taken."""
        self._forget_stale(now)
        known = self._peers.get(message.sender)
        if known is not None and message.sequence <= known.sequence:
            return False
        if known is not None:
            self._forget(message.sender)
        self._peers[message.sender] = _PeerLoad(message.sequence, now, message.loads)
        self._add(message.loads, 1)
        if message.holds_lease:
            self._holder_heard_at = now
        return True

    def waiting_tokens(self, key: int, now: float) -> int:
        """Prompt tokens that other gateways have waiting at a server."""
        self._forget_stale(now)
        total = self._totals.get(key)
        return total.waiting_tokens if total is not None else 0

    def running(self, key: int, now: float) -> int:
        """Requests of other gateways that a server works on."""
        self._forget_stale(now)
        total = self._totals.get(key)
        return total.running if total is not None else 0

    def holder_age(self, now: float) -> float:
        """Seconds since the holder of the roll-out's lease was heard."""
        return now - self._holder_heard_at

    def _forget_stale(self, now: float) -> None:
        while self._peers:
            name, oldest = next(iter(self._peers.items()))
            if now - oldest.heard_at < self._stale_seconds:
                return
            self._forget(name)

    def _forget(self, name: str) -> None:
        self._add(self._peers.pop(name).loads, -1)

    def _add(self, loads: list[InstanceLoad], sign: int) -> None:
        for load in loads:
            total = self._totals.setdefault(load.key, _Total())
            total.waiting_tokens += sign * load.waiting_tokens
            total.running += sign * load.running
            if total.running == 0 and total.waiting_tokens == 0:
                del self._totals[load.key]
