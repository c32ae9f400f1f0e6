"""How long a connection stays open after its last answer; no input/output.

Received data is discarded meanwhile. Closing a socket with unread bytes sends a reset, which
destroys an answer in transit.
"""

from __future__ import annotations

LINGER_SECONDS = 1.0
"""A connection waits this long for the client to close, or to send more."""
MAX_LINGER_SECONDS = 5.0
"""Longest such wait for a client that goes on sending: many read an answer only after that."""


class LingeringClose:
    """The time between the last answer of a connection and its end."""

    def __init__(self) -> None:
        self._ends_at: float | None = None
        self._latest_end = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the last answer has been written."""
        return self._ends_at is not None

    def begin(self, now: float) -> None:
        """The last answer has been written."""
        self._ends_at = now + LINGER_SECONDS
        self._latest_end = now + MAX_LINGER_SECONDS

    def on_received(self, now: float) -> None:
        """The client goes on sending."""
        if self._ends_at is not None:
            self._ends_at = min(now + LINGER_SECONDS, self._latest_end)

    def is_over(self, now: float) -> bool:
        """Whether the connection is to be closed."""
        return self._ends_at is not None and now >= self._ends_at
