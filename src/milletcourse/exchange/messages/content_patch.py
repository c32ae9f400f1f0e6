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

CHUNK_END = b"},"
MAX_CONTENT_BYTES = 16 * 1024 * 1024
NO_CONTENT_CHECKSUM = 0
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
        base: Sum of the content before, `NO_CONTENT_CHECKSUM` for none.
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

    BASE_MISMATCH = "other-base"
    """It is for another content than the one at hand."""
    MALFORMED = "malformed"
    RESULT_MISMATCH = "other-result"
    """What comes out isn't what was announced."""


class PatchError(Exception):
    """A patch that gives no content.

    Attributes:
        problem: What is wrong.
    """

    def __init__(self, problem: PatchProblem) -> None:
        super().__init__(problem.value)
        self.problem = problem


def content_checksum(content: bytes) -> int:
    """What tells a content; never `NO_CONTENT_CHECKSUM`."""
    return xxhash.xxh3_64_intdigest(content) or 1


def full_patch(content: bytes) -> ContentPatch:
    """A patch that brings all of a content."""
    return _patch(NO_CONTENT_CHECKSUM, content, [content])


def make_patch(base: bytes, content: bytes) -> ContentPatch:
    """A patch from one content to the next."""
    return _patch(
        content_checksum(base), content, list(_steps(_split_chunks(base), _split_chunks(content)))
    )


def apply_patch(patch: ContentPatch, base: bytes | None) -> bytes:
    """The content that a patch makes.

    Args:
        patch: The patch.
        base: The content before, None for none.

    Raises:
        PatchError: It doesn't fit, can't be read, or something else comes out than was announced.
    """
    if patch.base != NO_CONTENT_CHECKSUM and (base is None or content_checksum(base) != patch.base):
        raise PatchError(PatchProblem.BASE_MISMATCH)
    chunks = _split_chunks(base) if base is not None and patch.base != NO_CONTENT_CHECKSUM else []
    content = _join_steps(_read_steps(patch), chunks, patch.size)
    if len(content) != patch.size or content_checksum(content) != patch.result:
        raise PatchError(PatchProblem.RESULT_MISMATCH)
    return content


def _patch(base_checksum: int, content: bytes, steps: list[_Step]) -> ContentPatch:
    packed = deflate(msgspec.msgpack.encode(steps))
    return ContentPatch(base_checksum, content_checksum(content), len(content), packed)


def _split_chunks(content: bytes) -> list[bytes]:
    """The content in pieces; together they are the content and one more `CHUNK_END`."""
    return [chunk + CHUNK_END for chunk in content.split(CHUNK_END)]


def _steps(before: list[bytes], chunks: list[bytes]) -> Iterator[_Step]:
    places = {chunk: place for place, chunk in enumerate(before)}
    first = count = 0
    new: list[bytes] = []
    for chunk in chunks:
        if count and first + count < len(before) and before[first + count] == chunk:
            count += 1
            continue
        if count:
            yield Run(first, count)
            count = 0
        place = places.get(chunk)
        if place is None:
            new.append(chunk)
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


def _join_steps(steps: list[_Step], chunks: list[bytes], size: int) -> bytes:
    """All steps in a row; raises once it becomes larger than announced."""
    found: list[bytes] = []
    length = 0
    for step in steps:
        taken = [step] if isinstance(step, bytes) else _run_chunks(chunks, step)
        length += sum(map(len, taken))
        if length > size + len(CHUNK_END):
            raise PatchError(PatchProblem.RESULT_MISMATCH)
        found.extend(taken)
    return b"".join(found).removesuffix(CHUNK_END) if chunks else b"".join(found)


def _run_chunks(chunks: list[bytes], run: Run) -> list[bytes]:
    if run.first < 0 or run.count < 1 or run.first + run.count > len(chunks):
        raise PatchError(PatchProblem.MALFORMED)
    return chunks[run.first : run.first + run.count]
