"""Invalid input, limits and refusals at the HTTP API of an embedded deployment over loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import msgspec
import pytest

from milletcourse.errors import PROBLEM_TYPE_PREFIX
from milletcourse.standins.embedded import MODEL, OPERATOR_KEY, TENANT_KEYS, EmbeddedCluster

NURSE = {"Authorization": f"Bearer {TENANT_KEYS['nurses']}"}
OPERATOR = {"Authorization": f"Bearer {OPERATOR_KEY}"}
GOOD = {"model": MODEL, "prompt": "hello", "max_tokens": 3}


def with_cluster(
    work: Callable[[EmbeddedCluster, aiohttp.ClientSession], Awaitable[None]],
) -> None:
    """Run a coroutine against a started deployment."""

    async def body() -> None:
        cluster = EmbeddedCluster()
        await cluster.start()
        try:
            async with aiohttp.ClientSession() as session:
                await work(cluster, session)
        finally:
            await cluster.stop()

    asyncio.run(body())


async def post(
    session: aiohttp.ClientSession,
    cluster: EmbeddedCluster,
    data: Any,
    headers: dict[str, str],
    path: str = "/v1/completions",
) -> tuple[int, dict[str, Any]]:
    """POST raw bytes to the first router."""
    url = f"http://{cluster.routers[0].address}{path}"
    async with session.post(url, data=data, headers=headers) as response:
        return response.status, msgspec.json.decode(await response.read())


BAD_INPUT: list[tuple[str, bytes, dict[str, str], int, str]] = [
    ("broken-json", b"{", NURSE, 400, "malformed-request"),
    ("wrong-type", b'{"model":1,"prompt":"x"}', NURSE, 400, "malformed-request"),
    ("bad-utf8", b'{"model":"m","prompt":"\xff"}', NURSE, 400, "malformed-request"),
    ("too-deep", b"[" * 5000 + b"]" * 5000, NURSE, 400, "malformed-request"),
    ("empty-prompt", b'{"model":"roster-large","prompt":""}', NURSE, 400, "malformed-request"),
    (
        "zero-tokens",
        b'{"model":"roster-large","prompt":"x","max_tokens":-1}',
        NURSE,
        400,
        "malformed-request",
    ),
    ("unknown-model", b'{"model":"nope","prompt":"x"}', NURSE, 404, "unknown-model"),
    ("no-key", msgspec.json.encode(GOOD), {}, 401, "unauthenticated"),
    (
        "wrong-key",
        msgspec.json.encode(GOOD),
        {"Authorization": "Bearer x"},
        401,
        "unauthenticated",
    ),
    ("no-workload", msgspec.json.encode(GOOD), OPERATOR, 403, "no-matching-workload"),
    ("large-body", b"x" * (5 * 1024 * 1024), NURSE, 413, "body-too-large"),
    (
        "large-header",
        msgspec.json.encode(GOOD),
        {**NURSE, "X-Filler-1": "a" * 7000, "X-Filler-2": "b" * 7000, "X-Filler-3": "c" * 7000},
        431,
        "headers-too-large",
    ),
]


def test_bad_input_gets_typed_answers_and_disturbs_nothing() -> None:
    """Each case returns its status, type and run state; a valid request then succeeds."""

    async def work(cluster: EmbeddedCluster, session: aiohttp.ClientSession) -> None:
        for name, data, headers, status, code in BAD_INPUT:
            got, document = await post(session, cluster, data, headers)
            assert (name, got, document["type"]) == (name, status, PROBLEM_TYPE_PREFIX + code)
            assert document["run_state"] == "not_run"
        status, document = await post(session, cluster, msgspec.json.encode(GOOD), NURSE)
        assert status == 200
        assert document["usage"]["completion_tokens"] == 3
        status, document = await post(
            session, cluster, msgspec.json.encode(GOOD), {**NURSE, "Last-Event-ID": "forged"}
        )
        assert document["type"] == PROBLEM_TYPE_PREFIX + "resume-token-invalid"

    with_cluster(work)


def test_slow_body_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that does not send its whole body receives a 408 response."""

    async def work(cluster: EmbeddedCluster, session: aiohttp.ClientSession) -> None:
        guard = cluster.routers[0].node.application
        monkeypatch.setattr(guard, "_body_timeout_seconds", 0.2)
        host, _, port = cluster.routers[0].address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{")
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 408 " in head
        writer.close()

    with_cluster(work)


def test_administration_accepts_refuses_and_explains() -> None:
    """Compare-and-set with a typed conflict, dry run, explanation and rollout."""

    async def work(cluster: EmbeddedCluster, session: aiohttp.ClientSession) -> None:
        base = f"http://{cluster.routers[0].address}/admin/v1"

        async def call(method: str, path: str, document: Any = None) -> tuple[int, Any]:
            async with session.request(
                method, base + path, json=document, headers=OPERATOR
            ) as response:
                return response.status, msgspec.json.decode(await response.read())

        async with session.get(base + "/objects", headers=NURSE) as refused:
            assert refused.status == 403
        _, stored = await call("GET", "/objects/Workload/nurse-checks")
        spec = {**stored["spec"], "run": {}}
        change = {"spec": spec, "version": stored["version"], "dry_run": True}
        _, dry = await call("PUT", "/objects/Workload/nurse-checks", change)
        assert not dry["accepted"]
        assert dry["effect"][0]["gains"] == ["engine-2"]
        change["dry_run"] = False
        status, accepted = await call("PUT", "/objects/Workload/nurse-checks", change)
        assert status == 200 and accepted["accepted"]
        status, conflict = await call("PUT", "/objects/Workload/nurse-checks", change)
        assert (status, conflict["run_state"]) == (409, "not_run")
        assert conflict["current"]["version"] == accepted["revision"]
        status, invalid = await call("PUT", "/objects/Engine/x", {"spec": {"address": 1}})
        assert (status, invalid["type"]) == (422, PROBLEM_TYPE_PREFIX + "invalid-object")
        for _ in range(200):
            _, rollout = await call("GET", f"/rollout/{accepted['revision']}")
            if rollout["complete"] and len(rollout["in_force"]) == 2:
                break
            await asyncio.sleep(0.05)
        assert rollout["in_force"] == ["router-0", "router-1"]
        _, explanation = await call("GET", f"/explain?tenant=nurses&model={MODEL}")
        assert all(item["permitted"] for item in explanation["backends"])
        _, members = await call("GET", "/members")
        assert [item["state"] for item in members["members"]] == ["alive", "alive"]

    with_cluster(work)
