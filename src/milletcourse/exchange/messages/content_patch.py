"""Patches that turn the previous content of an object into its next content; no input/output.

A content is split into chunks after the end of each object in a list of objects, so that a change
of one entry changes one chunk, wherever the entry stands. A patch refers to chunks of the previous
content (the base) and carries the new bytes. Base and result are identified by checksums, so the
receiver can verify that a patch applies to its content and that the result is the intended one.
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
"""Checksum that stands for an absent base: the patch carries the whole content."""


class Run(msgspec.Struct, array_like=True, frozen=True):
    """Consecutive chunks of the base."""

    first: int
    count: int


_Step = Run | bytes
"""One part of a result: chunks of the base, or new bytes."""


class ContentPatch(msgspec.Struct, array_like=True, frozen=True):
    """Steps that build a content from its base.

    Attributes:
        base: Checksum of the base, `NO_CONTENT_CHECKSUM` for none.
        result: Checksum of the result.
        size: Size of the result in bytes.
        steps: Compressed steps; empty when the receiver has to request them.
    """

    base: int
    result: int
    size: int
    steps: bytes

    @property
    def is_announcement(self) -> bool:
        """Whether it announces a content without carrying the steps."""
        return not self.steps

    def announcement(self) -> ContentPatch:
        """The same patch without its steps."""
        return ContentPatch(self.base, self.result, self.size, b"")


class PatchProblem(Enum):
    """Why a patch can't be applied."""

    BASE_MISMATCH = "other-base"
    """The patch is for another base than the given one."""
    MALFORMED = "malformed"
    RESULT_MISMATCH = "other-result"
    """The result has another size or checksum than announced."""


class PatchError(Exception):
    """A patch can't be applied.

    Attributes:
        problem: The reason.
    """

    def __init__(self, problem: PatchProblem) -> None:
        super().__init__(problem.value)
        self.problem = problem


def content_checksum(content: bytes) -> int:
    """Checksum of a content; never `NO_CONTENT_CHECKSUM`."""
    return xxhash.xxh3_64_intdigest(content) or 1


def full_patch(content: bytes) -> ContentPatch:
    """A patch without a base that carries the whole content."""
    return _patch(NO_CONTENT_CHECKSUM, content, [content])


def make_patch(base: bytes, content: bytes) -> ContentPatch:
    """A patch from `base` to `content`."""
    return _patch(
        content_checksum(base), content, list(_steps(_split_chunks(base), _split_chunks(content)))
    )


def apply_patch(patch: ContentPatch, base: bytes | None) -> bytes:
    """Applies a patch and returns the resulting content.

    Args:
        patch: The patch.
        base: The previous content, None for none.

    Raises:
        PatchError: The patch is for another base, is malformed, or the result doesn't match the
            announced size and checksum.
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
    """Splits a content into chunks; joined, they are the content and one extra `CHUNK_END`."""
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
    """Joins all steps; raises as soon as the result exceeds the announced size."""
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
