"""Reads the head of an answer from bytes that are passed on unchanged."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.exchange.messages.message_bounds import MessageBounds
from milletcourse.exchange.messages.messages import AnswerHead
from milletcourse.gateway.servers.answer_head_collector import AnswerHeadCollector
from milletcourse.runtime.http_status import is_informational, is_valid_status

PIECE_BYTES = 4 * 1024
"""Data is parsed in pieces, between which it is checked whether more is needed."""


class AnswerHeadReader(AnswerHeadCollector):
    """Parses data until the first final head; interim heads (1xx) are skipped."""

    def __init__(self, dialect: HeaderDialect, on_head: Callable[[AnswerHead], None]) -> None:
        super().__init__()
        self._dialect = dialect
        self._on_head = on_head
        self._parser = httptools.HttpResponseParser(self)
        self._is_done = False
        self._bounds = MessageBounds()

    def feed(self, data: bytes) -> bool:
        """Parse data; returns whether more is needed."""
        view = memoryview(data)
        pieces = (view[start : start + PIECE_BYTES] for start in range(0, len(view), PIECE_BYTES))
        return all(map(self._parse, pieces))

    def _parse(self, piece: memoryview) -> bool:
        self._bounds.on_received(len(piece))
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        return not self._is_done and self._bounds.is_within()

    # -- httptools callbacks --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start of an answer."""
        self.reset_head()

    def on_headers_complete(self) -> None:
        """End of a head."""
        status = self._parser.get_status_code()
        if self._is_done or is_informational(status):
            return
        self._is_done = True
        if not is_valid_status(status):
            return
        head = self._dialect.read_answer(status, self.reason, self.fields)
        if not head.has_conflicts:
            self._on_head(head)
