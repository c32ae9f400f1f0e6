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

PASSED_ON_SECONDS = 2.0
"""A notice that was passed on isn't passed on again this long: its repetitions are over by then."""


class _Notice(msgspec.Struct):
    notice: ServerNotice
    left: int
    to_readers: bool


class ServerNotices:
    """Notices that one gateway still has to tell."""

    def __init__(self) -> None:
        self._waiting: list[_Notice] = []
        self._passed_on: dict[ServerNotice, float] = {}

    def __bool__(self) -> bool:
        """Whether there are some."""
        return bool(self._waiting)

    def add(self, notice: ServerNotice, to_readers: bool = True) -> None:
        """Tell a notice; with `to_readers` false to followers only."""
        self._waiting.append(_Notice(notice, NOTICE_REPEATS, to_readers))

    def pass_on(self, message: PeerMessage, now: float) -> bool:
        """Tell others what a message says of servers; True when there is something new in it."""
        if message.scope is LoadScope.FLEET:
            return False
        self._passed_on = {
            notice: at for notice, at in self._passed_on.items() if now - at < PASSED_ON_SECONDS
        }
        new = [notice for notice in message.notices if notice not in self._passed_on]
        for notice in new:
            self._passed_on[notice] = now
            self.add(notice, to_readers=message.follows)
        return bool(new)

    def to_tell(self, scope: LoadScope) -> list[ServerNotice]:
        """What belongs in a message of a scope."""
        return [
            kept.notice for kept in self._waiting if kept.to_readers or scope is LoadScope.FLEET
        ]

    def on_told(self) -> None:
        """They were told once more."""
        for kept in self._waiting:
            kept.left -= 1
        self._waiting = [kept for kept in self._waiting if kept.left > 0]
