"""Engine stand-in: runs `EngineCore` in real time and serves its streams, feed and transfers."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import AsyncIterator, Callable

import msgspec

from milletcourse.backends.engine_messages import (
    CacheEvent,
    CacheEvents,
    EngineCompletion,
    EngineLoad,
    EngineOrder,
    EngineToken,
    KvBlock,
    KvBlocks,
    KvExport,
    KvKeys,
    KvTransfer,
)
from milletcourse.errors import (
    BackendRefused,
    FailureError,
    FencingTokenSpent,
    MalformedRequest,
)
from milletcourse.prefix.blocks import BlockHash, block_chain
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.http import HttpClient, json_request, send_for_body
from milletcourse.runtime.tasks import TaskSet
from milletcourse.standins.answers import answer_seed, answer_token
from milletcourse.standins.block_pool import Provenance
from milletcourse.standins.engine_core import EngineCore, EngineProfile, EngineRequest
from milletcourse.standins.engine_faults import EngineFaults

RESUME_WINDOW_SECONDS = 5.0
"""Time for which a stream without readers is kept for a resume before it is cancelled."""
KV_BYTES_PER_BLOCK = 64 * 1024 * 1024
MAX_PAGE_EVENTS = 500
TRANSFER_TIMEOUT_SECONDS = 10.0


class AnswerStream:
    """Tokens produced for one request, kept until the resume window ends."""

    def __init__(self, request_id: str, attempt: int, seed: int, first_offset: int) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.seed = seed
        self.first_offset = first_offset
        self.tokens: list[EngineToken] = []
        self.ended = False
        self.readers = 0
        self._changed = asyncio.Event()

    def append(self, token: EngineToken) -> None:
        """Append a token and wake the readers."""
        self.tokens.append(token)
        self.ended = token.usage is not None or bool(token.error)
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake the waiting readers, so that they check for new tokens."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next token."""
        await self._changed.wait()


