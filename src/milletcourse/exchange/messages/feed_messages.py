"""Messages of the feed from a gateway that reads the object store to its followers; no I/O.

A follower sends a long-poll request with the store positions that it has, and gets a response when
there are later changes, or after a timeout. A freshness proof is sent as a difference on the
reader's clock: the send time of the proven store call minus the arrival time of the feed request.
Since a request is sent no later than it arrives, the follower dates the proof at its own send time
plus that difference; neither the response's transit time nor the offset between the two clocks
affects it.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from milletcourse.exchange.messages.compression import deflate, inflate
from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.messages.content_patch import ContentPatch
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.runtime.decode_errors import DECODE_ERRORS

COMPRESSED_FROM_BYTES = 4096
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Largest size of a response before compression."""
_JSON_ARRAY = b"["


class FeedPosition(msgspec.Struct, array_like=True, frozen=True):
    """A follower's position in the changes of one kind of objects.

    Attributes:
        kind: Kind of the objects.
        position: Store position up to which the follower has them, None when it has none.
    """

    kind: str
    position: StorePosition | None


class FeedRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests the changes after some positions.

    Attributes:
        positions: The follower's position for each kind.
        hold_seconds: Longest time that the reader waits for a change before it responds.
        accepts_patches: The follower supports patches and compressed responses.
        configuration: Version of the configuration that is in force at the follower, 0 for none.
        confirmed_era: Latest store era that the follower knows to be confirmed.
    """

    positions: list[FeedPosition]
    hold_seconds: float
    accepts_patches: bool = False
    configuration: int = 0
    confirmed_era: int = UNKNOWN_ERA


class FeedObject(msgspec.Struct, array_like=True, frozen=True):
    """A present object, or a deleted one without its content.

    Attributes:
        name: Unique within its kind.
        position: Position of its last change.
        spec: Its content as JSON; null for a deleted object, and when a patch is given.
        deleted: The object was deleted.
        patch: Builds the content from the previous one; for a large patch only an announcement,
            which the follower fetches with a `ContentRequest`.
    """

    name: str
    position: StorePosition
    spec: msgspec.Raw
    deleted: bool = False
    patch: ContentPatch | None = None

    @property
    def is_announced(self) -> bool:
        """Whether its content is announced and has to be fetched."""
        return self.patch is not None and self.patch.is_announcement


class FeedKind(msgspec.Struct, array_like=True, frozen=True):
    """Changes of one kind of objects.

    Attributes:
        kind: Kind of the objects.
        position: Store position up to which the changes are included.
        is_snapshot: `objects` holds all objects of the kind, not only the changes.
        objects: Objects in the order of their changes.
    """

    kind: str
    position: StorePosition
    is_snapshot: bool
    objects: list[FeedObject]

    @property
    def is_announced(self) -> bool:
        """Whether the content of some object is announced and has to be fetched."""
        return any(item.is_announced for item in self.objects)


class FeedResponse(msgspec.Struct, array_like=True, frozen=True):
    """Changes after the positions of a request.

    Attributes:
        kinds: Kinds that have changes.
        proof_offset: Send time of the reader's latest proven call to the store minus the arrival
            time of the request, in seconds; negative when the proof is older.
        is_receiving: A change is in transit from the store to the reader, which has received it in
            part, or has it and asks for what follows; a newer proof will follow soon.
        effect: What the announced configuration changes compared to the follower's; None when
            none is announced, or the effect isn't known.
        unpublished_offset: Latest time at which the change that is in transit or announced was
            not yet published, in the form of `proof_offset`; None when there is no such change,
            or the time isn't known.
        configuration: Version of the configuration that is in force at the reader, 0 for none.
        confirmed_era: Latest store era that the reader knows to be confirmed.
    """

    kinds: list[FeedKind]
    proof_offset: float
    is_receiving: bool = False
    effect: ConfigurationEffect | None = None
    unpublished_offset: float | None = None
    configuration: int = 0
    confirmed_era: int = UNKNOWN_ERA


class ContentRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests the patch of an announced content.

    Attributes:
        kind: Kind of the object.
        name: Its name.
        base: Checksum of the content that the follower has, as announced.
        result: Checksum of the announced content.
    """

    kind: str
    name: str
    base: int
    result: int


def encode_feed_request(request: FeedRequest) -> bytes:
    """Encodes a feed request as JSON."""
    return msgspec.json.encode(request)


def decode_feed_request(data: bytes) -> FeedRequest | None:
    """Decodes a feed request; returns None when it is malformed."""
    return _decode(data, FeedRequest)


def encode_feed_response(response: FeedResponse, may_compress: bool) -> bytes:
    """Encodes a feed response as JSON, compressed when it is large and `may_compress` is set."""
    data = msgspec.json.encode(response)
    if not may_compress or len(data) < COMPRESSED_FROM_BYTES:
        return data
    return deflate(data)


def decode_feed_response(data: bytes) -> FeedResponse | None:
    """Decodes a plain or compressed feed response; returns None when it is malformed."""
    if data.startswith(_JSON_ARRAY):
        return _decode(data, FeedResponse)
    try:
        return _decode(inflate(data, MAX_RESPONSE_BYTES), FeedResponse)
    except ValueError:
        return None


def encode_content_request(request: ContentRequest) -> bytes:
    """Encodes a content request as JSON."""
    return msgspec.json.encode(request)


def decode_content_request(data: bytes) -> ContentRequest | None:
    """Decodes a content request; returns None when it is malformed."""
    return _decode(data, ContentRequest)


def encode_patch(patch: ContentPatch) -> bytes:
    """Encodes the response to a `ContentRequest`."""
    return msgspec.msgpack.encode(patch)


def decode_patch(data: bytes) -> ContentPatch | None:
    """Decodes the response to a `ContentRequest`; returns None when it is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=ContentPatch)
    except DECODE_ERRORS:
        return None


_Message = TypeVar("_Message")


def _decode(data: bytes, message_type: type[_Message]) -> _Message | None:
    try:
        return msgspec.json.decode(data, type=message_type)
    except DECODE_ERRORS:
        return None
