"""Servers for the longest prompts, so that streams run elsewhere; no input/output.

A server prefills prompts in chunks between the decode steps of the requests that it runs. During a
very long prompt each token of its streams waits for a chunk, and their gaps grow beyond what their
routes allow. A few servers of each zone, the same ones at all gateways, therefore take the long
prompts. They are no home of any prompt, and requests that mostly generate run elsewhere as long as
other servers have capacity.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import xxhash

from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.servers.instance_table import Instance

ZONE_FRACTION = 1 / 6
"""Fraction of a zone's servers. Where the lengths of unshared parts vary widely, a tenth of the
prompts makes up a third of the prefilled tokens; together with the prefill of shared parts that
moves here from their homes, that is the load of this fraction."""
MIN_ZONE_SERVERS = 6
"""In zones with fewer servers all of them are needed as homes."""
LONG_SECONDS = 0.15
"""A prompt is long when prefill of its unshared part takes longer: together with its shared part
that is a sequence of chunks; streams tolerate a few chunks between two events, not a queue of
them."""
GENERATED_TOKEN_SECONDS = 0.005
"""Time to generate a token, in the order of today's engines. Compared with the prefill time it
shows whether a request mostly generates."""


def long_prompt_servers(instances: Iterable[Instance]) -> frozenset[str]:
    """Names of the servers that take long prompts.

    Args:
        instances: All servers of one service. The choice depends on their addresses and zones only,
            so that gateways agree on it; a restart changes nothing, and a server that is added or
            removed changes one or two of the chosen ones.
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
    """Whether prefill of a prompt's unshared part, which no server has cached, takes long.

    Args:
        request: The request.
        tokens_per_second: Prefill speed of servers.
    """
    unshared_tokens = request.prompt_tokens - request.shared_tokens
    return unshared_tokens > LONG_SECONDS * tokens_per_second


def mostly_generates(request: ExchangeRequest, tokens_per_second: float) -> bool:
    """Whether a request's generation takes longer than the prefill of its prompt.

    Args:
        request: The request.
        tokens_per_second: Prefill speed of servers.
    """
    prefill_seconds = request.prompt_tokens / tokens_per_second
    return request.output_tokens * GENERATED_TOKEN_SECONDS > prefill_seconds
