"""How long the next bytes of an answer are waited for; no input/output.

An answer is given up when its bytes stop coming, or when it can't become whole in any useful time,
and not for its size: one that was thrown away in its middle is asked for again from its first byte,
which makes a full link fuller.
"""

from __future__ import annotations

SILENCE_TIMEOUT_SECONDS = 0.6
"""A callee from which nothing came for so long in the middle of its answer is taken as silent."""
COMPLETION_TIMEOUT_SECONDS = 30.0
"""An answer that will take longer is given up."""
RATE_SAMPLE_SECONDS = 1.0
"""The rate of an answer is known after so long."""
MIN_CONTENT_ANSWER_BYTES = 4096
"""An answer of this size carries content, and not only the word that nothing has changed."""


class AnswerProgress:
    """Follows one answer; times are seconds in which this process could listen.

    Attributes:
        received_bytes: What has come of the body.
    """

    def __init__(self, first_byte_seconds: float) -> None:
        """Nothing has come.

        Args:
            first_byte_seconds: Longest time until the head, and then until the body begins: some
                callees send the head of an answer that they hold.
        """
        self.received_bytes = 0
        self._first_byte_seconds = first_byte_seconds
        self._declared_bytes: int | None = None
        self._started_at: float | None = None

    def on_head(self, declared_bytes: int | None, now: float) -> None:
        """The head has come.

        Args:
            declared_bytes: Length of the body, None when it isn't told.
            now: When it came.
        """
        self._started_at = now
        self._declared_bytes = declared_bytes

    def on_bytes(self, size: int) -> None:
        """A piece of the body has come."""
        self.received_bytes += size

    @property
    def has_started(self) -> bool:
        """Whether the head has come."""
        return self._started_at is not None

    @property
    def has_content(self) -> bool:
        """Whether the answer is, or will be, larger than one that tells nothing new."""
        return max(self.received_bytes, self._declared_bytes or 0) >= MIN_CONTENT_ANSWER_BYTES

    def wait_seconds(self, now: float) -> float:
        """How long to wait for more; 0 or less when the answer is given up."""
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
