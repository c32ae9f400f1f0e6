"""A changed content as the difference to the one before; no input/output.

A content is cut behind each end of an object in a list of objects, so that a change of one entry is
a change of one piece, wherever the entry stands. A patch names pieces of the content before and
brings the bytes that are new; both contents are told by their sums, so whoever has the one before
can tell whether a patch fits, and whether what comes out is what was meant.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

import msgspec
import xxhash

from milletcourse.exchange.messages.compression import deflate, inflate

PIECE_END = b"},"
MAX_CONTENT_BYTES = 16 * 1024 * 1024
NO_CONTENT_SUM = 0
"""Stands for no content before: the patch brings all of it."""


class Run(msgspec.Struct, array_like=True, frozen=True):
    """Pieces of the content before, one behind the other."""

    first: int
    count: int


_Step = Run | bytes
"""What a content is put together from: known pieces, or new bytes."""


class ContentPatch(msgspec.Struct, array_like=True, frozen=True):
    """How to make a content from the one before.

    Attributes:
        base: Sum of the content before, `NO_CONTENT_SUM` for none.
        result: Sum of the content.
        size: Bytes of the content.
        steps: Compressed steps; empty when they are to be asked for.
    """

    base: int
    result: int
    size: int
    steps: bytes

    @property
    def is_announcement(self) -> bool:
        """Whether it tells of a content without bringing it."""
        return not self.steps

    def announcement(self) -> ContentPatch:
        """The same without what it brings."""
        return ContentPatch(self.base, self.result, self.size, b"")


class PatchProblem(Enum):
    """Why a patch gives no content."""

    OTHER_BASE = "other-base"
    """It is for another content than the one at hand."""
    MALFORMED = "malformed"
    OTHER_RESULT = "other-result"
    """What comes out isn't what was announced."""


class PatchError(Exception):
    """A patch that gives no content.

    Attributes:
        problem: What is wrong.
    """

    def __init__(self, problem: PatchProblem) -> None:
        super().__init__(problem.value)
        self.problem = problem


def content_sum(content: bytes) -> int:
    """What tells a content; never `NO_CONTENT_SUM`."""
    return xxhash.xxh3_64_intdigest(content) or 1


def whole_patch(content: bytes) -> ContentPatch:
    """A patch that brings all of a content."""
    return _patch(NO_CONTENT_SUM, content, [content])


def make_patch(base: bytes, content: bytes) -> ContentPatch:
    """A patch from one content to the next."""
    return _patch(content_sum(base), content, list(_steps(_pieces(base), _pieces(content))))


def apply_patch(patch: ContentPatch, base: bytes | None) -> bytes:
    """The content that a patch makes.

    Args:
        patch: The patch.
        base: The content before, None for none.

    Raises:
        PatchError: It doesn't fit, can't be read, or something else comes out than was announced.
    """
    if patch.base != NO_CONTENT_SUM and (base is None or content_sum(base) != patch.base):
        raise PatchError(PatchProblem.OTHER_BASE)
    pieces = _pieces(base) if base is not None and patch.base != NO_CONTENT_SUM else []
    content = _joined(_read_steps(patch), pieces, patch.size)
    if len(content) != patch.size or content_sum(content) != patch.result:
        raise PatchError(PatchProblem.OTHER_RESULT)
    return content


def _patch(base_sum: int, content: bytes, steps: list[_Step]) -> ContentPatch:
    packed = deflate(msgspec.msgpack.encode(steps))
    return ContentPatch(base_sum, content_sum(content), len(content), packed)


def _pieces(content: bytes) -> list[bytes]:
    """The content in pieces; together they are the content and one more `PIECE_END`."""
    return [piece + PIECE_END for piece in content.split(PIECE_END)]


def _steps(before: list[bytes], pieces: list[bytes]) -> Iterator[_Step]:
    places = {piece: place for place, piece in enumerate(before)}
    first = count = 0
    new: list[bytes] = []
    for piece in pieces:
        if count and first + count < len(before) and before[first + count] == piece:
            count += 1
            continue
        if count:
            yield Run(first, count)
            count = 0
        place = places.get(piece)
        if place is None:
            new.append(piece)
            continue
        if new:
            yield b"".join(new)
            new = []
        first, count = place, 1
    if count:
        yield Run(first, count)
    if new:
        yield b"".join(new)


def _read_steps(patch: ContentPatch) -> list[_Step]:
    if not 0 <= patch.size <= MAX_CONTENT_BYTES:
        raise PatchError(PatchProblem.MALFORMED)
    try:
        return msgspec.msgpack.decode(
            inflate(patch.steps, MAX_CONTENT_BYTES), type=list[Run | bytes]
        )
    except (ValueError, msgspec.MsgspecError) as error:
        raise PatchError(PatchProblem.MALFORMED) from error


def _joined(steps: list[_Step], pieces: list[bytes], size: int) -> bytes:
    """All steps in a row; raises once it becomes larger than announced."""
    found: list[bytes] = []
    length = 0
    for step in steps:
        taken = [step] if isinstance(step, bytes) else _run_of(pieces, step)
        length += sum(map(len, taken))
        if length > size + len(PIECE_END):
            raise PatchError(PatchProblem.OTHER_RESULT)
        found.extend(taken)
    return b"".join(found).removesuffix(PIECE_END) if pieces else b"".join(found)


def _run_of(pieces: list[bytes], run: Run) -> list[bytes]:
    if run.first < 0 or run.count < 1 or run.first + run.count > len(pieces):
        raise PatchError(PatchProblem.MALFORMED)
    return pieces[run.first : run.first + run.count]
