"""Servers that take the longest prompts, so that streams run elsewhere; no input/output.

A server reads prompts in pieces between the tokens of the requests that it runs. While it reads a
very long one, each token of its streams waits for a piece, and their pauses grow past what their
routes allow. A few servers of each zone, the same ones at all gateways, therefore take the long
prompts. They are no home of any prompt, and requests that mostly generate go elsewhere as long as
there is room.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import xxhash

from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.servers.instance_table import Instance

ZONE_FRACTION = 1 / 6
"""Share of a zone's servers. Where own parts of prompts are spread widely, a tenth of the prompts
makes up a third of what is read; with what they take from their homes that is work for so many."""
MIN_ZONE_SERVERS = 6
"""Zones with fewer servers have none to spare: all are wanted as homes."""
LONG_SECONDS = 0.15
"""A prompt is long when reading its own part takes more: with its shared part, some pieces in a
row; streams bear a few pieces between two events, not a queue of them."""
GENERATED_TOKEN_SECONDS = 0.005
"""Time to generate a token, in the order of what engines take; against the time to read a prompt it
tells which of the two a request mostly does."""


def long_prompt_servers(instances: Iterable[Instance]) -> frozenset[str]:
    """Names of the servers that take long prompts.

    Args:
        instances: All servers of one service. The choice depends on their addresses and zones only,
            so that gateways agree on it; a restart changes nothing, and a server that comes or
            goes a place or two.
    """
    by_zone: defaultdict[str, dict[str, str]] = defaultdict(dict)
    for instance in instances:
        by_zone[instance.record.zone][instance.record.address] = instance.name
    chosen: list[str] = []
    for names in by_zone.values():
        if len(names) < MIN_ZONE_SERVERS:
            continue
        ranked = sorted(
            names, key=lambda address: (xxhash.xxh64_intdigest(address.encode()), address)
        )
        chosen.extend(names[address] for address in ranked[: round(len(names) * ZONE_FRACTION)])
    return frozenset(chosen)


def is_long(request: ExchangeRequest, tokens_per_second: float) -> bool:
    """Whether reading a prompt's own part, which no server keeps, takes long.

    Args:
        request: The request.
        tokens_per_second: Speed at which servers read prompts.
    """
    own_tokens = request.prompt_tokens - request.shared_tokens
    return own_tokens > LONG_SECONDS * tokens_per_second


def mostly_generates(request: ExchangeRequest, tokens_per_second: float) -> bool:
    """Whether a request generates for longer than its prompt is read.

    Args:
        request: The request.
        tokens_per_second: Speed at which servers read prompts.
    """
    reading = request.prompt_tokens / tokens_per_second
    return request.output_tokens * GENERATED_TOKEN_SECONDS > reading
