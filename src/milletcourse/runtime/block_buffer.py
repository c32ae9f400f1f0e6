"""Collects bytes that arrive in pieces of any size."""

from __future__ import annotations

from io import BytesIO

BLOCK_BYTES = 64 * 1024
"""Size at which a block is closed. A piece may be a single byte, so that pieces aren't kept as they
are; larger buffers that grow side by side leave holes in the heap."""


class BlockBuffer:
    """The bytes so far, in blocks."""

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._last_block = BytesIO()
        self._closed_bytes = 0

    def __len__(self) -> int:
        """Size of all pieces."""
        return self._closed_bytes + self._last_block.tell()

    def write(self, data: bytes) -> None:
        """Add a piece."""
        if self._last_block.tell() + len(data) > BLOCK_BYTES:
            self._close_block()
        self._last_block.write(data)

    def value(self) -> bytes:
        """All bytes."""
        self._close_block()
        return b"".join(self._blocks)

    def _close_block(self) -> None:
        self._closed_bytes += self._last_block.tell()
        self._blocks.append(self._last_block.getvalue())
        self._last_block = BytesIO()
