"""Passes each token of an attempt exactly once and in order; performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from milletcourse.backends.engine_messages import EngineToken, EngineUsage
from milletcourse.errors import BackendLost, FailureError, ResumeMismatch
from milletcourse.streams.resume_token import extend_digest


@dataclass(slots=True)
class RelayCounters:
    """Events that were not relayed.

    Attributes:
        foreign: Events of another request or attempt.
        repeated: Events whose offset had already been received.
    """

    foreign: int = 0
    repeated: int = 0


@dataclass(frozen=True, slots=True)
class RelayedToken:
    """A token for the client.

    Attributes:
        text: The token's text.
        next_offset: Offset of the following token.
        text_digest: Chained digest up to and including it.
        usage: Token counts, with the last token only.
    """

    text: str
    next_offset: int
    text_digest: bytes
    usage: EngineUsage | None = None


class OrderedRelay:
    """Order and completeness check of one answer across its attempts.

    Attributes:
        offset: Offset of the next token for the client.
        text_digest: Chained digest of the tokens sent to the client.
        usage: Set when the answer is complete.
    """

    def __init__(self, request_id: str, counters: RelayCounters) -> None:
        self.request_id = request_id
        self.counters = counters
        self.offset = 0
        self.text_digest = b""
        self.attempt = 0
        self.usage: EngineUsage | None = None
        self._next_from_engine = 0
        self._verifying_digest: bytes | None = None

    def resume_at(self, offset: int, text_digest: bytes) -> None:
        """The client already has the tokens before `offset`."""
        self.offset = offset
        self.text_digest = text_digest

    def begin_attempt(self, attempt: int, first_offset: int) -> None:
        """Expect the tokens of an attempt starting at `first_offset`.

        Tokens before `offset` are not sent again; they are verified against the text already sent.
        """
        self.attempt = attempt
        self._next_from_engine = first_offset
        self._verifying_digest = b"" if first_offset == 0 and self.offset else None

    def accept(self, token: EngineToken) -> RelayedToken | None:
        """Validate one event.

        Returns:
            The token when it is the next one for the client, else None.

        Raises:
            FailureError: `BackendLost` on a gap or an error event, `ResumeMismatch` when a
                regenerated answer differs from the text already sent.
        """
        if token.id != self.request_id or token.attempt != self.attempt:
            self.counters.foreign += 1
            return None
        if token.offset < self._next_from_engine:
            self.counters.repeated += 1
            return None
        if token.error:
            raise FailureError(BackendLost(f"the engine ended the stream: {token.error}"))
        if token.offset > self._next_from_engine:
            raise FailureError(BackendLost("tokens are missing in the stream"))
        self._next_from_engine += 1
        if token.offset < self.offset:
            self._verify(token)
            return None
        self.offset += 1
        self.text_digest = extend_digest(self.text_digest, token.text)
        self.usage = token.usage
        return RelayedToken(token.text, self.offset, self.text_digest, token.usage)

    def _verify(self, token: EngineToken) -> None:
        if self._verifying_digest is None:
            return
        self._verifying_digest = extend_digest(self._verifying_digest, token.text)
        if token.offset + 1 == self.offset and self._verifying_digest != self.text_digest:
            raise FailureError(
                ResumeMismatch("the regenerated answer differs from the text already sent")
            )
        if token.usage is not None:
            raise FailureError(
                ResumeMismatch("the regenerated answer is shorter than the text already sent")
            )
