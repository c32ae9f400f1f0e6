"""What a request takes of a model server, and how long it would wait there; no input/output.

A server runs a bounded number of requests at once, keeps all their tokens in a bounded memory, and
reads prompts in pieces between the tokens of the requests that it runs.
"""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.messages.records import RouteRecord, ServiceRecord, TenantRecord
from milletcourse.exchange.placement.reuse_scope import request_rank

PREFILL_TOKENS_PER_SECOND = 40_000.0
"""Speed at which servers read prompts, in the order of what engines do today. Learning it from
first events was tried three times and served no better (docs/POLICY.md, round 6)."""
RUNNING_REQUEST_SECONDS = 0.004
"""Estimated delay that each running request adds to a new one."""
SLOT_WAIT_SECONDS = 0.15
"""Wait for a slot for each request that stands before it. Streams of some 300 tokens take 1.5 s at
an idle server and 2.5 s between the pieces of prompts, so 16 slots come free at this pace."""
MEMORY_FULL_SECONDS = 0.4
"""Cost of a prompt that doesn't fit into a server's memory. A running one gives way and is read
anew: some 9,000 tokens, for which all streams of the server wait as well."""
GENERATED_FRACTION = 0.5
"""Of the most tokens that a request may generate, what it holds in memory on the mean."""
GAP_FRACTION = 0.7
"""Reading in a row for this share of the pause that streams bear makes their next event late: it
holds several tokens, and each waits for a piece of a prompt."""
LATE_STREAM_SECONDS = 0.03
"""Cost of each stream that a prompt makes late. On a calm day one stream in twenty was late so."""
MAX_WAIT_FRACTION = 1.25
"""A request of the highest rank is refused when it would wait longer than this share of its route's
target latency at the best server: its answer would be late, and make others late. Most requests
have middle ranks, for which it is about the target. Without a bound an overload keeps itself up:
with a quarter of 45 servers gone from 2.5 s to 16.5 s, two in five requests were late until 24 s,
and with a bound of 0.4 s until 14 s. A small fleet bears less: five servers under high load served
0.926 of what they owed with 0.8, 0.940 with 1.0 and 0.950 with 1.25 (simulated, 34 s)."""
RANK_FACTOR = 0.9
"""Each rank lower waits for so much less, so that what is less urgent gives way first."""


class ServerLoad(msgspec.Struct, frozen=True):
    """Load of one server, by all gateways together.

    Attributes:
        waiting_tokens: Prompt tokens to be read for requests without a first event.
        requests: Requests that it works on.
        memory_tokens: Memory that they take, in tokens.
    """

    waiting_tokens: int
    requests: int
    memory_tokens: int


def memory_tokens(request: ExchangeRequest) -> int:
    """Memory that a request takes while it runs, in tokens."""
    return request.prompt_tokens + int(GENERATED_FRACTION * request.output_tokens)


def wait_seconds(service: ServiceRecord, load: ServerLoad, request: ExchangeRequest) -> float:
    """Expected time until a server begins to read a request's prompt.

    Args:
        service: What its servers have room for.
        load: Load of the server.
        request: The request, which isn't part of the load.
    """
    seconds = (
        load.waiting_tokens / PREFILL_TOKENS_PER_SECOND + load.requests * RUNNING_REQUEST_SECONDS
    )
    if service.slots:
        seconds += max(load.requests + 1 - service.slots, 0) * SLOT_WAIT_SECONDS
    memory = load.memory_tokens + memory_tokens(request)
    # Whether a prompt fits into an empty server is known to the server only.
    if load.memory_tokens and 0 < service.capacity_tokens < memory:
        seconds += MEMORY_FULL_SECONDS * memory / service.capacity_tokens
    return seconds


def interference_seconds(
    load: ServerLoad, request: ExchangeRequest, max_gap_seconds: float
) -> float:
    """Cost of the pauses that a prompt makes for the streams of a server where others are read.

    Args:
        load: Load of the server.
        request: The request; its own part is read wherever it runs.
        pause_seconds: Longest pause between events that streams bear; 0 when none is set.
    """
    own_tokens = request.prompt_tokens - request.shared_tokens
    reading = (load.waiting_tokens + own_tokens) / PREFILL_TOKENS_PER_SECOND
    if not load.waiting_tokens or not max_gap_seconds or reading <= GAP_FRACTION * max_gap_seconds:
        return 0.0
    return load.requests * LATE_STREAM_SECONDS


def max_wait_seconds(route: RouteRecord, tenant: TenantRecord | None) -> float:
    """Longest expected wait at which a request is sent to a server, and not refused.

    Routes without a target have no bound.
    """
    if not route.target_latency_seconds:
        return float("inf")
    share = MAX_WAIT_FRACTION * RANK_FACTOR ** request_rank(route, tenant)
    return share * route.target_latency_seconds
