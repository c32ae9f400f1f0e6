"""Bounds in bytes on the parts of a message that carry no body; no input/output.

A peer that never ends such a part would otherwise be bounded by a timeout and its bandwidth only.
Bodies have bounds of their own where they are collected.
"""

from __future__ import annotations

REQUEST_PIECE_BYTES = 4 * 1024
"""Requests are parsed in pieces of this size, between which their bounds are checked."""
MAX_HEAD_BYTES = 64 * 1024
"""Status line and header fields of an answer, with informational answers before them, and each
stretch of framing between two parts of its body: chunk sizes, chunk extensions, trailers."""
MAX_OVERHEAD_BYTES = 1024 * 1024
"""All of these together, besides what is in proportion to the body."""
OVERHEAD_PER_BODY_BYTE = 16
"""A chunk of one byte has less framing than this."""
MAX_FIELDS = 256
"""Header fields of an answer, with its trailers."""
MAX_EVENT_BYTES = 256 * 1024
"""One event of a stream, with the comments before it."""


class MessageBounds:
    """Counts the bytes of one message that carry no body."""

    def __init__(self, max_stretch_bytes: int = MAX_HEAD_BYTES) -> None:
        """Count from the start of a message.

        Args:
            max_stretch_bytes: Bound on the head, and on each stretch of framing in the body.
        """
        self._max_stretch_bytes = max_stretch_bytes
        self._stretch = 0
        self._received = 0
        self._body = 0

    def on_received(self, size: int) -> None:
        """Counts received bytes of any part; those of the body are then reported to `on_body`."""
        self._stretch += size
        self._received += size

    def on_head_complete(self) -> None:
        """The head has ended."""
        self._stretch = 0

    def on_body(self, size: int) -> None:
        """Counts received bytes of the body."""
        self._stretch = 0
        self._body += size

    def is_within(self) -> bool:
        """Whether the bounds are kept by all that was received and reported."""
        overhead = self._received - self._body
        allowed = MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * self._body
        return self._stretch <= self._max_stretch_bytes and overhead <= allowed
