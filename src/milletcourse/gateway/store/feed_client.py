"""Polls a reader for changes of the object store, and fetches the contents that it announces."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from enum import Enum
from typing import Any

from milletcourse.exchange.messages.content_patch import ContentPatch, PatchError
from milletcourse.exchange.messages.feed_messages import (
    ContentRequest,
    FeedPosition,
    FeedRequest,
    FeedResponse,
    decode_feed_response,
    decode_patch,
    encode_content_request,
    encode_feed_request,
)
from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.exchange.replication.pending_contents import PendingContents, PendingUpdate
from milletcourse.exchange.replication.reader_selection import GatewayRecord, ReaderSelection
from milletcourse.gateway.servers.call_client import STATE_REPLY, Call, CallClient, Reply
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.store_feed import CONTENT_PATH, FEED_PATH

FEED_TIMEOUT_MARGIN_SECONDS = 0.4
"""A reader whose response is this much later than the requested hold counts as silent."""
QUICK_REFUSAL_SECONDS = 0.1
"""A refusal within this time shows that the machine runs; its process may just be starting."""
CONTENT_TIMEOUT_SECONDS = 3.0
"""The fetch of a content is aborted when its response hasn't started after this time. The time is
long, since a reader sends a content to all its followers at once; its other responses show
meanwhile that it is alive."""


class FeedOutcome(Enum):
    """Result of polling a reader."""

    SYNCED = "fed"
    REFUSED = "refused"
    """It can't attest that its state is current, or its process isn't running."""
    SILENT = "silent"
    OUTDATED = "outdated"
    """Its proof is older than a stable store explains, and it isn't receiving a change."""
    CONTENT_MISSING = "content-missing"
    """It announced a content, but didn't send it."""


