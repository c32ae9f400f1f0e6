"""Notices of servers' states on their way through the fleet; no input/output.

A notice is repeated against loss. What begins with a gateway, or with one that follows it, goes to
the other readers and to its followers; what a reader tells goes to the followers only, so that
nothing goes in circles.
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
"""A notice that was passed on isn't passed on again this long: its repetitions are over by then."""


class _Notice(msgspec.Struct):
    notice: ServerNotice
    repeats_left: int
    to_readers: bool


class ServerNotices:
    """Notices that one gateway still has to tell."""

    def __init__(self) -> None:
        self._pending: list[_Notice] = []
        self._forwarded_at: dict[ServerNotice, float] = {}

    def __bool__(self) -> bool:
        """Whether there are some."""
        return bool(self._pending)

    def add(self, notice: ServerNotice, to_readers: bool = True) -> None:
        """Tell a notice; with `to_readers` false to followers only."""
        self._pending.append(_Notice(notice, NOTICE_REPEATS, to_readers))

    def forward(self, message: PeerMessage, now: float) -> bool:
        """Tell others what a message says of servers; True when there is something new in it."""
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
        """What belongs in a message of a scope."""
        return [
            pending.notice
            for pending in self._pending
            if pending.to_readers or scope is LoadScope.FLEET
        ]

    def on_sent(self) -> None:
        """They were told once more."""
        for pending in self._pending:
            pending.repeats_left -= 1
        self._pending = [pending for pending in self._pending if pending.repeats_left > 0]