class EngineApp:
    """One engine incarnation, as served over HTTP."""

    def __init__(
        self,
        name: str,
        core: EngineCore,
        clock: Clock,
        client: HttpClient,
        random_source: random.Random,
        weight_store: str = "",
    ) -> None:
        self.name = name
        self.core = core
        self.clock = clock
        self.client = client
        self.weight_store = weight_store
        self.faults = EngineFaults()
        self.streams: dict[str, AnswerStream] = {}
        self.on_accept: Callable[[EngineCompletion], None] | None = None
        self._random = random_source
        self._tasks = TaskSet(f"engine/{name}")
        self._work_available = asyncio.Event()
        self._feed: deque[tuple[float, CacheEvent]] = deque(maxlen=20_000)
        self._next_published_sequence = 1
        self._loads: deque[tuple[float, EngineLoad]] = deque()
        self._transfers = asyncio.Lock()

    @property
    def profile(self) -> EngineProfile:
        """Speeds and sizes of the engine."""
        return self.core.profile

    async def start(self) -> None:
        """Start the computation."""
        self._tasks.spawn(self._compute(), "compute")

    async def stop(self) -> None:
        """Refuse new requests, finish the running ones and stop."""
        self.core.leaving = True
        while self.core.requests:
            await self.clock.sleep(0.02)
        await self._tasks.close()

    def kill(self) -> None:
        """Simulate a crash."""
        self._tasks.cancel_all()

    async def _compute(self) -> None:
        while True:
            duration = self.core.begin_step()
            if duration is None:
                self._work_available.clear()
                await self._work_available.wait()
                continue
            await self.clock.sleep(duration + self.faults.stall_seconds)
            for emission in self.core.finish_step():
                stream = self.streams[emission.request_id]
                stream.append(
                    EngineToken(
                        emission.request_id,
                        stream.attempt,
                        emission.offset,
                        answer_token(stream.seed, emission.offset),
                        emission.usage,
                    )
                )
                if emission.usage is not None:
                    self._tasks.spawn(self._remove_after_resume_window(stream), "forget")
            self._publish()

    def _publish(self) -> None:
        now = self.clock.monotonic()
        for event in self.core.events_after(self._next_published_sequence, MAX_PAGE_EVENTS):
            self._next_published_sequence = event.sequence + 1
            if self._random.random() >= self.faults.event_loss:
                self._feed.append((now + self.faults.event_delay_seconds, event))
        self._loads.append((now, self.core.load()))
        while len(self._loads) > 1 and self._loads[1][0] <= now - self.faults.load_lag_seconds:
            self._loads.popleft()

    async def _remove_after_resume_window(self, stream: AnswerStream) -> None:
        await self.clock.sleep(RESUME_WINDOW_SECONDS)
        if self.streams.get(stream.request_id) is stream:
            del self.streams[stream.request_id]

    def reported_load(self) -> EngineLoad:
        """Return the load report, delayed by the configured lag."""
        self._publish()
        since, load = self._loads[0]
        age = self.clock.monotonic() - since
        return msgspec.structs.replace(
            load, leaving=self.core.leaving, models=dict(self.core.loaded), age_seconds=age
        )

    def visible_events(self, after: int) -> CacheEvents:
        """Return the cache events from a sequence number on that are already visible."""
        now = self.clock.monotonic()
        visible = tuple(
            event for due, event in self._feed if due <= now and event.sequence >= after
        )[:MAX_PAGE_EVENTS]
        following = visible[-1].sequence + 1 if visible else after
        return CacheEvents(self.core.incarnation, after, visible, following)

    def accept(self, completion: EngineCompletion) -> AnswerStream:
        """Validate and queue a completion.

        Raises:
            FailureError: When the engine is draining or does not serve the requested weights.
        """
        if self.core.leaving:
            raise FailureError(BackendRefused("leaving", None, 503))
        if self.core.loaded.get(completion.model) != completion.weight_version:
            raise FailureError(BackendRefused("the requested weights are not loaded", None, 409))
        if completion.max_tokens < 1:
            raise FailureError(MalformedRequest("max_tokens must be at least 1"))
        if self.on_accept is not None:
            self.on_accept(completion)
        root = bytes.fromhex(completion.cache_salt)
        blocks = block_chain(root, (completion.prompt + completion.generated).encode())
        seed = answer_seed(completion.model, completion.weight_version, completion.prompt)
        stream = AnswerStream(
            completion.request_id, completion.attempt, seed, completion.generated_tokens
        )
        former = self.streams.get(completion.request_id)
        if former is not None and not former.ended:
            self.cancel(completion.request_id)
        self.streams[completion.request_id] = stream
        request = EngineRequest(
            request_id=completion.request_id,
            blocks=blocks,
            output_tokens=completion.max_tokens - completion.generated_tokens,
            first_offset=completion.generated_tokens,
            priority=completion.priority,
            tenant=completion.tenant,
            weight_version=completion.weight_version,
        )
        transfer = completion.kv_transfer_params
        self.core.submit(request, importing=transfer is not None)
        if transfer is not None:
            self._tasks.spawn(self._import_for_request(request, transfer), "import")
        self._work_available.set()
        return stream

    def cancel(self, request_id: str) -> None:
        """Cancel a request and end its stream."""
        stream = self.streams.pop(request_id, None)
        self.core.cancel(request_id)
        if stream is not None and not stream.ended:
            offset = stream.first_offset + len(stream.tokens)
            stream.append(EngineToken(request_id, stream.attempt, offset, error="cancelled"))

    async def _import_for_request(self, request: EngineRequest, transfer: KvTransfer) -> None:
        try:
            await self.import_blocks(transfer.source, request.blocks.hashes[: transfer.blocks])
        except FailureError:
            pass
        finally:
            self.core.import_finished(request.request_id)
            self._work_available.set()

    async def import_blocks(self, source: str, chain: tuple[BlockHash, ...]) -> int:
        """Fetch the missing blocks of a chain and return the number of received ones."""
        missing = chain[self.core.pool.cached_prefix(chain) :]
        if not missing:
            return 0
        async with self._transfers:
            keys = KvKeys(tuple(block.hex() for block in missing))
            status, body = await send_for_body(
                self.client,
                json_request("POST", source, "/v1/blocks/fetch", keys),
                TRANSFER_TIMEOUT_SECONDS,
            )
            if status != 200:
                raise FailureError(BackendRefused("the source refused the import", None, status))
            blocks = msgspec.json.decode(body, type=KvBlocks).blocks
            await self.clock.sleep(len(blocks) * self.profile.import_seconds_per_block)
        self.core.store_imported(
            [
                (
                    bytes.fromhex(item.block),
                    Provenance(
                        item.producer_tenant, item.producer_version, item.producer_incarnation
                    ),
                )
                for item in blocks
            ]
        )
        self._publish()
        return len(blocks)

    def cached_blocks(self, keys: tuple[str, ...]) -> KvBlocks:
        """Return the requested blocks up to the first one that is not cached."""
        found = []
        for key in keys:
            block = bytes.fromhex(key)
            if block not in self.core.pool:
                break
            source = self.core.pool.provenance(block)
            found.append(
                KvBlock(
                    key,
                    KV_BYTES_PER_BLOCK,
                    source.tenant,
                    source.weight_version,
                    source.incarnation,
                )
            )
        return KvBlocks(tuple(found))

    async def export_blocks(self, order: KvExport) -> int:
        """Send cached blocks to a KV store and return their number."""
        cached_blocks = self.cached_blocks(order.blocks)
        if cached_blocks.blocks:
            request = json_request("POST", order.store, "/v1/blocks", cached_blocks)
            await send_for_body(self.client, request, TRANSFER_TIMEOUT_SECONDS)
        return len(cached_blocks.blocks)

    async def execute_order(self, order: EngineOrder) -> None:
        """Execute an order with a fencing token.

        Raises:
            FailureError: `FencingTokenSpent` when a higher token was received before.
        """
        if not self.core.accept_token(order.fencing_token):
            raise FailureError(
                FencingTokenSpent(f"token {self.core.fencing_token} was received before")
            )
        if order.kind == "load":
            await self._load_weights(order)
        elif order.kind == "unload":
            self.core.loaded.pop(order.model, None)
        elif order.kind == "drain":
            self.core.leaving = True
        else:
            raise FailureError(MalformedRequest("kind must be load, unload or drain"))

    async def _load_weights(self, order: EngineOrder) -> None:
        if self.weight_store:
            path = f"/v1/weights/{order.model}/{order.weight_version}"
            request = json_request("GET", self.weight_store, path)
            status, _ = await send_for_body(self.client, request, TRANSFER_TIMEOUT_SECONDS)
            if status != 200:
                raise FailureError(
                    BackendRefused("the weight store refused the request", None, status)
                )
        else:
            await self.clock.sleep(self.profile.load_seconds)
        if order.fencing_token < self.core.fencing_token:
            raise FailureError(FencingTokenSpent("a later order arrived during the load"))
        self.core.install_weights(order.model, order.weight_version)

    async def read(self, stream: AnswerStream, offset: int) -> AsyncIterator[bytes]:
        """Yield the tokens of a stream from an offset on, as server-sent events."""
        stream.readers += 1
        try:
            index = max(offset - stream.first_offset, 0)
            while True:
                while index < len(stream.tokens):
                    for token in self._with_faults(stream.tokens[index]):
                        yield b"data: " + msgspec.json.encode(token) + b"\n\n"
                    index += 1
                if stream.ended:
                    return
                await stream.wait()
        finally:
            stream.readers -= 1
            if not stream.ended and not stream.readers:
                self._tasks.spawn(self._cancel_unread(stream), "unread")

    def _with_faults(self, token: EngineToken) -> list[EngineToken]:
        tokens = [token]
        if self.faults.cross_tokens:
            others = [item for item in self.streams.values() if item.tokens]
            tokens.insert(0, self._random.choice(others).tokens[-1])
        if self.faults.duplicate_tokens:
            tokens.insert(0, token)
        return tokens

    async def _cancel_unread(self, stream: AnswerStream) -> None:
        await self.clock.sleep(RESUME_WINDOW_SECONDS)
        unread = not stream.readers and not stream.ended
        if unread and self.streams.get(stream.request_id) is stream:
            self.cancel(stream.request_id)
