"""In-memory network for simulations: HTTP and datagrams with latency, partitions, kills, freezes.

It delivers the same requests to the same ASGI applications as TCP does, on any event loop, so a
virtual clock makes whole clusters deterministic. A frozen host runs nothing that needs time or the
network; a killed host drops its connections.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from milletcourse.runtime.datagrams import DatagramEndpoint, DatagramHandler
from milletcourse.runtime.server import ACCEPTED_GRACE_SECONDS, AsgiApplication

FROZEN_DATAGRAM_BUFFER = 64
"""Datagrams that the socket buffer of a frozen host holds; further ones are dropped."""
PARTITION_POLL_SECONDS = 0.05


@dataclass(slots=True)
class LinkFaults:
    """Faults of all links.

    Attributes:
        datagram_loss: Share of datagrams lost.
        datagram_duplicate: Share delivered twice.
        datagram_delay_seconds: Up to this much is added at random, which reorders.
    """

    datagram_loss: float = 0.0
    datagram_duplicate: float = 0.0
    datagram_delay_seconds: float = 0.0


@dataclass(slots=True, eq=False)
class MemoryHost:
    """One machine with at most one HTTP server and one datagram socket."""

    name: str
    address: str
    place: str
    network: MemoryNetwork
    application: AsgiApplication | None = None
    alive: bool = True
    accepting: bool = True
    datagram_handler: DatagramHandler | None = None
    connections: dict[MemoryConnection, None] = field(default_factory=dict)
    _thawed: asyncio.Event = field(default_factory=asyncio.Event)
    _frozen: bool = False
    _buffered: list[tuple[bytes, str]] = field(default_factory=list)

    async def wait_while_frozen(self) -> None:
        """Wait while the host is frozen."""
        while self._frozen:
            await self._thawed.wait()

    @property
    def frozen(self) -> bool:
        """Whether the host runs nothing."""
        return self._frozen

    def freeze(self) -> None:
        """Stop running."""
        self._frozen = True
        self._thawed = asyncio.Event()

    def thaw(self) -> None:
        """Run again; buffered datagrams are delivered."""
        self._frozen = False
        self._thawed.set()
        buffered, self._buffered = self._buffered, []
        for payload, source in buffered:
            self.deliver(payload, source)

    def deliver(self, payload: bytes, source: str) -> None:
        """Pass a received datagram to the handler; buffer it while the host is frozen."""
        if not self.alive or self.datagram_handler is None:
            return
        if self._frozen:
            if len(self._buffered) < FROZEN_DATAGRAM_BUFFER:
                self._buffered.append((payload, source))
            return
        self.datagram_handler(payload, source)

    def kill(self) -> None:
        """Simulate a crash of the machine: connections break, nothing is served."""
        self.alive = False
        self.application = None
        self.datagram_handler = None
        self._frozen = False
        self._thawed.set()
        for connection in list(self.connections):
            connection.on_host_killed(self)

    async def finish_requests(self) -> None:
        """Planned stop, as `HttpServer.stop` does it."""
        self.accepting = False
        await asyncio.sleep(ACCEPTED_GRACE_SECONDS)
        self.application = None
        while any(item.server is self for item in self.connections):
            await asyncio.sleep(0.01)


class MemoryNetwork:
    """All hosts and the state of the links between them."""

    def __init__(
        self,
        random_source: random.Random,
        near_seconds: float = 0.0002,
        far_seconds: float = 0.001,
    ) -> None:
        self.faults = LinkFaults()
        self.datagrams_sent = 0
        self.datagram_bytes = 0
        self._random = random_source
        self._near_seconds = near_seconds
        self._far_seconds = far_seconds
        self._hosts: dict[str, MemoryHost] = {}
        self._partitioned_links: dict[tuple[str, str], None] = {}

    def add_host(self, name: str, place: str) -> MemoryHost:
        """Add a machine with a new address."""
        number = len(self._hosts) + 1
        address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:80"
        host = MemoryHost(name, address, place, self)
        self._hosts[address] = host
        return host

    def replace_host(self, old: MemoryHost) -> MemoryHost:
        """Replace a machine by a restarted one with the same address."""
        host = MemoryHost(old.name, old.address, old.place, self)
        self._hosts[old.address] = host
        return host

    def host_at(self, address: str) -> MemoryHost | None:
        """The host of an address."""
        return self._hosts.get(address)

    def partition(self, sources: list[MemoryHost], destinations: list[MemoryHost]) -> None:
        """Block all traffic from sources to destinations; the other direction still works."""
        for source in sources:
            for destination in destinations:
                self._partitioned_links[source.address, destination.address] = None

    def heal(self) -> None:
        """Remove all partitions."""
        self._partitioned_links.clear()

    def is_partitioned(self, source: MemoryHost, destination: MemoryHost) -> bool:
        """Whether traffic from source to destination is blocked."""
        return (source.address, destination.address) in self._partitioned_links

    def latency(self, source: MemoryHost, destination: MemoryHost) -> float:
        """One-way delay in seconds, with a little jitter."""
        near = source.place == destination.place
        base = self._near_seconds if near else self._far_seconds
        return base * (1.0 + 0.2 * self._random.random())

    async def wait_for_transmission(self, source: MemoryHost, destination: MemoryHost) -> None:
        """Wait until a byte on a connection has arrived; a partition delays it until it heals."""
        await asyncio.sleep(self.latency(source, destination))
        while self.is_partitioned(source, destination):
            await asyncio.sleep(PARTITION_POLL_SECONDS)

    async def wait_for_request_delivery(self, connection: MemoryConnection) -> bool:
        """Wait until a request has arrived; returns False when its sender reset it before.

        Clients reset aborted connections (`reset_on_close`), so that their sender drops bytes that
        a partition delays, and they do not arrive after the partition has healed.
        """
        source, destination = connection.client, connection.server
        await asyncio.sleep(self.latency(source, destination))
        while self.is_partitioned(source, destination):
            if connection.client_closed.is_set():
                return False
            await asyncio.sleep(PARTITION_POLL_SECONDS)
        return True

    def send_datagram(self, source: MemoryHost, payload: bytes, address: str) -> None:
        """Send a datagram, subject to the faults of this network."""
        self.datagrams_sent += 1
        self.datagram_bytes += len(payload)
        destination = self._hosts.get(address)
        if destination is None or not source.alive or self.is_partitioned(source, destination):
            return
        if self._random.random() < self.faults.datagram_loss:
            return
        copies = 2 if self._random.random() < self.faults.datagram_duplicate else 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            delay = self.latency(source, destination)
            delay += self.faults.datagram_delay_seconds * self._random.random()
            loop.call_later(delay, self._arrive, address, payload, source.address)

    def _arrive(self, address: str, payload: bytes, source: str) -> None:
        host = self._hosts.get(address)
        if host is not None:
            host.deliver(payload, source)


class MemoryConnection:
    """One request with its response."""

    def __init__(self, client: MemoryHost, server: MemoryHost) -> None:
        self.client = client
        self.server = server
        self.client_closed = asyncio.Event()
        self.messages: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        self.task: asyncio.Task[None] | None = None
        self.finished = False
        client.connections[self] = None
        server.connections[self] = None

    def on_host_killed(self, dead: MemoryHost) -> None:
        """One of the two hosts was killed."""
        if dead is self.server:
            if self.task is not None:
                self.task.cancel()
            self.messages.put_nowait(None)
        else:
            self.client_closed.set()
        self.detach()

    def detach(self) -> None:
        """Remove the closed connection from both hosts."""
        self.client.connections.pop(self, None)
        self.server.connections.pop(self, None)


class MemoryDatagramEndpoint:
    """Datagram socket of one host."""

    def __init__(self, host: MemoryHost, handler: DatagramHandler) -> None:
        self._host = host
        self.address = host.address
        host.datagram_handler = handler

    def send(self, payload: bytes, destination: str) -> None:
        """See `DatagramEndpoint.send`."""
        self._host.network.send_datagram(self._host, payload, destination)

    def close(self) -> None:
        """See `DatagramEndpoint.close`."""
        self._host.datagram_handler = None


async def open_memory_datagrams(host: MemoryHost, handler: DatagramHandler) -> DatagramEndpoint:
    """Bind the host's datagram socket."""
    return MemoryDatagramEndpoint(host, handler)


class HostClock:
    """Virtual clock of one host, with skew; sleeping does not return while the host is frozen."""

    def __init__(self, host: MemoryHost, epoch_seconds: float, skew_seconds: float) -> None:
        self._host = host
        self._epoch_seconds = epoch_seconds + skew_seconds

    def monotonic(self) -> float:
        """See `Clock.monotonic`."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """See `Clock.wall`."""
        return self._epoch_seconds + asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        await asyncio.sleep(seconds)
        await self._host.wait_while_frozen()