class FeedClient:
    """Polls one reader at a time, and applies its responses to the mirrors."""

    def __init__(
        self,
        context: GatewayContext,
        calls: CallClient,
        reader_selection: ReaderSelection,
        mirrors: Sequence[KindMirror],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        """Create a client that follows no reader yet.

        Args:
            context: The gateway.
            calls: Sends the requests.
            reader_selection: Notified of the success or failure of readers.
            mirrors: Kinds that are requested. The calls of the first one prove that the reader
                reads the store.
            spawn: Starts a task in the background.
        """
        self._context = context
        self._calls = calls
        self._reader_selection = reader_selection
        self._mirrors = {mirror.kind: mirror for mirror in mirrors}
        self._proof_mirror = mirrors[0]
        self._spawn = spawn
        self._reader_name = ""
        self._pending = PendingContents()
        self._proved_at = float("-inf")
        """Time of the proof in the latest response."""
        self._fetches: dict[str, asyncio.Task[None]] = {}
        self._is_content_missing = False

    async def poll(
        self,
        reader: GatewayRecord,
        hold_seconds: float,
        margin_seconds: float = FEED_TIMEOUT_MARGIN_SECONDS,
    ) -> FeedOutcome:
        """Request the changes from a reader, and apply them.

        Args:
            reader: The reader.
            hold_seconds: How long it holds the request while there are no changes.
            margin_seconds: Time beyond that after which it counts as silent.
        """
        if reader.name != self._reader_name:
            self.disconnect()
            self._reader_name = reader.name
        context = self._context
        positions = self._positions()
        query = FeedRequest(
            positions,
            hold_seconds,
            True,
            context.configuration_version,
            context.confirmed_era.latest,
        )
        sent_at = self._context.now()
        reply = await self._calls.call(
            reader.feed,
            Call("POST", FEED_PATH, encode_feed_request(query)),
            hold_seconds + margin_seconds,
            bounds=STATE_REPLY,
        )
        response = (
            decode_feed_response(reply.body) if reply is not None and reply.status == 200 else None
        )
        if reply is None or response is None:
            return self._on_no_response(reader, reply, sent_at)
        self._proved_at = reply.sent_at + response.proof_offset
        self._apply_response(response, {item.kind: item.position for item in positions}, reader)
        if self._is_content_missing:
            self.disconnect()
            self._reader_selection.on_failed(reader.name, self._context.now(), answered=False)
            return FeedOutcome.CONTENT_MISSING
        self._reader_selection.on_success(reader.name)
        return FeedOutcome.SYNCED if self._is_current(response) else FeedOutcome.OUTDATED

    def disconnect(self) -> None:
        """Stop following the reader, and drop the contents that it announced."""
        for task in self._fetches.values():
            task.cancel()
        self._fetches.clear()
        self._pending.clear()
        self._reader_name = ""
        self._is_content_missing = False

    def _on_no_response(
        self, reader: GatewayRecord, reply: Reply | None, sent_at: float
    ) -> FeedOutcome:
        self.disconnect()
        now = self._context.now()
        answered = reply is not None or now - sent_at < QUICK_REFUSAL_SECONDS
        self._reader_selection.on_failed(reader.name, now, answered)
        return FeedOutcome.REFUSED if answered else FeedOutcome.SILENT

    def _is_current(self, response: FeedResponse) -> bool:
        """Whether reading the store directly would show nothing more than the reader does."""
        age = self._context.now() - self._proved_at
        if response.is_receiving:
            return age <= self._context.replication_times.max_receiving_age
        return age <= self._context.replication_times.steady_state_age

    def _positions(self) -> list[FeedPosition]:
        return [
            FeedPosition(kind, self._pending.position(kind, mirror.position))
            for kind, mirror in self._mirrors.items()
        ]

    # -- applying responses ---------------------------------------------------------------------

    def _apply_response(
        self,
        response: FeedResponse,
        requested: dict[str, StorePosition | None],
        reader: GatewayRecord,
    ) -> None:
        self._context.confirmed_era.on_peer_confirmed(response.confirmed_era)
        offset = response.unpublished_offset
        not_committed_at = (
            self._proved_at - response.proof_offset + offset if offset is not None else None
        )
        for changes in response.kinds:
            if changes.kind not in self._mirrors:
                continue
            self._apply_updates(self._pending.take(changes, requested[changes.kind]))
            if changes.kind in self._pending:
                is_proven = changes.kind == self._proof_mirror.kind
                effect = response.effect if is_proven else None
                self._mirrors[changes.kind].on_announced(effect, not_committed_at)
                self._start_fetch(reader, changes.kind)
        reported_kinds = {changes.kind for changes in response.kinds}
        for kind, mirror in self._mirrors.items():
            if kind in self._pending:
                mirror.on_pending_proof(self._proved_at)
            elif kind not in reported_kinds:
                mirror.on_proof(self._proved_at)
        has_change = self._proof_mirror.kind in reported_kinds or response.is_receiving
        if not has_change and self._proof_mirror.kind not in self._pending:
            self._context.on_lost_configuration(response.configuration)
        if (
            response.is_receiving
            and not_committed_at is not None
            and self._proof_mirror.kind not in reported_kinds
        ):
            self._proof_mirror.on_announced(None, not_committed_at)

    def _apply_updates(self, updates: list[PendingUpdate]) -> None:
        for update in updates:
            kind = update.changes.kind
            mirror = self._mirrors[kind]
            # An update with others pending after it does not prove the current state.
            is_last = kind not in self._pending and update is updates[-1]
            proved_at = self._proved_at if is_last else mirror.proved_at
            try:
                if not mirror.apply_update(update, proved_at):
                    self._pending.drop(kind)
                    return
            except PatchError as error:
                problem = error.problem.value
                self._context.record.store.content_differs(kind, self._reader_name, problem)
                self._pending.on_patch_mismatch(kind)
                self._is_content_missing = update.changes.is_snapshot
                return

    # -- contents -------------------------------------------------------------------------------

    def _start_fetch(self, reader: GatewayRecord, kind: str) -> None:
        running = self._fetches.get(kind)
        if running is None or running.done():
            self._fetches[kind] = self._spawn(self._fetch_contents(reader, kind))

    async def _fetch_contents(self, reader: GatewayRecord, kind: str) -> None:
        """Fetch the pending contents in order, since each is a patch of the one before."""
        while (query := self._pending.missing(kind)) is not None:
            patch = await self._fetch_one(reader, query)
            if patch is None:
                self._pending.drop(kind)
                self._is_content_missing = True
                return
            self._apply_updates(self._pending.on_patch(query, patch))

    async def _fetch_one(self, reader: GatewayRecord, query: ContentRequest) -> ContentPatch | None:
        call = Call("POST", CONTENT_PATH, encode_content_request(query))
        reply = await self._calls.call(
            reader.feed, call, CONTENT_TIMEOUT_SECONDS, bounds=STATE_REPLY
        )
        patch = decode_patch(reply.body) if reply is not None and reply.status == 200 else None
        if patch is None or patch.is_announcement or patch.result != query.result:
            return None
        return patch
