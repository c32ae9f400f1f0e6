"""Messages between routers over HTTP: claims, configuration pages and status.

Every message is an authenticated envelope in the body of `POST /internal/v1/message`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from milletcourse.configuration.store import ChangesPage, ChangesRequest
from milletcourse.errors import BackendRefused, FailureError, WireError
from milletcourse.membership.messages import (
    MemberRecord,
    MembershipMessage,
    MessageKind,
    PlatformStamp,
)
from milletcourse.operations.messages import ClaimReply, ClaimRequest
from milletcourse.runtime.http import HttpClient, HttpRequest, send_for_body
from milletcourse.wire.claims import (
    decode_claim,
    decode_claim_reply,
    encode_claim,
    encode_claim_reply,
)
from milletcourse.wire.envelope import Envelope, EnvelopeCodec, MessageType
from milletcourse.wire.membership import decode_membership, encode_membership

PEER_PATH = "/internal/v1/message"
PEER_TIMEOUT_SECONDS = 2.0
WIRE_CONTENT_TYPE = "application/octet-stream"


class RouterStatus(msgspec.Struct, frozen=True):
    """Status that a router reports to its peers.

    Attributes:
        name: Router name.
        incarnation: Its incarnation.
        revision: Configuration revision in force.
        fresh: Whether it can prove that its configuration is up to date.
        draining: Whether it is shutting down.
    """

    name: str
    incarnation: int
    revision: int
    fresh: bool
    draining: bool


class PeerClient:
    """Calls other routers."""

    def __init__(
        self, name: str, incarnation: int, codec: EnvelopeCodec, client: HttpClient
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._codec = codec
        self._client = client

    async def changes(self, address: str, request: ChangesRequest) -> ChangesPage:
        """Fetch one page of configuration changes; raises FailureError."""
        body = msgspec.msgpack.encode(request)
        reply = await self._call(address, MessageType.CHANGES_REQUEST, body)
        return msgspec.msgpack.decode(reply.body, type=ChangesPage)

    async def claim(self, address: str, request: ClaimRequest) -> ClaimReply:
        """Send one step of a claim; raises FailureError."""
        reply = await self._call(address, MessageType.CLAIM, encode_claim(request))
        return decode_claim_reply(reply.body)

    async def status(self, address: str) -> RouterStatus:
        """Fetch a router's status; raises FailureError."""
        reply = await self._call(address, MessageType.STATUS_REQUEST, b"")
        return msgspec.msgpack.decode(reply.body, type=RouterStatus)

    async def members(self, address: str, own: MemberRecord) -> tuple[MemberRecord, ...]:
        """Join through a peer and fetch the members that it knows; raises FailureError."""
        message = MembershipMessage(MessageKind.GOSSIP, 0, "", 0, PlatformStamp(), (own,))
        reply = await self._call(address, MessageType.JOIN, encode_membership(message))
        return decode_membership(reply.body).records

    async def _call(self, address: str, message_type: MessageType, body: bytes) -> Envelope:
        payload = self._codec.encode(Envelope(message_type, self._name, self._incarnation, body))
        headers = {"Content-Type": WIRE_CONTENT_TYPE}
        request = HttpRequest("POST", address, PEER_PATH, payload, headers)
        status, answer = await send_for_body(self._client, request, PEER_TIMEOUT_SECONDS)
        if status != 200:
            raise FailureError(BackendRefused("the peer refused the message", None, status))
        return self._codec.decode(answer)


class PeerServer:
    """Handles messages from other routers."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        codec: EnvelopeCodec,
        on_claim: Callable[[ClaimRequest], Awaitable[ClaimReply]],
        on_changes: Callable[[ChangesRequest], ChangesPage],
        on_status: Callable[[], RouterStatus],
        on_join: Callable[[tuple[MemberRecord, ...]], tuple[MemberRecord, ...]],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._codec = codec
        self._on_claim = on_claim
        self._on_changes = on_changes
        self._on_status = on_status
        self._on_join = on_join

    async def handle(self, payload: bytes) -> bytes:
        """Handle one message and return the encoded reply.

        Raises:
            FailureError: `WireError` if the message is not authentic or not a request.
        """
        envelope = self._codec.decode(payload)
        if envelope.message_type is MessageType.CLAIM:
            reply = await self._on_claim(decode_claim(envelope.body))
            return self._reply(MessageType.CLAIM_REPLY, encode_claim_reply(reply))
        if envelope.message_type is MessageType.CHANGES_REQUEST:
            request = msgspec.msgpack.decode(envelope.body, type=ChangesRequest)
            page = self._on_changes(request)
            return self._reply(MessageType.CHANGES_PAGE, msgspec.msgpack.encode(page))
        if envelope.message_type is MessageType.STATUS_REQUEST:
            status = msgspec.msgpack.encode(self._on_status())
            return self._reply(MessageType.STATUS_REPLY, status)
        if envelope.message_type is MessageType.JOIN:
            known = self._on_join(decode_membership(envelope.body).records)
            answer = MembershipMessage(MessageKind.GOSSIP, 0, "", 0, PlatformStamp(), known)
            return self._reply(MessageType.JOIN, encode_membership(answer))
        raise FailureError(WireError("the message is not a request"))

    def _reply(self, message_type: MessageType, body: bytes) -> bytes:
        return self._codec.encode(Envelope(message_type, self._name, self._incarnation, body))
