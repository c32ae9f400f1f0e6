"""What a gateway that reads the object store tells those that follow it; no input/output.

A follower asks with the places in the store's history that it knows, and is answered when there is
more, or after a while. A proof travels as a difference on the reader's clock: the time of the
proven call to the store less the time at which the question came in. The question was sent no later
than it came in, so the follower counts the proof from when it asked plus that difference, however
long the answer was under way, and whatever the two clocks show.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from milletcourse.exchange.messages.compression import deflate, inflate
from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.messages.content_patch import ContentPatch
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition

COMPRESSED_FROM_BYTES = 4096
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Of an answer as it was before it was compressed."""
_JSON_ARRAY = b"["


class FeedPosition(msgspec.Struct, array_like=True, frozen=True):
    """How far a follower knows one kind of objects.

    Attributes:
        kind: Kind of the objects.
        position: State of the store up to which it knows them, None when it knows nothing.
    """

    kind: str
    position: StorePosition | None


class FeedRequest(msgspec.Struct, array_like=True, frozen=True):
    """Asks for what came since some positions.

    Attributes:
        positions: What the follower knows, kind by kind.
        hold_seconds: Longest time that the reader waits for something to tell.
        takes_patches: The follower understands patches and compressed answers.
        configuration: Version of the configuration that is in force at the follower, 0 for none.
        confirmed_era: Latest era of the store that the follower knows to be confirmed.
    """

    positions: list[FeedPosition]
    hold_seconds: float
    accepts_patches: bool = False
    configuration: int = 0
    confirmed_era: int = UNKNOWN_ERA


class FeedObject(msgspec.Struct, array_like=True, frozen=True):
    """An object that is there, or one that went, whose content isn't told.

    Attributes:
        name: Unique within its kind.
        position: Its last change.
        spec: Its content as JSON; null for one that went, and beside a patch.
        deleted: It went.
        patch: Makes its content from the one before; an announcement when it is large, to be asked
            for with a `ContentRequest`.
    """

    name: str
    position: StorePosition
    spec: msgspec.Raw
    deleted: bool = False
    patch: ContentPatch | None = None

    @property
    def is_announced(self) -> bool:
        """Whether its content is still to come."""
        return self.patch is not None and self.patch.is_announcement


class FeedKind(msgspec.Struct, array_like=True, frozen=True):
    """What came of one kind.

    Attributes:
        kind: Kind of the objects.
        position: State of the store up to which they are told.
        is_snapshot: They are all objects of the kind, not just the changes.
        objects: Objects in the order of their changes.
    """

    kind: str
    position: StorePosition
    is_snapshot: bool
    objects: list[FeedObject]

    @property
    def is_announced(self) -> bool:
        """Whether some content is still to come."""
        return any(item.is_announced for item in self.objects)


class FeedResponse(msgspec.Struct, array_like=True, frozen=True):
    """What came since the positions of a question.

    Attributes:
        kinds: Kinds with something to tell.
        proof_offset: Time at which the reader's latest proven call to the store was sent, less the
            time at which the question came in, in seconds; negative when the proof is older.
        is_receiving: A change is on its way from the store to the reader, which has it in part, or
            has it and asks what came after it: an old proof will soon be followed by another one.
        effect: What the announced configuration changes from the follower's; None when none is
            announced, or that isn't known.
        not_out_offset: Time at which the change that is on its way, or announced, wasn't out yet,
            as `proof_offset` tells times; None when none is, or that isn't known.
        configuration: Version of the configuration that is in force at the reader, 0 for none.
        confirmed_era: Latest era of the store that the reader knows to be confirmed.
    """

    kinds: list[FeedKind]
    proof_offset: float
    is_receiving: bool = False
    effect: ConfigurationEffect | None = None
    unpublished_offset: float | None = None
    configuration: int = 0
    confirmed_era: int = UNKNOWN_ERA


class ContentRequest(msgspec.Struct, array_like=True, frozen=True):
    """Asks for a content that was announced.

    Attributes:
        kind: Kind of the object.
        name: Its name.
        base: Sum of the content that the follower has, as announced.
        result: Sum of the content.
    """

    kind: str
    name: str
    base: int
    result: int


def encode_feed_request(question: FeedRequest) -> bytes:
    """Bytes of a question."""
    return msgspec.json.encode(question)


def decode_feed_request(data: bytes) -> FeedRequest | None:
    """Understand a question; None when it is none."""
    return _decode(data, FeedRequest)


def encode_feed_response(answer: FeedResponse, may_compress: bool) -> bytes:
    """Bytes of an answer."""
    data = msgspec.json.encode(answer)
    if not may_compress or len(data) < COMPRESSED_FROM_BYTES:
        return data
    return deflate(data)


def decode_feed_response(data: bytes) -> FeedResponse | None:
    """Understand an answer; None when it is none."""
    if data.startswith(_JSON_ARRAY):
        return _decode(data, FeedResponse)
    try:
        return _decode(inflate(data, MAX_RESPONSE_BYTES), FeedResponse)
    except ValueError:
        return None


def encode_content_request(question: ContentRequest) -> bytes:
    """Bytes of a question."""
    return msgspec.json.encode(question)


def decode_content_request(data: bytes) -> ContentRequest | None:
    """Understand a question; None when it is none."""
    return _decode(data, ContentRequest)


def encode_patch(patch: ContentPatch) -> bytes:
    """Bytes of the answer to a `ContentRequest`."""
    return msgspec.msgpack.encode(patch)


def decode_patch(data: bytes) -> ContentPatch | None:
    """Understand an answer; None when it is none."""
    try:
        return msgspec.msgpack.decode(data, type=ContentPatch)
    except msgspec.MsgspecError:
        return None


_Message = TypeVar("_Message")


def _decode(data: bytes, message_type: type[_Message]) -> _Message | None:
    try:
        return msgspec.json.decode(data, type=message_type)
    except msgspec.MsgspecError:
        return None
