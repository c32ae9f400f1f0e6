"""Streams before servers of several software versions: each goes on at the one that began it."""

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

    async def start_gateways(self, gateways: int = GATEWAYS, **bounds: float) -> None:
        """Start gateways that are found through their entries, with retries for all streams."""
        self.harness.internal_ports = self.harness.free_ports()
        engine = self.harness.configuration["Services"][1]["Engine"]
        engine.update(Slots=4 * STREAMS, KvCapacity=1_000_000)
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


# -- inside one answer --------------------------------------------------------------------------


def test_a_stream_that_its_server_breaks_off_goes_on_at_its_software_version() -> None:
    """The gateway resumes it at the other server of that version, within the same answer."""

    async def scenario(fleet: VersionsFleet) -> None:
        behaviour = breaking_off_once()
        await fleet.start_with_two_versions(behaviour)
        await fleet.begin(until=EVENTS)
        assert len({stream.versions[0] for stream in fleet.streams}) == 2
        fleet.judge()

    run_fleet(scenario)


def test_a_stream_whose_software_version_has_no_other_server_is_cut() -> None:
    """The answer ends within the events of one version, and is not completed by the other one."""

    async def scenario(fleet: VersionsFleet) -> None:
        behaviour = breaking_off_once()
        await fleet.start_with_two_versions(behaviour, 1)
        await fleet.begin(until=EVENTS)
        assert all(stream.numbers == [1, 2] for stream in fleet.streams)
        fleet.judge(min_share=0.0)

    run_fleet(scenario)


# -- over the tries of a client -----------------------------------------------------------------


def test_a_stream_that_its_client_takes_up_elsewhere_goes_on_at_its_software_version() -> None:
    """The second gateway did not begin the stream."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.start_with_two_versions(pausing_at(2))
        await fleet.begin()
        await fleet.resume()
        fleet.judge()

    run_fleet(scenario)


def test_a_stream_that_is_taken_up_twice_goes_on_at_its_software_version() -> None:
    """The third try names the first one, at a gateway that saw neither."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.start_with_two_versions(pausing_at(2, 3))
        await fleet.begin()
        await fleet.resume(until=3)
        await fleet.resume(shift=2)
        fleet.judge()

    run_fleet(scenario)


def test_a_stream_goes_on_at_its_software_version_after_its_gateway_has_ended() -> None:
    """What the first gateway knew of its streams outlives it."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.start_with_two_versions(pausing_at(2))
        await fleet.begin(gateways=1)
        fleet.nodes[0].close()
        await fleet.each(lambda stream, number: stream.resume(fleet.nodes[1 + number % 2]))
        fleet.judge()

    run_fleet(scenario)


def test_streams_begun_before_a_second_software_version_appeared_go_on_at_the_first() -> None:
    """Their gateway has ended since, and began them while it had nothing to tell."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.add_servers(pausing_at(2), "v1")
        await fleet.start_gateways()
        await fleet.begin(gateways=1)
        await fleet.add_servers(pausing_at(2), "v1.2")
        await asyncio.sleep(0.05)
        fleet.nodes[0].close()
        await fleet.each(lambda stream, number: stream.resume(fleet.nodes[1 + number % 2]))
        fleet.judge()

    run_fleet(scenario)


def test_streams_of_a_single_software_version_go_on_without_a_record() -> None:
    """Nobody knows their first tries, but one version alone can have begun them."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.add_servers(pausing_at(2), "v1")
        await fleet.start_gateways()
        await fleet.begin(gateways=1)
        fleet.nodes[0].close()
        await fleet.each(lambda stream, number: stream.resume(fleet.nodes[1 + number % 2]))
        fleet.judge()

    run_fleet(scenario)


def test_streams_of_a_single_software_version_go_on_while_the_store_is_away() -> None:
    """No gateway can prove its list of servers, but the holders of a stream know of no other."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.add_servers(pausing_at(2), "v1")
        await fleet.start_gateways()
        fleet.harness.store.unavailable = True
        fleet.harness.store.reset_connections()
        for node in fleet.nodes:
            context = node.context
            await fleet.harness.until(
                lambda context=context: not context.freshness.allows_not_found(context.now())
            )
        await fleet.begin(gateways=1)
        fleet.nodes[0].close()
        await fleet.each(lambda stream, number: stream.resume(fleet.nodes[1 + number % 2]))
        fleet.judge()

    run_fleet(scenario)


def test_a_gateway_that_has_just_started_does_not_guess_a_streams_software_version() -> None:
    """The version that began the streams has left before it started."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.add_servers(pausing_at(2), "v1")
        await fleet.start_gateways()
        await fleet.add_servers(pausing_at(2), "v1.2")
        await fleet.begin()
        harness = fleet.harness
        for name in ("e-v1-0", "e-v1-1"):
            await harness.servers.pop(name).stop()
            harness.store.remove("servers", name)
        started = await harness.add_gateway("front-late")
        await harness.until(lambda: fleet.knows_all(started, GATEWAYS + 1))
        await fleet.each(lambda stream, number: stream.resume(started))
        fleet.judge(min_share=0.0)

    run_fleet(scenario)


def test_a_gateway_that_has_restarted_keeps_origins_again() -> None:
    """All holders of a stream restart one after the other, and the client comes back afterwards."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.start_with_two_versions(pausing_at(2))
        await fleet.begin()
        for number in range(GATEWAYS):
            name = f"front-{number + 1}"
            fleet.nodes[number].close()
            fleet.nodes[number] = node = await fleet.harness.add_gateway(name)
            await fleet.harness.until(lambda node=node: fleet.knows_all(node, GATEWAYS))
            await asyncio.sleep(0.1)
        await fleet.resume()
        fleet.judge()

    run_fleet(scenario)


