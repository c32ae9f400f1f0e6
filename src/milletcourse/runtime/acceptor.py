"""A listener that accepts connections up to a limit; others wait in the kernel's backlog."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

MAX_ACCEPTS_PER_ITERATION = 16
"""Per iteration of the event loop, so that a burst does not delay other callbacks."""
RETRY_INTERVAL_SECONDS = 0.02
"""Pause before the capacity is checked again after it was exhausted."""


class Acceptor:
    """Accepts connections while the owner has capacity for them.

    `asyncio.Server` accepts without a limit and fails when the process has no file descriptor left,
    which closes connections that could have waited in the backlog.
    """

    def __init__(
        self,
        listening: socket.socket,
        factory: Callable[[], asyncio.Protocol],
        capacity: Callable[[], int],
    ) -> None:
        """Start accepting connections.

        Args:
            listening: A listening socket, which this acceptor closes.
            factory: Creates the protocol of an accepted connection.
            capacity: Returns how many more connections may be accepted; accepted connections
                whose protocol is not connected yet need not be counted by it.
        """
        self._listening = listening
        self._factory = factory
        self._capacity = capacity
        self._loop = asyncio.get_running_loop()
        self._pending: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._is_closed = False
        listening.setblocking(False)
        self._loop.add_reader(listening, self._on_ready)

    @property
    def sockets(self) -> list[socket.socket]:
        """The listening socket, with the interface of `asyncio.Server`."""
        return [self._listening]

    def close(self) -> None:
        """Stop accepting connections."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._listening)
        self._listening.close()

    def _on_ready(self) -> None:
        capacity = min(self._capacity() - len(self._pending), MAX_ACCEPTS_PER_ITERATION)
        for _ in range(capacity):
            try:
                accepted, _ = self._listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # No file descriptor or no memory: the connections stay in the backlog.
                self._pause()
                return
            self._start_connection(accepted)
        if capacity <= 0:
            self._pause()

    def _start_connection(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        task = self._loop.create_task(self._connect(accepted))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, accepted)
        except OSError:
            # The peer reset the connection before it could be served.
            accepted.close()

    def _pause(self) -> None:
        """Check again later: the loop would call `_on_ready` in every iteration meanwhile."""
        self._loop.remove_reader(self._listening)
        self._retry = self._loop.call_later(RETRY_INTERVAL_SECONDS, self._resume)

    def _resume(self) -> None:
        self._retry = None
        if not self._is_closed:
            self._loop.add_reader(self._listening, self._on_ready)
            self._on_ready()


def listening_socket(
    host: str, port: int, backlog: int, receive_buffer_bytes: int
) -> socket.socket:
    """Create a socket that listens at an address.

    Args:
        host: IP number.
        port: Port; 0 selects a free one.
        backlog: Connections that may wait to be accepted.
        receive_buffer_bytes: Data of each accepted connection that the kernel holds unread.

    Raises:
        OSError: The address is in use, or not an address of this machine.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        listening.bind((host, port))
        listening.listen(backlog)
    except OSError:
        listening.close()
        raise
    return listening
