"""Tokens per second through a router over loopback TCP, against a direct connection.

Client, router and engine share one process and one event loop, so the CPU time of the router is the
difference between the routed run and the direct run.
"""

from __future__ import annotations

import asyncio
import resource
import time
from dataclasses import dataclass

import aiohttp
import msgspec
import numpy

from milletcourse.backends.engine_messages import EngineCompletion
from milletcourse.standins.embedded import MODEL, TENANT_KEYS, EmbeddedCluster
from milletcourse.standins.engine_core import EngineProfile

STREAMS = 48
TOKENS = 250
PROMPT = "How do I swap my shift? " * 8
PROFILE = EngineProfile(
    step_overhead_seconds=0.02,
    decode_seconds_per_sequence=0.00005,
    prefill_tokens_per_second=1_000_000.0,
)


class RelayResult(msgspec.Struct, frozen=True):
    """Results of one benchmark run.

    Attributes:
        direct_tokens_per_second: Without a router.
        routed_tokens_per_second: Through one router.
        router_microseconds_per_token: Additional CPU time per token.
        router_core_fraction: Additional CPU time divided by the duration of the routed run.
        direct_first_token_p95_seconds: Time to first token without a router.
        routed_first_token_p95_seconds: Time to first token through one router.
        first_token_ratio: Routed time to first token divided by the direct one.
    """

    direct_tokens_per_second: float
    routed_tokens_per_second: float
    router_microseconds_per_token: float
    router_core_fraction: float
    direct_first_token_p95_seconds: float
    routed_first_token_p95_seconds: float
    first_token_ratio: float


@dataclass(slots=True)
class _Run:
    tokens: int
    elapsed_seconds: float
    processor_seconds: float
    first_token_p95_seconds: float


async def measure_relay() -> RelayResult:
    """Run direct, then routed, in one process."""
    cluster = EmbeddedCluster(profile=PROFILE, router_count=1)
    await cluster.start()
    try:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            engines = [engine.address for engine in cluster.engines[:2]]
            await _run(session, [_direct(engines[index % 2], index) for index in range(STREAMS)])
            direct = await _run(
                session, [_direct(engines[index % 2], 1000 + index) for index in range(STREAMS)]
            )
            router = cluster.routers[0].address
            await _run(session, [_routed(router, index) for index in range(STREAMS)])
            routed = await _run(session, [_routed(router, 1000 + i) for i in range(STREAMS)])
    finally:
        await cluster.stop()
    added = routed.processor_seconds - direct.processor_seconds
    return RelayResult(
        round(direct.tokens / direct.elapsed_seconds, 1),
        round(routed.tokens / routed.elapsed_seconds, 1),
        round(added / routed.tokens * 1e6, 1),
        round(added / routed.elapsed_seconds, 3),
        round(direct.first_token_p95_seconds, 4),
        round(routed.first_token_p95_seconds, 4),
        round(routed.first_token_p95_seconds / direct.first_token_p95_seconds, 2),
    )


@dataclass(frozen=True, slots=True)
class _Call:
    url: str
    body: bytes
    headers: dict[str, str]


def _direct(engine: str, number: int) -> _Call:
    completion = EngineCompletion(
        MODEL, PROMPT, TOKENS, f"direct-{number}", 1, "00" * 16, "1", tenant="bench"
    )
    return _Call(f"http://{engine}/v1/completions", msgspec.json.encode(completion), {})


def _routed(router: str, number: int) -> _Call:
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": TOKENS, "stream": True}
    headers = {"Authorization": f"Bearer {TENANT_KEYS['nurses']}"}
    return _Call(f"http://{router}/v1/completions", msgspec.json.encode(body), headers)


async def _run(session: aiohttp.ClientSession, calls: list[_Call]) -> _Run:
    before = resource.getrusage(resource.RUSAGE_SELF)
    started_at = time.perf_counter()
    results = await asyncio.gather(*(_read(session, call) for call in calls))
    elapsed = time.perf_counter() - started_at
    after = resource.getrusage(resource.RUSAGE_SELF)
    processor = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    tokens = sum(count for count, _ in results)
    p95 = float(numpy.percentile([first for _, first in results], 95))
    return _Run(tokens, elapsed, processor, p95)


async def _read(session: aiohttp.ClientSession, call: _Call) -> tuple[int, float]:
    started_at = time.perf_counter()
    first = 0.0
    events = 0
    async with session.post(call.url, data=call.body, headers=call.headers) as response:
        async for chunk in response.content.iter_any():
            if not first:
                first = time.perf_counter() - started_at
            events += chunk.count(b"data: {")
    return events, first
