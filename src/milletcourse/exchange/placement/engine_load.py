"""Load that a request puts on a model server, and how long it would wait there; no input/output.

A server runs a bounded number of requests at once (slots), keeps all their tokens in a bounded
KV cache, and prefills prompts in chunks between the decode steps of the requests that it runs.
"""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.messages.records import RouteRecord, ServiceRecord, TenantRecord
from milletcourse.exchange.placement.reuse_scope import request_rank

PREFILL_TOKENS_PER_SECOND = 40_000.0
"""Prefill speed of servers, in the order of today's engines. It is a constant, since estimating it
from the times of first events doesn't improve placement."""
RUNNING_REQUEST_SECONDS = 0.004
"""Estimated delay that each running request adds to a new request."""
SLOT_WAIT_SECONDS = 0.15
"""Wait for a slot per request that is ahead in the queue. Streams of some 300 tokens take 1.5 s at
an idle server and 2.5 s between prefill chunks, so one of 16 slots becomes free in about this
time."""
MEMORY_FULL_SECONDS = 0.4
"""Cost of a prompt that doesn't fit into a server's memory. A running request is preempted and its
prompt prefilled again: some 9,000 tokens, during which all streams of the server wait."""
GENERATED_FRACTION = 0.5
"""Mean memory use of a request for its output, as a fraction of its maximum output tokens."""
GAP_FRACTION = 0.7
"""Continuous prefill for this fraction of the allowed gap of streams makes their next event late:
an event holds several tokens, and each of them waits for a prefill chunk."""
LATE_STREAM_SECONDS = 0.03
"""Cost per stream that a prompt makes late. Without this cost one stream in twenty is late for this
reason even at normal load."""
MAX_WAIT_TARGET_FACTOR = 1.25
"""A request of the highest rank is refused when its expected wait at the best server exceeds this
multiple of its route's target latency: its answer would be late, and make others late. For the
middle ranks of most requests the bound is about the target. Without a bound an overload sustains
itself: with a quarter of 45 servers unavailable from 2.5 s to 16.5 s, two in five requests are late
until 24 s, against 14 s with a bound of 0.4 s. A small fleet needs a higher bound: five servers
under high load serve 0.926 of what they must with 0.8, 0.940 with 1.0 and 0.950 with 1.25."""
RANK_FACTOR = 0.9
"""Factor on the bound for each lower rank, so that less urgent requests are refused first."""
CLIENT_SILENCE_SECONDS = 2.0
"""A client closes a stream that was silent for this long, or for longer by the next two factors."""
CLIENT_SILENCE_TARGET_FACTOR = 4.0
"""The same, as a multiple of the route's target latency."""
CLIENT_SILENCE_GAP_FACTOR = 8.0
"""The same, as a multiple of the longest allowed gap between events."""


class ServerLoad(msgspec.Struct, frozen=True):
    """Load of one server, by all gateways together.

    Attributes:
        waiting_tokens: Prompt tokens to prefill for requests without a first event.
        requests: Requests that it works on.
        memory_tokens: Memory that these requests use, in tokens.
    """

    waiting_tokens: int
    requests: int
    memory_tokens: int


def memory_tokens(request: ExchangeRequest) -> int:
    """Memory that a request uses while it runs, in tokens."""
    return request.prompt_tokens + int(GENERATED_FRACTION * request.output_tokens)


def queue_seconds(load: ServerLoad) -> float:
    """Time to prefill the prompts that wait at a server; a stream that goes on overtakes them."""
    return load.waiting_tokens / PREFILL_TOKENS_PER_SECOND


def wait_seconds(service: ServiceRecord, load: ServerLoad, request: ExchangeRequest) -> float:
    """Expected time until a server starts to prefill a request's prompt.

    Args:
        service: Service of the server, with the capacity of its servers.
        load: Load of the server.
        request: The request, which isn't part of the load.
    """
    seconds = queue_seconds(load) + load.requests * RUNNING_REQUEST_SECONDS
    if service.slots:
        seconds += max(load.requests + 1 - service.slots, 0) * SLOT_WAIT_SECONDS
    memory = load.memory_tokens + memory_tokens(request)
    # Only the server itself knows whether a prompt fits into its memory when it is empty.
    if load.memory_tokens and 0 < service.capacity_tokens < memory:
        seconds += MEMORY_FULL_SECONDS * memory / service.capacity_tokens
    return seconds


def interference_seconds(
    load: ServerLoad, request: ExchangeRequest, max_gap_seconds: float
) -> float:
    """Cost of the gaps that a prompt causes in the streams of a server with other waiting prompts.

    Args:
        load: Load of the server.
        request: The request; its unshared part is prefilled wherever it runs.
        max_gap_seconds: Longest allowed gap between events of streams; 0 when none is set.
    """
    unshared_tokens = request.prompt_tokens - request.shared_tokens
    prefill_seconds = (load.waiting_tokens + unshared_tokens) / PREFILL_TOKENS_PER_SECOND
    if (
        not load.waiting_tokens
        or not max_gap_seconds
        or prefill_seconds <= GAP_FRACTION * max_gap_seconds
    ):
        return 0.0
    return load.requests * LATE_STREAM_SECONDS


def max_wait_seconds(route: RouteRecord, tenant: TenantRecord | None) -> float:
    """Longest expected wait at which a request is sent to a server instead of refused.

    It is unlimited for routes without a target latency.
    """
    if not route.target_latency_seconds:
        return float("inf")
    share = MAX_WAIT_TARGET_FACTOR * RANK_FACTOR ** request_rank(route, tenant)
    return share * route.target_latency_seconds


def max_resume_wait_seconds(route: RouteRecord, seconds_left: float) -> float:
    """Longest expected wait at which a stream that has begun is still sent to a server.

    The target latency was for its first event. Now its client waits as long as it bears silence.

    Args:
        route: Route of the stream.
        seconds_left: Time until its deadline.
    """
    silence_seconds = max(
        CLIENT_SILENCE_SECONDS,
        CLIENT_SILENCE_TARGET_FACTOR * route.target_latency_seconds,
        CLIENT_SILENCE_GAP_FACTOR * route.gap_seconds,
    )
    return min(silence_seconds, seconds_left)
