"""`milletcourse demo`: an end-to-end deployment in one process over loopback."""

from __future__ import annotations

import asyncio
import random
import sys
from typing import Annotated, Any

import aiohttp
import msgspec
import typer

from milletcourse.errors import PROBLEM_TYPE_PREFIX
from milletcourse.logs import configure_logs
from milletcourse.operations.keys import mint_key
from milletcourse.runtime.clock import LoopClock
from milletcourse.runtime.process import wait_for_stop_signal
from milletcourse.standins.answers import answer_text
from milletcourse.standins.embedded import (
    MODEL,
    OPERATOR_KEY,
    TENANT_KEYS,
    WEIGHT_VERSION,
    EmbeddedCluster,
)

RULES_TEXT = "No member works more than five nights in a row. " * 700
REQUESTS = 12
ANSWER_TOKENS = 24


class DemoSummary(msgspec.Struct, frozen=True):
    """Summary of the demo's traffic."""

    served: int
    streamed: int
    wrong: int
    prompt_tokens: int
    cached_tokens: int
    hit_rate: float
    swap_executions: int
    refused_type: str
    refused_run_state: str


def run_demo(
    serve: Annotated[bool, typer.Option(help="Keep running after the summary.")] = False,
) -> None:
    """Start stand-ins and two routers on loopback, send traffic and print a summary."""
    configure_logs("error")
    sys.exit(asyncio.run(_demo(serve)))


async def _demo(serve: bool) -> int:
    cluster = EmbeddedCluster()
    await cluster.start()
    summary = await _traffic(cluster)
    _print(summary)
    if serve:
        _print_addresses(cluster)
        await wait_for_stop_signal()
    await cluster.stop()
    succeeded = summary.wrong == 0 and summary.swap_executions == 1 and summary.refused_type
    return 0 if succeeded else 1


async def _traffic(cluster: EmbeddedCluster) -> DemoSummary:
    served = streamed = wrong = prompt_tokens = cached_tokens = 0
    async with aiohttp.ClientSession() as session:
        for index in range(REQUESTS):
            router = cluster.routers[index % len(cluster.routers)]
            stream = index % 2 == 0
            text, usage = await _ask(session, router.address, index, stream)
            served += 1
            streamed += int(stream)
            wrong += int(text != answer_text(MODEL, WEIGHT_VERSION, _prompt(index), ANSWER_TOKENS))
            prompt_tokens += usage["prompt_tokens"]
            cached_tokens += usage["prompt_tokens_details"]["cached_tokens"]
        executions = await _swap_twice(session, cluster)
        refusal = await _refused(session, cluster.routers[0].address)
    return DemoSummary(
        served=served,
        streamed=streamed,
        wrong=wrong,
        prompt_tokens=prompt_tokens,
        cached_tokens=cached_tokens,
        hit_rate=round(cached_tokens / prompt_tokens, 3),
        swap_executions=executions,
        refused_type=refusal["type"].removeprefix(PROBLEM_TYPE_PREFIX),
        refused_run_state=refusal["run_state"],
    )


def _prompt(index: int) -> str:
    return f"{RULES_TEXT}Question {index}: when is my next shift?"


async def _ask(
    session: aiohttp.ClientSession, address: str, index: int, stream: bool
) -> tuple[str, dict[str, Any]]:
    body = {
        "model": MODEL,
        "prompt": _prompt(index),
        "max_tokens": ANSWER_TOKENS,
        "stream": stream,
        "stream_options": {"include_usage": True},
    }
    headers = {"Authorization": f"Bearer {TENANT_KEYS['nurses']}"}
    url = f"http://{address}/v1/completions"
    async with session.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        if not stream:
            document = await response.json()
            return document["choices"][0]["text"], document["usage"]
        texts: list[str] = []
        usage: dict[str, Any] = {}
        async for line in response.content:
            if not line.startswith(b"data: {"):
                continue
            event = msgspec.json.decode(line[6:])
            texts.extend(choice["text"] for choice in event["choices"])
            usage = event.get("usage") or usage
        return "".join(texts), usage


async def _swap_twice(session: aiohttp.ClientSession, cluster: EmbeddedCluster) -> int:
    """Send the same swap through both routers; returns its number of executions."""
    await asyncio.sleep(2.0)
    key = mint_key(LoopClock().wall(), random.Random())
    headers = {"Authorization": f"Bearer {TENANT_KEYS['nurses']}", "Idempotency-Key": key}
    for router in cluster.routers:
        url = f"http://{router.address}/apps/roster/swaps"
        async with session.post(url, json={"from": 7, "to": 9}, headers=headers) as response:
            await response.read()
    return len(cluster.ledger.executions.get(key, []))


async def _refused(session: aiohttp.ClientSession, address: str) -> dict[str, Any]:
    """Send a request that is refused: an operator's key matches no workload."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    body = {"model": MODEL, "prompt": "hello"}
    url = f"http://{address}/v1/completions"
    async with session.post(url, json=body, headers=headers) as response:
        return msgspec.json.decode(await response.read())


def _print(summary: DemoSummary) -> None:
    for name, value in msgspec.structs.asdict(summary).items():
        sys.stdout.write(f"{name:20} {value}\n")
    sys.stdout.flush()


def _print_addresses(cluster: EmbeddedCluster) -> None:
    for router in cluster.routers:
        sys.stdout.write(f"router               http://{router.address}\n")
    sys.stdout.write(f"tenant key           {TENANT_KEYS['nurses']}\n")
    sys.stdout.write(f"operator key         {OPERATOR_KEY}\n")
    sys.stdout.flush()
