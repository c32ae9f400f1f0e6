"""Gateways before servers of several software versions, and clients that resume their streams."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from gateway_fleet import GatewayFleet
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    Client,
    ReceivedRequest,
    StandinServer,
    chunk,
    stream_head,
)
from milletcourse.gateway.node import GatewayNode

STREAMS = 24
GATEWAYS = 3
EVENTS = 4
MIN_SHARE_THAT_GOES_ON = 0.95
RETRY_SECONDS = 0.25
"""Pause of a client before it takes up its stream again."""
PROMPT = {
    "Model": "model-1",
    "Token_Usage": "40,8",
    "Prompt_Prefix": "5c1e07a2:20,91bd3f06:20",
    "Deadline_Ms": "3000",
}
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) piece\n\n")


def _event(number: int, software: str) -> bytes:
    return b"id: %d\ndata: %b piece\n\n" % (number, software.encode())


def pausing_at(*numbers: int) -> Behaviour:
    """Stream events that name the server's software, and pause for good after some of them."""

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(stream_head(request))
        for number in range(first, EVENTS + 1):
            writer.write(chunk(_event(number, server.software)))
            if number in numbers:
                await asyncio.Event().wait()
        writer.write(b"0\r\n\r\n")

    return behave


def breaking_off_once() -> Behaviour:
    """Break off the first run of each request within event 3, and stream whole otherwise."""
    broken: set[str] = set()

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.request_id in broken:
            await pausing_at()(server, request, writer)
            return
        broken.add(request.request_id)
        writer.write(stream_head(request))
        for number in (1, 2):
            writer.write(chunk(_event(number, server.software)))
        writer.write(chunk(_event(3, server.software)[:9]))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.transport.abort()

    return behave


@dataclass
class ReceivedStream:
    """What the tries of one client got of a stream.

    Attributes:
        request_id: Id of the first try.
        versions: Software version of each event, in order.
        numbers: Number of each event, in order.
        status: Status of the latest answer.
        retry_after: Its Retry-After; empty for none.
    """

    request_id: str
    versions: list[str] = field(default_factory=list)
    numbers: list[int] = field(default_factory=list)
    status: int = 0
    retry_after: str = ""

    @property
    def is_mixed(self) -> bool:
        """Whether it holds events of several versions."""
        return len(set(self.versions)) > 1

    @property
    def is_whole(self) -> bool:
        """Whether each event came once and in order."""
        return self.numbers == list(range(1, EVENTS + 1))

    async def read(
        self, node: GatewayNode, request_id: str, until: int = EVENTS, **more: str
    ) -> None:
        """Send one try, read the answer up to an event or its end, and leave."""
        client = await Client.connect(node.frontend_address)
        client.send("/stream/", request_id, **{**PROMPT, **more})
        data = b""
        async with asyncio.timeout(4.0):
            while not data.endswith(b"\r\n0\r\n\r\n"):
                try:
                    received = await client.reader.read(65536)
                except ConnectionError:
                    break
                data += received
                is_reached = any(int(number) >= until for number, _ in EVENT.findall(data))
                if not received or is_reached or b"\r\nContent-Length:" in data:
                    break
        client.close()
        head, _, body = data.partition(b"\r\n\r\n")
        if head:
            self.status = int(head.split(b" ")[1])
            found = re.search(rb"(?i)retry-after: (\S+)", head)
            self.retry_after = found.group(1).decode() if found else ""
        for number, software in EVENT.findall(body):
            self.numbers.append(int(number))
            self.versions.append(software.decode())

    async def resume(self, node: GatewayNode, until: int = EVENTS, **more: str) -> None:
        """Come back after the latest event."""
        fields = {"Resumes": self.request_id, "Last_Event_Id": str(self.numbers[-1]), **more}
        await self.read(node, f"{self.request_id}-after-{self.numbers[-1]}", until, **fields)


