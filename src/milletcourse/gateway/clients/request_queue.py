"""Complete requests of one client connection, which are served one after the other."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from milletcourse.exchange.limits.client_memory import MemoryShare
from milletcourse.gateway.clients.request_reader import ClientRequest, IncomingRequest

MAX_QUEUED_REQUESTS = 8
"""Pipelined requests that are queued before reading pauses."""
MAX_QUEUED_BYTES = 64 * 1024
"""Size of the bodies of these requests, and of the request that is being received meanwhile, at
which reading pauses."""


class RequestQueue:
    """Requests that wait, and the latest one that was taken to be served.

    Attributes:
        current: The request that is served, or was served last; None before the first.
    """

    def __init__(self, share: MemoryShare) -> None:
        """Start empty.

        Args:
            share: Memory of the connection, which has accounted for the requests.
        """
        self.current: ClientRequest | None = None
        self._share = share
        self._waiting: deque[ClientRequest] = deque()

    def __len__(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    def add(self, request: ClientRequest) -> None:
        """Add a request."""
        self._waiting.append(request)

    def take(self) -> ClientRequest:
        """Take the next request to be served."""
        self.current = self._waiting.popleft()
        return self.current

    def on_served(self) -> None:
        """The current request has ended."""
        assert self.current is not None
        self._share.remove_served(self.current.memory_bytes)
        # The connection may stay open without a further request for long.
        self.current.body = b""

    def is_full(self, incoming: IncomingRequest | None) -> bool:
        """Whether no more may be received while a request is served.

        Args:
            incoming: The request that is being received, None for no such.
        """
        if len(self._waiting) > MAX_QUEUED_REQUESTS:
            return True
        size = incoming.body_bytes if incoming is not None else 0
        return size + sum(len(request.body) for request in self._waiting) > MAX_QUEUED_BYTES

    def drop_waiting(self) -> Iterator[ClientRequest]:
        """Remove the requests that wait, one after the other."""
        while self._waiting:
            request = self._waiting.popleft()
            self._share.remove_served(request.memory_bytes)
            yield request

    def clear(self) -> None:
        """Remove the requests that wait, whose client has left."""
        for _ in self.drop_waiting():
            continue
