"""What servers send to the stores of kept prompt state; no input/output.

A server that is told to send sends all that it read of a prompt: the shared parts, which others may
take from the store, and the prompt's own last part, which nobody asks for again. What comes in
makes older parts give way. So a part that the store should have already isn't sent again; and when
parts give way before they are asked for again, prompts that save little for what is sent with them
aren't sent at all.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from milletcourse.exchange.counting.decaying_count import DecayingCount
from milletcourse.exchange.messages.records import ServiceRecord
from milletcourse.exchange.placement.prompt_chain import PromptChain

MIN_SHARED_FRACTION = 0.5
"""A prompt whose shared parts are less than this much of it saves little."""
RATE_HALF_LIFE_SECONDS = 4.0
"""How fast the estimate of what comes in follows the traffic."""
MAX_PARTS = 4096
"""Further parts are forgotten, oldest first; some 100 bytes each."""


class _Store:
    """What this gateway had sent, and what it would have, to one store."""

    def __init__(self) -> None:
        self.sent_tokens = 0
        # Last shared part of a prompt -> `sent_tokens` when it was sent.
        self.sent_at: OrderedDict[bytes, int] = OrderedDict()
        self.offered = DecayingCount(RATE_HALF_LIFE_SECONDS)


class CacheStorePlan:
    """One gateway's part of what is sent; the others are taken to send as much each."""

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
        """Whether a server sends what it reads of a prompt to a store.

        Args:
            store: The store.
            chain: The prompt's parts under the server's salt, at least one of them shared.
            members: Gateways that send to the store.
            reuse_seconds: Time within which a part is expected to be asked for again.
            now: Monotonic time.
        """
        known = self._stores.setdefault(store.store_address, _Store())
        if _holds(store, known, chain, members):
            return False
        known.offered.add(chain.total_tokens, now)
        saves_little = chain.shared_tokens < MIN_SHARED_FRACTION * chain.total_tokens
        return not (saves_little and _is_overcommitted(store, known, members, reuse_seconds, now))

    def on_sent(self, address: str, chain: PromptChain) -> None:
        """A server that was told to send has answered, so it has read the whole prompt."""
        known = self._stores.setdefault(address, _Store())
        known.sent_tokens += chain.total_tokens
        part = chain.keys[chain.shared - 1]
        known.sent_at[part] = known.sent_tokens
        known.sent_at.move_to_end(part)
        if len(known.sent_at) > MAX_PARTS:
            known.sent_at.popitem(last=False)

    def on_lost(self, address: str) -> None:
        """A store can't be reached: what it kept may be gone."""
        self._stores.pop(address, None)


def _holds(store: ServiceRecord, known: _Store, chain: PromptChain, members: int) -> bool:
    """Whether a part was sent and can't have given way to what all gateways sent since."""
    sent_at = known.sent_at.get(chain.keys[chain.shared - 1])
    if sent_at is None:
        return False
    return (known.sent_tokens - sent_at) * members < store.capacity_tokens


def _is_overcommitted(
    store: ServiceRecord, known: _Store, members: int, reuse_seconds: float, now: float
) -> bool:
    """Whether parts give way before they are expected to be asked for again."""
    if not store.capacity_tokens:
        return False
    own_rate = known.offered.value(now) * math.log(2.0) / RATE_HALF_LIFE_SECONDS
    return own_rate * members * reuse_seconds > store.capacity_tokens