class VersionsFleet(GatewayFleet):
    """Gateways before servers of two software versions, and the streams of their clients."""

    def __init__(self, harness: Harness) -> None:
        super().__init__(harness)
        self.streams = [ReceivedStream(f"stream-{number}") for number in range(STREAMS)]

    async def add_servers(self, behaviour: Behaviour, software: str, count: int = 2) -> None:
        """Start servers of one version; gateways that run see them before this returns."""
        for number in range(count):
            name = f"e-{software}-{number}"
            await self.harness.add_server(name, "engine", behaviour, 1, software)
        for node in self.nodes:
            await self.harness.until(lambda node=node: self.knows_all(node, len(self.nodes)))

    async def start_gateways(
        self, gateways: int = GATEWAYS, slots: int = 4 * STREAMS, **bounds: float
    ) -> None:
        """Start gateways that are found through their entries, with retries for all streams."""
        self.harness.internal_ports = self.harness.free_ports()
        engine = self.harness.configuration["Services"][1]["Engine"]
        engine.update(Slots=slots, KvCapacity=1_000_000)
        self.harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 1})
        await super().start_gateways(gateways, RetrySlack=50.0 * STREAMS, **bounds)

    async def start_with_two_versions(self, behaviour: Behaviour, count: int = 2) -> None:
        """Start servers of v1 and v1.2, and the gateways."""
        await self.add_servers(behaviour, "v1", count)
        await self.add_servers(behaviour, "v1.2", count)
        await self.start_gateways()

    async def each(self, act: Callable[[ReceivedStream, int], Awaitable[None]]) -> None:
        """Do something with each stream and its number, all at the same time."""
        await asyncio.gather(*(act(stream, number) for number, stream in enumerate(self.streams)))

    async def begin(self, until: int = 2, gateways: int = GATEWAYS) -> None:
        """Begin all streams, and leave them after an event."""
        await self.each(
            lambda stream, number: stream.read(
                self.nodes[number % gateways], stream.request_id, until
            )
        )
        assert all(stream.numbers for stream in self.streams)

    async def resume(self, until: int = EVENTS, shift: int = 1, gateways: int = GATEWAYS) -> None:
        """Take up all streams, each at a gateway some places further."""
        await self.each(
            lambda stream, number: stream.resume(self.nodes[(number + shift) % gateways], until)
        )

    async def remove_servers(self, software: str) -> None:
        """All servers of a version leave; gateways that run see that before this returns."""
        names = [
            name for name, server in self.harness.servers.items() if server.software == software
        ]
        for name in names:
            await self.harness.servers.pop(name).stop()
            self.harness.store.remove("servers", name)
        for node in self.nodes:
            for name in names:
                await self.harness.until(
                    lambda node=node, name=name: node.context.instances.get(name) is None
                )

    def kill_all(self) -> None:
        """End all gateways at once, without a planned stop."""
        for node in self.nodes:
            node.close()
        self.nodes = []

    async def launch(self, seconds_apart: float = 0.0) -> None:
        """Start all gateways, without any memory."""
        for number in range(GATEWAYS):
            self.nodes.append(await self.harness.add_gateway(f"front-{number + 1}"))
            await asyncio.sleep(seconds_apart)

    async def start_again(self, seconds_apart: float = 0.0) -> None:
        """Start all gateways, without any memory, and wait until they are ready."""
        await self.launch(seconds_apart)
        await self.until_ready()

    async def until_ready(self) -> None:
        """Wait until all gateways are ready, and know each other and the servers."""
        for node in self.nodes:
            await self.harness.until(lambda node=node: self.knows_all(node, GATEWAYS))

    async def resume_repeatedly(self, seconds: float) -> None:
        """Take up each stream, at one gateway after the other, until it is whole or time is up."""
        ends_at = asyncio.get_running_loop().time() + seconds

        async def resume(stream: ReceivedStream, number: int) -> None:
            while not stream.is_whole and asyncio.get_running_loop().time() < ends_at:
                number += 1
                await stream.resume(self.nodes[number % len(self.nodes)])
                if not stream.is_whole:
                    await asyncio.sleep(RETRY_SECONDS)

        await self.each(resume)

    def judge(self, min_share: float = MIN_SHARE_THAT_GOES_ON) -> None:
        """No stream holds events of two versions, and most of them went on."""
        mixed = [stream for stream in self.streams if stream.is_mixed]
        assert not mixed, f"{len(mixed)} of {STREAMS} streams hold events of two versions"
        whole = sum(stream.is_whole for stream in self.streams)
        assert whole >= min_share * STREAMS, f"only {whole} of {STREAMS} streams went on"


def run_fleet(scenario: Callable[[VersionsFleet], Awaitable[None]]) -> None:
    """Run a scenario with a fleet without servers and gateways yet."""

    async def body(harness: Harness) -> None:
        await scenario(VersionsFleet(harness))

    run_with_gateway(body)
