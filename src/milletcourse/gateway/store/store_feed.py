"""Serves the contents of the object store to the gateways that follow this one."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from milletcourse.errors import MalformedRequest, NotFound, NotReady
from milletcourse.exchange.messages.feed_messages import (
    FeedRequest,
    FeedResponse,
    decode_content_request,
    decode_feed_request,
    encode_feed_response,
    encode_patch,
)
from milletcourse.exchange.messages.messages import HeaderField
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.clients.refusals import refuse
from milletcourse.gateway.clients.request_reader import ClientRequest
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.store.kind_mirror import KindMirror

FEED_PATH = "/feed"
CONTENT_PATH = "/content"
MAX_HOLD_SECONDS = 5.0
"""Upper bound of the hold time that a request may ask for."""
MIN_WAIT_SECONDS = 0.01
_JSON = HeaderField(b"Content-Type", b"application/json")
_BINARY = HeaderField(b"Content-Type", b"application/octet-stream")


class StoreFeed:
    """Answers the feed requests of followers from the mirrors.

    It attests what the store holds, not that the configuration found there is valid: each gateway
    decides that from its own state.
    """

    def __init__(
        self, context: GatewayContext, mirrors: Sequence[KindMirror], proof_mirror: KindMirror
    ) -> None:
        """Create a feed and subscribe it to the mirrors.

        Args:
            context: The gateway.
            mirrors: Kinds that are served.
            proof_mirror: The one of them whose calls prove that the store is read here.
        """
        self._context = context
        self._proof_mirror = proof_mirror
        self._mirrors = {mirror.kind: mirror for mirror in mirrors}
        self._waiters: set[asyncio.Future[None]] = set()
        for mirror in mirrors:
            mirror.on_change = self._wake

    async def handle(self, request: ClientRequest, client: ClientConnection) -> None:
        """Answer one request; the handler of `ClientConnection`."""
        if request.target == CONTENT_PATH.encode():
            self._answer_content(request, client)
        else:
            await self._answer_feed(request, client)

    def _answer_content(self, request: ClientRequest, client: ClientConnection) -> None:
        """Send an announced content, which is identified by its checksums."""
        query = decode_content_request(request.body)
        if query is None:
            refuse(client, MalformedRequest("malformed content request"))
            return
        mirror = self._mirrors.get(query.kind)
        patch = None
        if mirror is not None:
            patch = mirror.patch(query.name, query.base, query.result)
        if patch is None:
            refuse(client, NotFound("this content isn't available here"))
            return
        client.send_whole(200, b"", [_BINARY], encode_patch(patch))

    async def _answer_feed(self, request: ClientRequest, client: ClientConnection) -> None:
        received_at = self._context.now()
        query = decode_feed_request(request.body)
        if query is None:
            refuse(client, MalformedRequest("malformed feed request"))
            return
        self._note_positions(query)
        self._note_configuration(query)
        self._context.confirmed_era.on_peer_confirmed(query.confirmed_era)
        await self._wait_for_changes(query, received_at)
        if not self._can_attest() or self._is_an_era_behind(query):
            refuse(client, NotReady("this gateway isn't reading the store at present"))
            return
        changed_kinds = [
            self._mirrors[requested.kind].since(requested.position, query.accepts_patches)
            for requested in query.positions
            if requested.kind in self._mirrors
        ]
        proof_offset = self._proof_mirror.proved_at - received_at
        changes = [kind for kind in changed_kinds if kind is not None]
        response = self._with_pending_change(
            FeedResponse(changes, proof_offset), query, received_at
        )
        client.send_whole(200, b"", [_JSON], encode_feed_response(response, query.accepts_patches))

    def _with_pending_change(
        self, response: FeedResponse, query: FeedRequest, received_at: float
    ) -> FeedResponse:
        """Add what is known of a newer configuration that the response doesn't contain."""
        context = self._context
        effect = not_committed_at = None
        if any(
            kind.kind == self._proof_mirror.kind and kind.is_announced for kind in response.kinds
        ):
            effect = context.effects.since(query.configuration)
            not_committed_at = context.effects.not_committed_at(query.configuration)
        else:
            not_committed_at = context.lag.not_committed_at
        return msgspec.structs.replace(
            response,
            is_receiving=self._proof_mirror.is_receiving,
            effect=effect,
            unpublished_offset=not_committed_at - received_at
            if not_committed_at is not None
            else None,
            configuration=context.configuration_version,
            confirmed_era=context.confirmed_era.latest,
        )

    def _note_configuration(self, query: FeedRequest) -> None:
        """Detect that the store has lost a configuration which a follower has in force.

        Such a follower has a later configuration, but no later position of the store.
        """
        known = self._proof_mirror.position
        requested = next(
            (item.position for item in query.positions if item.kind == self._proof_mirror.kind),
            None,
        )
        if known is not None and requested is not None and requested <= known:
            self._context.on_lost_configuration(query.configuration)

    def _note_positions(self, query: FeedRequest) -> None:
        for requested in query.positions:
            mirror = self._mirrors.get(requested.kind)
            known = mirror.position if mirror is not None else None
            if known is not None and requested.position is not None:
                self._context.record.store.follower_position(
                    requested.kind, requested.position, known
                )

    def _is_an_era_behind(self, query: FeedRequest) -> bool:
        """Whether the follower knows of a restore of the store that isn't known here yet.

        The proofs of this gateway then belong to a history that the store has lost.
        """
        for requested in query.positions:
            mirror = self._mirrors.get(requested.kind)
            known = mirror.position if mirror is not None else None
            position = requested.position
            if position is not None and known is not None and position.era > known.era:
                return True
        return False

    def _can_attest(self) -> bool:
        """Whether the mirrors are current enough to be served.

        The allowed age is higher while this gateway is receiving a change: followers that fell back
        to the store would only request the same content from it.
        """
        context = self._context
        if not context.reads_store or context.stopping:
            return False
        age = context.now() - self._proof_mirror.proved_at
        if self._proof_mirror.is_receiving:
            return age <= context.replication_times.max_receiving_age
        return age <= context.replication_times.max_proof_age

    def _is_proof_current(self) -> bool:
        return self._context.now() <= self._proof_ends_at()

    def _proof_ends_at(self) -> float:
        return self._proof_mirror.proved_at + self._context.replication_times.max_proof_age

    async def _wait_for_changes(self, query: FeedRequest, received_at: float) -> None:
        """Wait until there are changes, or until the request has been held long enough."""
        until = received_at + min(query.hold_seconds, MAX_HOLD_SECONDS)
        if self._is_an_era_behind(query):
            return
        while self._can_attest() and not self._has_changes(query):
            ends_at = min(until, self._proof_ends_at()) if self._is_proof_current() else until
            seconds = ends_at - self._context.now()
            if seconds <= 0 and ends_at == until:
                return
            await self._wait(max(seconds, MIN_WAIT_SECONDS))

    async def _wait(self, seconds: float) -> None:
        waiter = self._context.loop.create_future()
        self._waiters.add(waiter)
        timer = self._context.loop.call_later(seconds, _resolve, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiters.discard(waiter)

    def _has_changes(self, query: FeedRequest) -> bool:
        return any(
            self._mirrors[requested.kind].has_changes(requested.position)
            for requested in query.positions
            if requested.kind in self._mirrors
        )

    def _wake(self) -> None:
        for waiter in self._waiters:
            _resolve(waiter)


def _resolve(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
