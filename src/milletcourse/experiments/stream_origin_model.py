"""Model of the ways to keep where streams began, so that other gateways know it after kills.

Streams run at all gateways when a share of the gateways is killed at once. Their clients return to
gateways that survived. Holders and messages are the production ones; times and kills are simulated.
"""

from __future__ import annotations

import random
from enum import Enum
from heapq import nlargest

import msgspec
import xxhash

from milletcourse.exchange.messages.origin_messages import (
    OriginMessage,
    OriginReport,
    OriginStep,
    encode_origin_message,
)

DATAGRAM_OVERHEAD_BYTES = 28
"""IPv4 and UDP headers."""
STREAMS_PER_GATEWAY_SECOND = 3.0
STREAM_SECONDS = 2.0
"""Time for which a stream runs."""
RECORD_SECONDS = 15.0
"""Time for which a client may return."""
RECORD_BYTES = 154
"""Memory of one record: a dictionary entry with its key and a structure of four fields."""
BATCH_SECONDS = 0.1
SAMPLED_STREAMS = 4000
KILLED_SHARES = (0.0, 1 / 3, 2 / 3)


class OriginStrategy(Enum):
    """Who is told where a stream began."""

    NOBODY = "nobody; all are asked when the client returns"
    ALL_IN_BATCHES = "all, every 0.1 s"
    THREE_HOLDERS = "3 holders, before the first event"
    FIVE_HOLDERS = "5 holders, before the first event"
    SEVEN_HOLDERS = "7 holders, before the first event"


_HOLDERS = {
    OriginStrategy.THREE_HOLDERS: 3,
    OriginStrategy.FIVE_HOLDERS: 5,
    OriginStrategy.SEVEN_HOLDERS: 7,
}


class OriginFigures(msgspec.Struct, frozen=True):
    """Results of one strategy at one size.

    Attributes:
        strategy: Who is told.
        gateways: Number of gateways.
        killed_share: Share of the gateways that is killed at once.
        datagrams_per_second: Datagrams that each gateway sends for new streams.
        bytes_per_second: Their size with headers.
        record_bytes: Memory of the records that each gateway keeps.
        known_share: Share of the running streams whose origin a surviving gateway knows.
    """

    strategy: OriginStrategy
    gateways: int
    killed_share: float
    datagrams_per_second: float
    bytes_per_second: float
    record_bytes: float
    known_share: float


def compare_origin_strategies(sizes: list[int], seed: int) -> list[OriginFigures]:
    """Figures of each strategy at each size and share of killed gateways."""
    return [
        _figures(strategy, gateways, killed_share, random.Random(seed))
        for gateways in sizes
        for killed_share in KILLED_SHARES
        for strategy in OriginStrategy
    ]


def _figures(
    strategy: OriginStrategy, gateways: int, killed_share: float, source: random.Random
) -> OriginFigures:
    names = [f"front-{number}" for number in range(gateways)]
    killed = set(source.sample(names, round(killed_share * gateways)))
    known = sum(_is_known(strategy, names, killed, source) for _ in range(SAMPLED_STREAMS))
    datagrams, size = _traffic(strategy, gateways)
    receivers = _receivers(strategy, gateways)
    records = STREAMS_PER_GATEWAY_SECOND * RECORD_SECONDS * (1 + receivers)
    return OriginFigures(
        strategy,
        gateways,
        killed_share,
        datagrams,
        datagrams * size,
        records * RECORD_BYTES,
        known / SAMPLED_STREAMS,
    )


def _is_known(
    strategy: OriginStrategy, names: list[str], killed: set[str], source: random.Random
) -> bool:
    """Whether a gateway that survives knows the origin of one running stream."""
    own = source.choice(names)
    if own not in killed:
        return True
    if strategy is OriginStrategy.NOBODY:
        return False
    if strategy is OriginStrategy.ALL_IN_BATCHES:
        age = source.uniform(0.0, STREAM_SECONDS)
        return age > source.uniform(0.0, BATCH_SECONDS) and len(killed) < len(names)
    key = source.getrandbits(64)
    holders = nlargest(
        _HOLDERS[strategy],
        names,
        lambda name: (xxhash.xxh64_intdigest(name.encode(), seed=key), name),
    )
    return any(name not in killed for name in holders)


def _receivers(strategy: OriginStrategy, gateways: int) -> int:
    """Number of other gateways that keep a record of a stream."""
    if strategy is OriginStrategy.NOBODY:
        return 0
    return min(_HOLDERS.get(strategy, gateways), gateways - 1)


def _traffic(strategy: OriginStrategy, gateways: int) -> tuple[float, float]:
    """Datagrams a second that each gateway sends for its new streams, and their mean size."""
    receivers = _receivers(strategy, gateways)
    if not receivers:
        return 0.0, 0.0
    if strategy is OriginStrategy.ALL_IN_BATCHES:
        reports = max(round(STREAMS_PER_GATEWAY_SECOND * BATCH_SECONDS), 1)
        batches = min(STREAMS_PER_GATEWAY_SECOND, 1 / BATCH_SECONDS)
        return batches * receivers, _datagram_bytes(reports)
    return STREAMS_PER_GATEWAY_SECOND * receivers, _datagram_bytes(1)


def _datagram_bytes(reports: int) -> int:
    report = OriginReport(2**63, "model-servers", "v1.2", 15_000)
    message = OriginMessage(OriginStep.TELL, "front-zone-a-12", [report] * reports)
    return len(encode_origin_message(message)) + DATAGRAM_OVERHEAD_BYTES
