"""Read timeouts for one answer, based on its transfer progress; no input/output.

An answer is abandoned when no more bytes arrive, or when it cannot complete in useful time, and not
because of its size: an abandoned answer is requested again from its first byte, which adds traffic
to a link that is already congested.
"""

from __future__ import annotations

SILENCE_TIMEOUT_SECONDS = 0.6
"""Without bytes for this long in the middle of its answer, a callee counts as unresponsive."""
COMPLETION_TIMEOUT_SECONDS = 30.0
"""An answer that would take longer in total is abandoned."""
RATE_SAMPLE_SECONDS = 1.0
"""The transfer rate of an answer is estimated after this long."""
MIN_CONTENT_ANSWER_BYTES = 4096
"""An answer of this size carries content; one that only reports "no change" is smaller."""


class AnswerProgress:
    """Transfer progress of one answer; times are seconds during which the event loop ran.

    Attributes:
        received_bytes: Bytes of the body received so far.
    """

    def __init__(self, first_byte_seconds: float) -> None:
        """Create the progress of an answer of which nothing has been received.

        Args:
            first_byte_seconds: Timeout for the head, and again for the first byte of the body: in
                a long poll, some callees send the head before they have the body.
        """
        self.received_bytes = 0
        self._first_byte_seconds = first_byte_seconds
        self._declared_bytes: int | None = None
        self._started_at: float | None = None

    def on_head(self, declared_bytes: int | None, now: float) -> None:
        """Record that the head was received.

        Args:
            declared_bytes: Length of the body, None when the head doesn't declare it.
            now: Time of receipt in seconds.
        """
        self._started_at = now
        self._declared_bytes = declared_bytes

    def on_bytes(self, size: int) -> None:
        """Record that a chunk of the body of `size` bytes was received."""
        self.received_bytes += size

    @property
    def has_started(self) -> bool:
        """Whether the head was received."""
        return self._started_at is not None

    @property
    def has_content(self) -> bool:
        """Whether the answer is, or will be, larger than one that reports no change."""
        return max(self.received_bytes, self._declared_bytes or 0) >= MIN_CONTENT_ANSWER_BYTES

    def wait_seconds(self, now: float) -> float:
        """Seconds to wait for more bytes; 0 or less when the answer is abandoned."""
        if self._started_at is None or not self.received_bytes:
            return self._first_byte_seconds
        if self._will_take_too_long(now):
            return 0.0
        return min(SILENCE_TIMEOUT_SECONDS, self._started_at + COMPLETION_TIMEOUT_SECONDS - now)

    def _will_take_too_long(self, now: float) -> bool:
        if self._started_at is None or self._declared_bytes is None:
            return False
        seconds = now - self._started_at
        if seconds < RATE_SAMPLE_SECONDS:
            return False
        return self._declared_bytes * seconds > self.received_bytes * COMPLETION_TIMEOUT_SECONDS
