"""Client of the engine protocol; the only module that contains its paths."""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec

from milletcourse.backends.engine_messages import (
    INCARNATION_HEADER,
    EngineCompletion,
    EngineFeed,
    EngineOrder,
    EngineToken,
    KvExport,
    KvKeys,
)
from milletcourse.errors import BackendLost, BackendRefused, FailureError
from milletcourse.exchange.messages.message_bounds import MAX_EVENT_BYTES
from milletcourse.prefix.blocks import BlockHash
from milletcourse.runtime.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    json_request,
    send_for_body,
)
from milletcourse.runtime.record_splitter import RecordSplitter

HEAD_TIMEOUT_SECONDS = 5.0
"""An engine sends the response head before it starts to compute."""
CONTROL_TIMEOUT_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 30.0
EVENT_END = b"\n\n"
DATA_FIELD = b"data: "

_decode_token = msgspec.json.Decoder(EngineToken).decode


class EngineStream:
    """An open answer stream."""

    def __init__(self, response: HttpResponse) -> None:
        self._response = response
        self.incarnation = response.headers.get(INCARNATION_HEADER, "")

    async def batches(self) -> AsyncIterator[list[EngineToken]]:
        """Yield events as they arrive, in batches.

        Raises:
            FailureError: `BackendLost`.
        """
        splitter = RecordSplitter(EVENT_END, MAX_EVENT_BYTES)
        try:
            async for chunk in self._response.chunks():
                events = splitter.feed(chunk)
                if splitter.is_oversized:
                    raise FailureError(BackendLost("the stream contains an event without end"))
                tokens = [
                    _decode_token(event[len(DATA_FIELD) :])
                    for event in events
                    if event.startswith(DATA_FIELD)
                ]
                if tokens:
                    yield tokens
        except msgspec.DecodeError as error:
            raise FailureError(
                BackendLost("the stream contains an event that cannot be decoded")
            ) from error

    def abort(self) -> None:
        """Make a pending read fail."""
        self._response.abort()

    async def close(self) -> None:
        """Close the stream."""
        await self._response.close()


class EngineClient:
    """Calls engines."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def complete(self, address: str, completion: EngineCompletion) -> EngineStream:
        """Start an answer, on a dedicated connection.

        Refusals of engines name no request: on a shared connection a late refusal of another
        request would pass for the answer to this.

        Raises:
            FailureError: `BackendUnreachable`, `BackendLost` or `BackendRefused`.
        """
        request = json_request("POST", address, "/v1/completions", completion, is_dedicated=True)
        return await self._open(request)

    async def resume(
        self, address: str, request_id: str, attempt: int, offset: int
    ) -> EngineStream:
        """Continue reading an answer that the engine still holds; raises like `complete`."""
        path = f"/v1/streams/{request_id}?attempt={attempt}&offset={offset}"
        return await self._open(json_request("GET", address, path))

    async def _open(self, request: HttpRequest) -> EngineStream:
        response = await self._client.send(request, HEAD_TIMEOUT_SECONDS)
        if response.status != 200:
            status = response.status
            await response.close()
            raise FailureError(BackendRefused(f"engine answered {status}", None, status))
        return EngineStream(response)

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel an answer; failures are ignored, since engines cancel unread streams anyway."""
        try:
            await self._control(json_request("POST", address, f"/v1/streams/{request_id}/cancel"))
        except FailureError:
            return

    async def feed(self, address: str, after: int) -> EngineFeed:
        """Fetch the load report and the cache events starting at a sequence number."""
        body = await self._control(json_request("GET", address, f"/v1/feed?after={after}"))
        return msgspec.json.decode(body, type=EngineFeed)

    async def cached_blocks(self, address: str) -> tuple[BlockHash, ...]:
        """List all blocks that the engine holds, to resynchronise after a gap in its events."""
        body = await self._control(json_request("GET", address, "/v1/blocks"))
        keys = msgspec.json.decode(body, type=KvKeys)
        return tuple(bytes.fromhex(block) for block in keys.blocks)

    async def export(self, address: str, store: str, blocks: tuple[BlockHash, ...]) -> None:
        """Request an export of blocks to a KV store."""
        order = KvExport(store, tuple(block.hex() for block in blocks))
        request = json_request("POST", address, "/v1/kv/export", order)
        await self._control(request, ORDER_TIMEOUT_SECONDS)

    async def order(self, address: str, order: EngineOrder) -> None:
        """Send a fenced order, on a dedicated connection for the same reason as a completion.

        Raises:
            FailureError: `BackendRefused` with status 409 when the fencing token is stale.
        """
        request = json_request("POST", address, "/v1/orders", order, is_dedicated=True)
        await self._control(request, ORDER_TIMEOUT_SECONDS)

    async def _control(
        self, request: HttpRequest, timeout_seconds: float = CONTROL_TIMEOUT_SECONDS
    ) -> bytes:
        status, body = await send_for_body(self._client, request, timeout_seconds)
        if status != 200:
            raise FailureError(BackendRefused(f"engine answered {status}", None, status))
        return body
