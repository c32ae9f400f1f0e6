"""What a gateway that reads the object store tells those that follow it; no input/output.

A follower asks with the places in the store's history that it knows, and is answered when there is
more, or after a while. A proof travels as a difference on the reader's clock: the time of the
proven call to the store less the time at which the question came in. The question was sent no later
than it came in, so the follower counts the proof from when it asked plus that difference, however
long the answer was under way, and whatever the two clocks show.
"""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.store_place import StorePlace


class FeedPosition(msgspec.Struct, array_like=True, frozen=True):
    """How far a follower knows one kind of objects.

    Attributes:
        kind: Kind of the objects.
        place: State of the store up to which it knows them, None when it knows nothing.
    """

    kind: str
    place: StorePlace | None


class FeedQuestion(msgspec.Struct, array_like=True, frozen=True):
    """Asks for what came since some positions.

    Attributes:
        positions: What the follower knows, kind by kind.
        hold_seconds: Longest time that the reader waits for something to tell.
    """

    positions: list[FeedPosition]
    hold_seconds: float


class FedObject(msgspec.Struct, array_like=True, frozen=True):
    """An object that is there, or one that went, whose content isn't told."""

    name: str
    place: StorePlace
    spec: msgspec.Raw
    gone: bool = False


class FedKind(msgspec.Struct, array_like=True, frozen=True):
    """What came of one kind.

    Attributes:
        kind: Kind of the objects.
        place: State of the store up to which they are told.
        whole: They are all objects of the kind, not just the changes.
        objects: Objects in the order of their changes.
    """

    kind: str
    place: StorePlace
    whole: bool
    objects: list[FedObject]


class FeedAnswer(msgspec.Struct, array_like=True, frozen=True):
    """What came since the positions of a question.

    Attributes:
        kinds: Kinds with something to tell.
        proof_offset: Time at which the reader's latest proven call to the store was sent, less the
            time at which the question came in, in seconds; negative when the proof is older.
    """

    kinds: list[FedKind]
    proof_offset: float


def encode_question(question: FeedQuestion) -> bytes:
    """Bytes of a question."""
    return msgspec.json.encode(question)


def decode_question(data: bytes) -> FeedQuestion | None:
    """Understand a question; None when it is none."""
    try:
        return msgspec.json.decode(data, type=FeedQuestion)
    except msgspec.MsgspecError:
        return None


def encode_answer(answer: FeedAnswer) -> bytes:
    """Bytes of an answer."""
    return msgspec.json.encode(answer)


def decode_answer(data: bytes) -> FeedAnswer | None:
    """Understand an answer; None when it is none."""
    try:
        return msgspec.json.decode(data, type=FeedAnswer)
    except msgspec.MsgspecError:
        return None
