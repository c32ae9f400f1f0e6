"""Asks a reader what the object store holds, and fetches the contents that it announces."""

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
from milletcourse.exchange.replication.pending_contents import FedUpdate, PendingContents
from milletcourse.exchange.replication.reader_selection import GatewayRecord, ReaderSelection
from milletcourse.gateway.servers.call_client import Call, CallClient, Reply
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.store_feed import CONTENT_PATH, FEED_PATH

FEED_MARGIN_SECONDS = 0.4
"""A reader that answers this much later than asked for is taken as silent."""
QUICK_SECONDS = 0.1
"""A refusal this soon shows a live machine, whose process may just be starting."""
CONTENT_SECONDS = 3.0
"""A content that doesn't begin to come by now is given up. The reader sends it to all its followers
at once; whether it lives shows in its answers meanwhile."""


class FeedOutcome(Enum):
    """What a question to a reader gave."""

    FED = "fed"
    REFUSED = "refused"
    """It can't vouch for what it knows, or its process isn't there."""
    SILENT = "silent"
    OUTDATED = "outdated"
    """Its proof is older than on any calm day, and no change is on its way to it."""
    CONTENT_MISSING = "content-missing"
    """It announced a content, and didn't bring it."""


class FeedClient:
    """Learns from one reader at a time, and hands it on to the mirrors."""

    def __init__(
        self,
        context: GatewayContext,
        calls: CallClient,
        plan: ReaderSelection,
        mirrors: Sequence[KindMirror],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        """Nothing asked yet.

        Args:
            context: The gateway.
            calls: Sends the questions.
            plan: Told how readers do.
            mirrors: What is asked for; the first one is that whose calls prove that the reader
                reads the store.
            spawn: Starts a task in the background.
        """
        self._context = context
        self._calls = calls
        self._plan = plan
        self._mirrors = {mirror.kind: mirror for mirror in mirrors}
        self._proven = mirrors[0]
        self._spawn = spawn
        self._reader = ""
        self._pending = PendingContents()
        self._proved_at = float("-inf")
        """Of the latest answer."""
        self._fetches: dict[str, asyncio.Task[None]] = {}
        self._is_content_missing = False

    async def ask(
        self,
        reader: GatewayRecord,
        hold_seconds: float,
        margin_seconds: float = FEED_MARGIN_SECONDS,
    ) -> FeedOutcome:
        """Ask a reader what came, and take it.

        Args:
            reader: The reader.
            hold_seconds: How long it keeps the question while there is no news.
            margin_seconds: Time beyond that after which it is taken as silent.
        """
        if reader.name != self._reader:
            self.leave()
            self._reader = reader.name
        context = self._context
        positions = self._positions()
        question = FeedRequest(
            positions,
            hold_seconds,
            True,
            context.configuration_version,
            context.confirmed_era.latest,
        )
        asked_at = self._context.now()
        reply = await self._calls.call(
            reader.feed,
            Call("POST", FEED_PATH, encode_feed_request(question)),
            hold_seconds + margin_seconds,
        )
        answer = (
            decode_feed_response(reply.body) if reply is not None and reply.status == 200 else None
        )
        if reply is None or answer is None:
            return self._on_no_answer(reader, reply, asked_at)
        self._proved_at = reply.sent_at + answer.proof_offset
        self._take(answer, {item.kind: item.position for item in positions}, reader)
        if self._is_content_missing:
            self.leave()
            self._plan.on_failed(reader.name, self._context.now(), answered=False)
            return FeedOutcome.CONTENT_MISSING
        self._plan.on_success(reader.name)
        return FeedOutcome.FED if self._is_current(answer) else FeedOutcome.OUTDATED

    def leave(self) -> None:
        """The reader is left; what it announced doesn't come from it any more."""
        for task in self._fetches.values():
            task.cancel()
        self._fetches.clear()
        self._pending.clear()
        self._reader = ""
        self._is_content_missing = False

    def _on_no_answer(
        self, reader: GatewayRecord, reply: Reply | None, asked_at: float
    ) -> FeedOutcome:
        self.leave()
        now = self._context.now()
        answered = reply is not None or now - asked_at < QUICK_SECONDS
        self._plan.on_failed(reader.name, now, answered)
        return FeedOutcome.REFUSED if answered else FeedOutcome.SILENT

    def _is_current(self, answer: FeedResponse) -> bool:
        """Whether the store would tell no more than the reader does."""
        age = self._context.now() - self._proved_at
        if answer.is_receiving:
            return age <= self._context.reading.max_receiving_age
        return age <= self._context.reading.steady_state_age

    def _positions(self) -> list[FeedPosition]:
        return [
            FeedPosition(kind, self._pending.position(kind, mirror.place))
            for kind, mirror in self._mirrors.items()
        ]

    # -- taking ---------------------------------------------------------------------------------

    def _take(
        self, answer: FeedResponse, asked: dict[str, StorePosition | None], reader: GatewayRecord
    ) -> None:
        self._context.confirmed_era.on_peer_confirmed(answer.confirmed_era)
        offset = answer.unpublished_offset
        not_out_at = self._proved_at - answer.proof_offset + offset if offset is not None else None
        for fed in answer.kinds:
            if fed.kind not in self._mirrors:
                continue
            self._apply_all(self._pending.take(fed, asked[fed.kind]))
            if fed.kind in self._pending:
                is_proven = fed.kind == self._proven.kind
                effect = answer.effect if is_proven else None
                self._mirrors[fed.kind].on_announced(effect, not_out_at)
                self._fetch(reader, fed.kind)
        told = {fed.kind for fed in answer.kinds}
        for kind, mirror in self._mirrors.items():
            if kind in self._pending:
                mirror.on_pending_proof(self._proved_at)
            elif kind not in told:
                mirror.on_proof(self._proved_at)
        is_news = self._proven.kind in told or answer.is_receiving
        if not is_news and self._proven.kind not in self._pending:
            self._context.on_lost_configuration(answer.configuration)
        if answer.is_receiving and not_out_at is not None and self._proven.kind not in told:
            self._proven.on_announced(None, not_out_at)

    def _apply_all(self, updates: list[FedUpdate]) -> None:
        for update in updates:
            kind = update.fed.kind
            mirror = self._mirrors[kind]
            # While more waits behind it, it isn't all that there is.
            is_all = kind not in self._pending and update is updates[-1]
            proved_at = self._proved_at if is_all else mirror.proved_at
            try:
                if not mirror.on_fed(update, proved_at):
                    self._pending.drop(kind)
                    return
            except PatchError as error:
                problem = error.problem.value
                self._context.record.store.content_differs(kind, self._reader, problem)
                self._pending.on_patch_mismatch(kind)
                self._is_content_missing = update.fed.is_snapshot
                return

    # -- contents -------------------------------------------------------------------------------

    def _fetch(self, reader: GatewayRecord, kind: str) -> None:
        running = self._fetches.get(kind)
        if running is None or running.done():
            self._fetches[kind] = self._spawn(self._fetch_all(reader, kind))

    async def _fetch_all(self, reader: GatewayRecord, kind: str) -> None:
        """One after the other, since each is made from the one before."""
        while (question := self._pending.missing(kind)) is not None:
            patch = await self._fetch_one(reader, question)
            if patch is None:
                self._pending.drop(kind)
                self._is_content_missing = True
                return
            self._apply_all(self._pending.on_patch(question, patch))

    async def _fetch_one(
        self, reader: GatewayRecord, question: ContentRequest
    ) -> ContentPatch | None:
        call = Call("POST", CONTENT_PATH, encode_content_request(question))
        reply = await self._calls.call(reader.feed, call, CONTENT_SECONDS)
        patch = decode_patch(reply.body) if reply is not None and reply.status == 200 else None
        if patch is None or patch.is_announcement or patch.result != question.result:
            return None
        return patch
