"""In-memory network with virtual time and byte counts for hundreds of members in one process."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

UDP_HEADER_BYTES = 28
"""IP and UDP headers of a datagram."""
HTTP_EXCHANGE_BYTES = 700
"""Headers of one request and its response on a persistent connection, with TCP and IP headers."""
SAME_PLACE_SECONDS = 0.0005
SAME_REGION_SECONDS = 0.002
OTHER_REGION_SECONDS = 0.05

DatagramHandler = Callable[[bytes, str], None]


class MemberNetwork:
    """Delivers datagrams and exchanges with latency, loss and partitions; counts their bytes."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.loss = 0.0
        self.datagrams = 0
        self.datagram_bytes = 0
        self.exchanges = 0
        self.exchange_bytes = 0
        self._random = random.Random(f"network/{seed}")
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count()
        self._handlers: dict[str, DatagramHandler] = {}
        self._places: dict[str, str] = {}
        self._partitioned_place = ""

    def attach(self, address: str, place: str, on_datagram: DatagramHandler) -> None:
        """Register the datagram handler of a member."""
        self._handlers[address] = on_datagram
        self._places[address] = place

    def detach(self, address: str) -> None:
        """Remove a member."""
        self._handlers.pop(address, None)

    def partition(self, place: str) -> None:
        """Partition a place from all others; an empty name heals the partition."""
        self._partitioned_place = place

    def reaches(self, source: str, destination: str) -> bool:
        """Whether no partition separates two addresses."""
        if not self._partitioned_place:
            return True
        partitioned = self._partitioned_place
        return (self._places[source] == partitioned) == (self._places[destination] == partitioned)

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._queue, (seconds, next(self._counter), action))

    def run(self, until: float) -> None:
        """Advance the virtual time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def send(self, source: str, payload: bytes, destination: str) -> None:
        """Send a datagram."""
        self.datagrams += 1
        self.datagram_bytes += len(payload) + UDP_HEADER_BYTES
        if self._random.random() < self.loss or not self.reaches(source, destination):
            return
        delay = self._latency(source, destination)
        self.schedule(self.now + delay, lambda: self._deliver(payload, source, destination))

    def exchange(
        self, source: str, destination: str, payload_bytes: int, action: Callable[[], None]
    ) -> bool:
        """Send a request and schedule its response; return False when the peer is unreachable."""
        if destination not in self._handlers or not self.reaches(source, destination):
            return False
        self.exchanges += 1
        self.exchange_bytes += payload_bytes + HTTP_EXCHANGE_BYTES
        self.schedule(self.now + 2 * self._latency(source, destination), action)
        return True

    def _deliver(self, payload: bytes, source: str, destination: str) -> None:
        handler = self._handlers.get(destination)
        if handler is not None:
            handler(payload, source)

    def _latency(self, source: str, destination: str) -> float:
        here, there = self._places[source], self._places[destination]
        if here == there:
            base = SAME_PLACE_SECONDS
        elif here.split("/")[0] == there.split("/")[0]:
            base = SAME_REGION_SECONDS
        else:
            base = OTHER_REGION_SECONDS
        return base * (1.0 + 0.2 * self._random.random())
