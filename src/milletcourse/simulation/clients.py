"""Simulated clients, which stream, resume, write and read, and verify every answer."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import msgspec

from milletcourse.errors import BackendUnreachable, FailureError
from milletcourse.operations.keys import mint_key
from milletcourse.runtime.http import HttpRequest, HttpResponse
from milletcourse.runtime.memory_http import MemoryHttpClient
from milletcourse.simulation.crashing_prompts import CRASH_MARKER
from milletcourse.simulation.deployment import (
    APPLICATION,
    CARE_TENANTS,
    GUARD_TENANT,
    MODEL,
    key_of,
)
from milletcourse.simulation.world import World
from milletcourse.standins.answers import answer_text

CLIENT_TIMEOUT_SECONDS = 30.0
STREAM_TIMEOUT_SECONDS = 60.0
MAX_ATTEMPTS = 6
DUPLICATE_WRITE_SHARE = 0.2
RULES_CHARACTERS = 9000
HISTORY_CHARACTERS = 4500
KNOWN_VERSIONS = ("1", "2", "3")


@dataclass(slots=True)
class Refusal:
    """A problem document received by a client."""

    type: str
    run_state: str
    retry_after_seconds: float | None
    request_id: str = ""
    cause: str = ""


@dataclass(slots=True)
class ClientTotals:
    """Totals over all clients."""

    requests: int = 0
    served: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    done_keys: list[str] = field(default_factory=list)
    not_run_keys: list[str] = field(default_factory=list)
    not_run_requests: list[str] = field(default_factory=list)
    refusal_seconds: list[float] = field(default_factory=list)

    def on_served(self) -> None:
        """Count a request that received its complete answer."""
        self.requests += 1
        self.served += 1

    def on_refused(self, kind: str) -> None:
        """Count a request that ended without a complete answer."""
        self.requests += 1
        self.refused[kind] = self.refused.get(kind, 0) + 1


@dataclass(slots=True)
class _Stream:
    text: str = ""
    event_id: str = ""
    done: bool = False
    refusal: Refusal | None = None


class SimulatedClients:
    """Concurrent callers that share one host.

    Args:
        world: The cluster.
        mean_pause_seconds: Mean time between the requests of one caller.
        write_share: Share of writes among the requests.
        tokens: Length of a completion in tokens.
        retry: Whether callers retry at another router after a failure.
    """

    def __init__(
        self,
        world: World,
        mean_pause_seconds: float = 0.5,
        write_share: float = 0.3,
        tokens: int = 12,
        retry: bool = True,
    ) -> None:
        self.world = world
        self.totals = ClientTotals()
        self._client = MemoryHttpClient(world.client_host)
        self._random = random.Random(f"{world.seed}/clients")
        self._mean_pause_seconds = mean_pause_seconds
        self._write_share = write_share
        self._tokens = tokens
        self._retry = retry
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, callers: int) -> None:
        """Start the callers."""
        self._tasks = [asyncio.ensure_future(self._caller(number)) for number in range(callers)]

    async def finish(self) -> None:
        """Stop sending new requests and wait for those in flight."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _caller(self, number: int) -> None:
        count = 0
        while not self._stopping:
            await asyncio.sleep(self._random.expovariate(1.0 / self._mean_pause_seconds))
            if self._stopping:
                return
            count += 1
            selection = self._random.random()
            if selection < self._write_share:
                await self.write(f"swap {number}/{count}")
            elif selection < self._write_share + 0.05:
                await self._read()
            else:
                await self.stream_completion(number, count)

    # -- inference ------------------------------------------------------------------------------

    async def stream_completion(self, number: int, count: int) -> None:
        """Stream one completion, resume it at other routers after failures, and verify it."""
        tenants = (*CARE_TENANTS, GUARD_TENANT)
        tenant = tenants[number % len(tenants)]
        rules = f"rules {number % 2} ".ljust(RULES_CHARACTERS, "r")
        history = f"history of {number} ".ljust(HISTORY_CHARACTERS, "h")
        prompt = f"{rules}{history}question {count % 5}"
        body = msgspec.json.encode(
            {"model": MODEL, "prompt": prompt, "max_tokens": self._tokens, "stream": True}
        )
        stream = _Stream()
        refusal = Refusal("no-router", "not_run", None)
        for _ in range(MAX_ATTEMPTS if self._retry else 1):
            started_at = self.world.now()
            await self._stream_once(tenant, body, stream)
            if stream.done:
                break
            if stream.refusal is not None:
                refusal = stream.refusal
                self._record_refusal(refusal, started_at)
                if refusal.retry_after_seconds is None:
                    break
                await asyncio.sleep(refusal.retry_after_seconds)
                stream.refusal = None
            if not stream.event_id:
                stream = _Stream()
        self._check_answer(prompt, stream, refusal)

    async def repeat_crashing_request(self, times: int, pause_seconds: float) -> None:
        """Send the same prompt, which crashes engines, several times as separate requests."""
        prompt = f"{CRASH_MARKER} ".ljust(HISTORY_CHARACTERS, "x")
        body = msgspec.json.encode(
            {"model": MODEL, "prompt": prompt, "max_tokens": self._tokens, "stream": True}
        )
        for _ in range(times):
            await self._stream_once(CARE_TENANTS[0], body, _Stream())
            await asyncio.sleep(pause_seconds)

    def _record_refusal(self, refusal: Refusal, started_at: float) -> None:
        self.totals.refusal_seconds.append(self.world.now() - started_at)
        if refusal.run_state == "not_run" and refusal.request_id:
            self.totals.not_run_requests.append(refusal.request_id)

    def _check_answer(self, prompt: str, stream: _Stream, refusal: Refusal) -> None:
        answers = [answer_text(MODEL, version, prompt, self._tokens) for version in KNOWN_VERSIONS]
        if stream.done:
            if stream.text not in answers:
                self.world.record_violation("stream-complete-in-order", stream.text[:60])
            self.totals.on_served()
            self.world.record_event("served")
            return
        if not any(answer.startswith(stream.text) for answer in answers):
            self.world.record_violation("stream-correct-prefix", stream.text[:60])
        self.totals.on_refused(refusal.type)
        self.world.record_event(f"refused {refusal.type}")

    async def _stream_once(self, tenant: str, body: bytes, stream: _Stream) -> None:
        headers = {"Authorization": f"Bearer {key_of(tenant)}"}
        if stream.event_id:
            headers["Last-Event-ID"] = stream.event_id
        response = await self._send("POST", "/v1/completions", body, headers)
        if response is None:
            return
        try:
            if response.status != 200:
                stream.refusal = _refusal(response, await response.read())
                return
            async with asyncio.timeout(STREAM_TIMEOUT_SECONDS):
                await self._read_events(response, stream)
        except (FailureError, TimeoutError):
            return
        finally:
            await response.close()

    async def _read_events(self, response: HttpResponse, stream: _Stream) -> None:
        pending = b""
        async for chunk in response.chunks():
            pending += chunk
            *events, pending = pending.split(b"\n\n")
            for event in events:
                self._on_event(event, stream)

    def _on_event(self, event: bytes, stream: _Stream) -> None:
        event_id = ""
        for line in event.split(b"\n"):
            if line.startswith(b"id: "):
                event_id = line[4:].decode()
            elif line == b"data: [DONE]":
                stream.done = True
            elif line.startswith(b"data: "):
                document = msgspec.json.decode(line[6:])
                if "error" in document:
                    error = document["error"]
                    stream.refusal = Refusal(
                        error["code"], error["run_state"], error.get("retry_after_seconds")
                    )
                    continue
                for choice in document["choices"]:
                    stream.text += choice["text"]
                if event_id:
                    stream.event_id = event_id

    # -- applications ---------------------------------------------------------------------------

    async def write(self, text: str) -> None:
        """Send one write, sometimes as two concurrent requests with the same idempotency key."""
        key = mint_key(self.world.wall(), self._random)
        senders = 2 if self._random.random() < DUPLICATE_WRITE_SHARE else 1
        await asyncio.gather(*(self._write_once(text, key) for _ in range(senders)))

    async def _write_once(self, text: str, key: str) -> None:
        """Send one idempotency key through several routers until its outcome is known."""
        headers = {
            "Authorization": f"Bearer {key_of(CARE_TENANTS[0])}",
            "Idempotency-Key": key,
            "Content-Type": "text/plain",
        }
        outcome = "unknown"
        for _ in range(MAX_ATTEMPTS if self._retry else 1):
            response = await self._send(
                "POST", f"/apps/{APPLICATION}/swaps", text.encode(), headers
            )
            if response is None:
                await asyncio.sleep(0.2)
                continue
            try:
                body = await response.read()
            except FailureError:
                continue
            if response.status < 300:
                outcome = "done"
                break
            refusal = _refusal(response, body)
            outcome = refusal.cause or refusal.type
            if refusal.run_state == "not_run":
                self.totals.not_run_keys.append(key)
                break
            if refusal.retry_after_seconds is None:
                break
            await asyncio.sleep(refusal.retry_after_seconds)
        self._finish_write(key, outcome)

    def _finish_write(self, key: str, outcome: str) -> None:
        self.world.record_event(f"write {outcome}")
        if outcome == "done":
            self.totals.done_keys.append(key)
            self.totals.on_served()
        else:
            self.totals.on_refused(f"write:{outcome}")

    async def _read(self) -> None:
        headers = {"Authorization": f"Bearer {key_of(CARE_TENANTS[0])}"}
        for _ in range(MAX_ATTEMPTS):
            response = await self._send("GET", f"/apps/{APPLICATION}/shifts", b"", headers)
            if response is None:
                continue
            try:
                await response.read()
            except FailureError:
                continue
            if response.status == 200:
                self.totals.on_served()
                return
            await asyncio.sleep(0.5)
        self.totals.on_refused("read:failed")

    # -- transport ------------------------------------------------------------------------------

    async def _send(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> HttpResponse | None:
        """Send to a random router that accepts connections; None when no answer arrives."""
        routers = list(self.world.routers)
        self._random.shuffle(routers)
        for router in routers:
            request = HttpRequest(method, router.host.address, path, body, headers, False)
            try:
                return await self._client.send(request, CLIENT_TIMEOUT_SECONDS)
            except FailureError as error:
                if not isinstance(error.failure, BackendUnreachable):
                    return None
        await asyncio.sleep(0.1)
        return None


def _refusal(response: HttpResponse, body: bytes) -> Refusal:
    document = msgspec.json.decode(body)
    return Refusal(
        str(document["type"]).rpartition(":")[2],
        document["run_state"],
        document.get("retry_after_seconds"),
        response.headers.get("X-Request-Id", ""),
        str(document.get("cause", "")).rpartition(":")[2],
    )
