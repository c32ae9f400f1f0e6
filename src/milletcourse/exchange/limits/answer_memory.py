"""Account of the memory that a process holds for answers of servers; no input/output.

A bound on each answer doesn't bound all of them together. While the memory doesn't suffice, the
largest answers lose theirs, so that one without end never displaces those of sound servers; those
that a gateway can't go on without are the last. Requests of clients and answers share one capacity.
"""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.limits.client_memory import ClientMemory

MAX_SHARE = 0.5
"""Share of the capacity that answers may take."""
MIN_SHARE = 0.25
"""Share that answers may take however much the requests do."""


class AnswerShare:
    """What one connection holds, to a server or of a client.

    Attributes:
        memory: The account; None for a connection without one, which only a test has.
        held_bytes: Memory of the answer that is being received, or that has not been read.
        is_essential: Answers that aren't essential give way before this one.
    """

    def __init__(self, evict: Callable[[], None]) -> None:
        """Hold nothing.

        Args:
            evict: Drops the answer that is being received.
        """
        self.evict = evict
        self.memory: AnswerMemory | None = None
        self.held_bytes = 0
        self.is_essential = False

    def set_held(self, size: int) -> None:
        """Set the memory of the answer, 0 when it has ended; answers are evicted if it is short."""
        change = size - self.held_bytes
        self.held_bytes = size
        if change and self.memory is not None:
            self.memory.on_change(self, change)

    @property
    def max_bytes(self) -> float:
        """Size of the largest answer that can be held."""
        return self.memory.max_bytes if self.memory is not None else float("inf")


class AnswerMemory:
    """Sums the shares of all connections to servers, and decides which answers are dropped."""

    def __init__(self, clients: ClientMemory) -> None:
        """Hold nothing.

        Args:
            clients: Account of the requests, which has the capacity and the sum of all answers.
        """
        self._clients = clients
        self._holding: dict[AnswerShare, None] = {}

    @property
    def max_bytes(self) -> float:
        """Memory that all answers may take together now."""
        clients = self._clients
        left = clients.capacity_bytes - clients.served_bytes
        most = min(clients.capacity_bytes * MAX_SHARE, left)
        return max(most, clients.capacity_bytes * MIN_SHARE)

    def on_change(self, share: AnswerShare, change: int) -> None:
        """A share holds more or less than before."""
        self._clients.answer_bytes += change
        if not share.held_bytes:
            self._holding.pop(share, None)
            return
        self._holding[share] = None
        if change > 0:
            self._enforce()

    def _enforce(self) -> None:
        while self._clients.answer_bytes > self.max_bytes:
            others = [share for share in self._holding if not share.is_essential]
            largest = max(others or self._holding, key=lambda share: share.held_bytes)
            self._clients.answer_evictions += 1
            largest.evict()
            largest.set_held(0)
