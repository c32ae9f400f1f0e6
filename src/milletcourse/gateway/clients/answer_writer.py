"""Writes answers to the connection of a client, and bounds what the client leaves unread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from milletcourse.exchange.limits.answer_memory import AnswerMemory, AnswerShare

MAX_UNREAD_ANSWER_BYTES = 4 * 1024 * 1024
"""The connection of a client that leaves more bytes than this unread is aborted when it is sent
more; a whole answer may be larger."""


class AnswerWriter:
    """The sending direction of one connection."""

    def __init__(self, memory: AnswerMemory, on_slow_reader: Callable[[], None]) -> None:
        """Start without a connection.

        Args:
            memory: Accounts for what clients haven't read.
            on_slow_reader: Called when the client leaves too much unread; must abort the
                connection.
        """
        self._on_slow_reader = on_slow_reader
        self._share = AnswerShare(on_slow_reader)
        self._share.memory = memory
        self._transport: asyncio.Transport | None = None
        self._is_read_slowly = False

    def attach(self, transport: asyncio.Transport) -> None:
        """The connection is established."""
        self._transport = transport

    @property
    def is_sending(self) -> bool:
        """Whether something that was written has not been sent yet."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def write(self, *parts: bytes) -> None:
        """Write data, unless the connection is closing."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_UNREAD_ANSWER_BYTES:
            self._on_slow_reader()
            return
        transport.writelines(parts)
        if self._is_read_slowly:
            self._share.set_held(transport.get_write_buffer_size())

    def pause(self) -> None:
        """The client has not read all that was written."""
        self._is_read_slowly = True

    def resume(self) -> None:
        """The client has read almost all of it."""
        self._is_read_slowly = False
        self._share.set_held(0)

    def close(self) -> None:
        """The connection is closed."""
        self._share.set_held(0)
