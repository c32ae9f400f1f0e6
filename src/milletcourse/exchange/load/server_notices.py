"""Propagation of notices of server states through the fleet; no input/output.

A notice is repeated in case messages are lost. A reader sends its own notices and those of its
followers to the other readers and to its followers; it sends notices from other readers to its
followers only, which prevents loops.
"""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.peer_messages import (
    NOTICE_REPEATS,
    LoadScope,
    PeerMessage,
    ServerNotice,
)

FORWARDED_TTL_SECONDS = 2.0
"""A forwarded notice isn't forwarded again for this long; its repetitions end earlier."""


class _Notice(msgspec.Struct):
    notice: ServerNotice
    repeats_left: int
    to_readers: bool


class ServerNotices:
    """Notices that one gateway still has to send."""

    def __init__(self) -> None:
        self._pending: list[_Notice] = []
        self._forwarded_at: dict[ServerNotice, float] = {}

    def __bool__(self) -> bool:
        """Whether there are notices to send."""
        return bool(self._pending)

    def add(self, notice: ServerNotice, to_readers: bool = True) -> None:
        """Queues a notice for sending; to followers only unless `to_readers` is set."""
        self._pending.append(_Notice(notice, NOTICE_REPEATS, to_readers))

    def forward(self, message: PeerMessage, now: float) -> bool:
        """Queues a message's notices for sending; returns True when some of them are new."""
        if message.scope is LoadScope.FLEET:
            return False
        self._forwarded_at = {
            notice: forwarded_at
            for notice, forwarded_at in self._forwarded_at.items()
            if now - forwarded_at < FORWARDED_TTL_SECONDS
        }
        new = [notice for notice in message.notices if notice not in self._forwarded_at]
        for notice in new:
            self._forwarded_at[notice] = now
            self.add(notice, to_readers=message.is_follower)
        return bool(new)

    def due_notices(self, scope: LoadScope) -> list[ServerNotice]:
        """Notices to include in a message of a scope."""
        return [
            pending.notice
            for pending in self._pending
            if pending.to_readers or scope is LoadScope.FLEET
        ]

    def on_sent(self) -> None:
        """Records that all pending notices were sent once more."""
        for pending in self._pending:
            pending.repeats_left -= 1
        self._pending = [pending for pending in self._pending if pending.repeats_left > 0]