def test_versions_that_served_before_a_restart_of_all_gateways_are_not_forgotten() -> None:
    """Only one version is left, and no gateway remembers which streams it didn't begin."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.add_servers(pausing_at(2), "v1")
        await fleet.start_gateways()
        await fleet.add_servers(pausing_at(2), "v1.2")
        await fleet.begin()
        harness = fleet.harness
        entries = harness.store.objects["milletcourse-gateways"]
        await harness.until(
            lambda: any(entry["Spec"]["mixed_services"] for entry in entries.values())
        )
        for name in ("e-v1-0", "e-v1-1"):
            await harness.servers.pop(name).stop()
            harness.store.remove("servers", name)
        for node in fleet.nodes:
            node.close()
        for number in range(GATEWAYS):
            fleet.nodes[number] = await harness.add_gateway(f"front-{number + 1}")
        for node in fleet.nodes:
            await harness.until(lambda node=node: fleet.knows_all(node, GATEWAYS))
        await fleet.resume()
        fleet.judge(min_share=0.0)

    run_fleet(scenario)


# -- what can't be known ------------------------------------------------------------------------


def _assert_refused(fleet: VersionsFleet) -> None:
    for stream in fleet.streams:
        assert stream.numbers == [1, 2]
        assert stream.status == 503 and float(stream.retry_after) > 0.0


def test_another_tenants_request_ids_tell_nothing_of_a_stream() -> None:
    """Whether and where another tenant began a stream under that id plays no part."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.start_with_two_versions(pausing_at(2))
        await fleet.begin()
        await fleet.each(
            lambda stream, number: stream.resume(fleet.nodes[number % GATEWAYS], key="key-2")
        )
        _assert_refused(fleet)

    run_fleet(scenario)


def test_a_stream_of_an_unknown_first_try_is_refused_while_two_software_versions_serve() -> None:
    """No gateway guesses the version."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.start_with_two_versions(pausing_at(2))
        await fleet.begin()
        await fleet.each(
            lambda stream, number: stream.resume(
                fleet.nodes[number % GATEWAYS], Resumes=f"unknown-{number}"
            )
        )
        _assert_refused(fleet)

    run_fleet(scenario)


def test_a_gateway_without_contact_does_not_guess_a_streams_software_version() -> None:
    """It reaches neither the store nor another gateway, and may have missed a second version."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.add_servers(pausing_at(2), "v1")
        await fleet.start_gateways()
        await fleet.begin(gateways=1)
        for node in fleet.nodes[:2]:
            node.close()
        await fleet.harness.store.stop()
        context = fleet.nodes[2].context
        await fleet.harness.until(lambda: not context.freshness.allows_not_found(context.now()))
        await fleet.each(lambda stream, number: stream.resume(fleet.nodes[2]))
        _assert_refused(fleet)

    run_fleet(scenario)


def test_a_request_id_that_two_streams_use_is_refused() -> None:
    """A tenant reuses its ids, and the versions of both streams differ."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.add_servers(pausing_at(2), "v1", 1)
        await fleet.start_gateways()
        first = fleet.streams[0]
        await first.read(fleet.nodes[0], first.request_id, 2)
        await fleet.add_servers(pausing_at(2), "v1.2", 1)
        await fleet.harness.servers.pop("e-v1-0").stop()
        fleet.harness.store.remove("servers", "e-v1-0")
        context = fleet.nodes[1].context
        await fleet.harness.until(lambda: context.instances.get("e-v1-0") is None)
        fleet.streams = [ReceivedStream(first.request_id)]
        await fleet.streams[0].read(fleet.nodes[1], first.request_id, 2)
        assert (first.versions[0], fleet.streams[0].versions[0]) == ("v1", "v1.2")
        await fleet.resume(shift=2)
        _assert_refused(fleet)

    run_fleet(scenario)


def test_a_stream_is_refused_at_once_when_no_server_of_its_software_version_is_left() -> None:
    """The refusal says that it has not run and when to come back."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.start_with_two_versions(pausing_at(2), 1)
        await fleet.begin()
        harness = fleet.harness
        await harness.servers.pop("e-v1-0").stop()
        harness.store.remove("servers", "e-v1-0")
        for node in fleet.nodes:
            await harness.until(lambda node=node: node.context.instances.get("e-v1-0") is None)
        fleet.streams = [stream for stream in fleet.streams if stream.versions[0] == "v1"]
        assert fleet.streams
        started_at = asyncio.get_running_loop().time()
        await fleet.resume()
        assert asyncio.get_running_loop().time() - started_at < 1.0
        _assert_refused(fleet)

    run_fleet(scenario)
