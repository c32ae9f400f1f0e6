"""Collects the parts of an answer's head that a parser delivers one by one."""

from __future__ import annotations

from milletcourse.exchange.messages.message_bounds import MAX_FIELDS
from milletcourse.exchange.messages.messages import HeaderField


class AnswerHeadCollector:
    """Base of httptools callbacks that need the reason phrase and the fields of a head."""

    def __init__(self) -> None:
        self.reason = b""
        self.fields: list[HeaderField] = []
        self.has_too_many_fields = False

    def reset_head(self) -> None:
        """Forget the parts of the head before."""
        self.reason = b""
        self.fields = []
        self.has_too_many_fields = False

    def on_status(self, reason: bytes) -> None:
        """Reason phrase, possibly in several parts."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field; those beyond the bound make the answer malformed."""
        if len(self.fields) < MAX_FIELDS:
            self.fields.append(HeaderField(name, value or b""))
        else:
            self.has_too_many_fields = True
