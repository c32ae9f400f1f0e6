"""What servers export to the KV-cache stores; no input/output.

When a server exports a prompt, it sends its whole KV cache: that of the shared parts, which other
servers may import, and that of the prompt's unshared last part, which no other request uses.
Each export evicts older parts. A part that the store should still hold is therefore not sent again;
and when parts are evicted before their expected reuse, prompts whose shared parts are small against
what is sent with them aren't exported at all.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from milletcourse.exchange.counting.decaying_count import DecayingCount
from milletcourse.exchange.messages.records import ServiceRecord
from milletcourse.exchange.placement.prompt_chain import PromptChain

MIN_SHARED_FRACTION = 0.5
"""A prompt whose shared parts are less than this fraction of its tokens saves little."""
RATE_HALF_LIFE_SECONDS = 4.0
"""Half-life of the estimated rate of exports."""
MAX_PARTS = 4096
"""Beyond this number the oldest parts are dropped; a part takes some 100 bytes."""


class _Store:
    """Exports that this gateway requested, and those that it considered, to one store."""

    def __init__(self) -> None:
        self.sent_tokens = 0
        # Last shared part of a prompt -> `sent_tokens` when it was sent.
        self.sent_at: OrderedDict[bytes, int] = OrderedDict()
        self.offered = DecayingCount(RATE_HALF_LIFE_SECONDS)


class CacheStorePlan:
    """Exports that one gateway requests; each other gateway is assumed to request as many."""

    def __init__(self) -> None:
        self._stores: dict[str, _Store] = {}

    def should_send(
        self,
        store: ServiceRecord,
        chain: PromptChain,
        members: int,
        reuse_seconds: float,
        now: float,
    ) -> bool:
        """Whether a server exports the KV cache of a prompt to a store.

        Args:
            store: The store.
            chain: The prompt's parts under the server's salt, at least one of them shared.
            members: Number of gateways whose servers export to the store.
            reuse_seconds: Time within which a part is expected to be reused.
            now: Monotonic time.
        """
        known = self._stores.setdefault(store.store_address, _Store())
        if _holds(store, known, chain, members):
            return False
        known.offered.add(chain.total_tokens, now)
        saves_little = chain.shared_tokens < MIN_SHARED_FRACTION * chain.total_tokens
        return not (saves_little and _is_overcommitted(store, known, members, reuse_seconds, now))

    def on_sent(self, address: str, chain: PromptChain) -> None:
        """Record an export: the server has answered, so it has read the whole prompt."""
        known = self._stores.setdefault(address, _Store())
        known.sent_tokens += chain.total_tokens
        part = chain.keys[chain.shared - 1]
        known.sent_at[part] = known.sent_tokens
        known.sent_at.move_to_end(part)
        if len(known.sent_at) > MAX_PARTS:
            known.sent_at.popitem(last=False)

    def on_lost(self, address: str) -> None:
        """Drop the record of exports to an unreachable store: it may have lost its contents."""
        self._stores.pop(address, None)


def _holds(store: ServiceRecord, known: _Store, chain: PromptChain, members: int) -> bool:
    """Whether a part was exported and can't have been evicted by later exports of all gateways."""
    sent_at = known.sent_at.get(chain.keys[chain.shared - 1])
    if sent_at is None:
        return False
    return (known.sent_tokens - sent_at) * members < store.capacity_tokens


def _is_overcommitted(
    store: ServiceRecord, known: _Store, members: int, reuse_seconds: float, now: float
) -> bool:
    """Whether parts are evicted before their expected reuse."""
    if not store.capacity_tokens:
        return False
    own_rate = known.offered.value(now) * math.log(2.0) / RATE_HALF_LIFE_SECONDS
    return own_rate * members * reuse_seconds > store.capacity_tokens
