"""Streams that clients resume while the servers of their version are busy."""

from __future__ import annotations

import asyncio
from itertools import count

import pytest

from gateway_harness import LogLines
from gateway_standin import (
    Client,
    ReceivedRequest,
    StandinServer,
    chunk,
    serve_whole,
    stream_head,
)
from milletcourse.gateway.requests.dispatch_builder import CONTINUATION_PRIORITY
from versions_fleet import (
    EVENTS,
    GATEWAYS,
    PROMPT,
    STREAMS,
    ReceivedStream,
    VersionsFleet,
    pausing_at,
    run_fleet,
)

SLOTS = 4
"""Slots of each server, far fewer than streams."""
MAX_NEW_STREAMS = 200
REFUSALS = 5
REFUSAL_SECONDS = 0.1
"""A server may be left for a moment; then the others seem full before all are."""
LONG_MS = 20_000
EVENT_SECONDS = 0.1
"""Pause between events of these: a server that is silent for longer would be left."""
RESUMED_AT_ONCE = 6
"""Together with the new streams they keep the expected wait below what clients bear."""


async def _busy(
    server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Stream without an end to new requests, and as `pausing_at` to the others."""
    if not request.request_id.startswith("new-"):
        await pausing_at(2)(server, request, writer)
        return
    writer.write(stream_head(request))
    for number in count(1):
        writer.write(chunk(b"id: %d\ndata: busy\n\n" % number))
        await asyncio.sleep(EVENT_SECONDS)


async def _start(fleet: VersionsFleet, versions: tuple[str, ...]) -> None:
    """Begin all streams at gateways whose requests don't end while the test runs."""
    for route in fleet.harness.configuration["Routes"]:
        route["TimeoutMs"] = LONG_MS
    for version in versions:
        await fleet.add_servers(_busy, version)
    await fleet.start_gateways(slots=SLOTS)
    await fleet.begin()
    await fleet.harness.until(lambda: not _has_load(fleet))


def _has_load(fleet: VersionsFleet) -> bool:
    """Whether the first gateway takes a server for busy."""
    context = fleet.nodes[0].context
    return any(
        instance.in_flight or context.loads.others_load(instance.key, context.now()).running
        for instance in context.instances
    )


async def _fill_servers(fleet: VersionsFleet) -> list[Client]:
    """Begin streams that never end, until the first gateway refuses new ones."""
    clients = []
    refusals = 0
    for number in range(MAX_NEW_STREAMS):
        client = await Client.connect(fleet.nodes[0].frontend_address)
        client.send("/stream/", f"new-{number}", **{**PROMPT, "Deadline_Ms": str(LONG_MS)})
        async with asyncio.timeout(4.0):
            head = await client.reader.readuntil(b"\r\n\r\n")
            clients.append(client)
            if b" 503 " not in head.split(b"\r\n")[0]:
                refusals = 0
                continue
            problem = await client.reader.readuntil(b"}")
        refusals += b"overloaded" in problem
        if refusals == REFUSALS:
            return clients
        await asyncio.sleep(REFUSAL_SECONDS)
    raise AssertionError("the servers were never full")


@pytest.mark.parametrize("versions", [("v1",), ("v1", "v1.2")], ids=["one-version", "two-versions"])
def test_resumed_streams_are_not_refused_while_their_clients_still_wait(
    versions: tuple[str, ...],
) -> None:
    """The servers are so busy that a first event would be late; the first event came long ago."""

    async def scenario(fleet: VersionsFleet) -> None:
        await _start(fleet, versions)
        clients = await _fill_servers(fleet)
        for start in range(0, STREAMS, RESUMED_AT_ONCE):
            returning = fleet.streams[start : start + RESUMED_AT_ONCE]
            await asyncio.gather(
                *(stream.resume(fleet.nodes[0], Deadline_Ms=str(LONG_MS)) for stream in returning)
            )
        for client in clients:
            client.close()
        fleet.judge()

    run_fleet(scenario)


def test_resumed_streams_whose_clients_would_leave_before_are_refused_at_once() -> None:
    """Their deadline is sooner than the servers are expected to begin them."""

    async def scenario(fleet: VersionsFleet) -> None:
        log = fleet.harness.log_lines = LogLines()
        await _start(fleet, ("v1",))
        clients = await _fill_servers(fleet)
        await fleet.each(lambda stream, number: stream.resume(fleet.nodes[0], Deadline_Ms="300"))
        for client in clients:
            client.close()
        assert {stream.status for stream in fleet.streams} == {503}
        assert all(stream.retry_after for stream in fleet.streams)
        assert not _resumed_at_servers(fleet)
        ends = log.of_event("resumption-ended")
        assert ends and {line["outcome"] for line in ends} == {"overloaded"}

    run_fleet(scenario)


def _resumed_at_servers(fleet: VersionsFleet) -> list[str]:
    """Ids of resumed streams that were sent to a server."""
    returned = {f"{stream.request_id}-after-{stream.numbers[-1]}" for stream in fleet.streams}
    return [
        request.request_id
        for server in fleet.harness.servers.values()
        for request in server.received
        if request.request_id in returned
    ]


def test_resumed_streams_go_before_new_ones_at_their_servers() -> None:
    """They have a higher rank there, whatever a client asks for."""

    async def scenario(fleet: VersionsFleet) -> None:
        await fleet.start_with_two_versions(pausing_at(2))
        await fleet.each(
            lambda stream, number: stream.read(
                fleet.nodes[number % GATEWAYS], stream.request_id, 2, Request_Priority="0"
            )
        )
        await fleet.resume()
        await fleet.harness.add_server("app-1", "app", serve_whole)
        await fleet.harness.until(lambda: fleet.knows_all(fleet.nodes[0], GATEWAYS))
        client = await Client.connect(fleet.nodes[0].frontend_address)
        await client.ask("/safe/", "no-stream", Last_Event_Id="1", Request_Priority="0")
        client.close()
        ranks = {
            (request.target, "-after-" in request.request_id): request.headers.get(
                "request-priority"
            )
            for server in fleet.harness.servers.values()
            for request in server.received
        }
        assert ranks == {
            ("/stream/", False): None,
            ("/stream/", True): str(CONTINUATION_PRIORITY),
            ("/safe/", False): None,
        }

    run_fleet(scenario)


def test_each_try_to_resume_a_stream_is_logged_with_its_end() -> None:
    """An overload suppresses lines of single requests, and must not suppress these."""

    async def scenario(fleet: VersionsFleet) -> None:
        log = fleet.harness.log_lines = LogLines()
        await fleet.start_with_two_versions(pausing_at(2))
        await fleet.begin()
        await fleet.resume()
        unknown = ReceivedStream("never-was", numbers=[1])
        await unknown.resume(fleet.nodes[0], EVENTS)
        await fleet.harness.until(lambda: len(log.of_event("resumption-ended")) == STREAMS + 1)
        lines = {line["resumes"]: line for line in log.of_event("resumption-ended")}
        refused = lines.pop("never-was")
        assert (refused["outcome"], refused["went_on"]) == ("stream-not-resumable", False)
        assert all(line["outcome"] == "served" and line["went_on"] for line in lines.values())
        assert {line["software"] for line in lines.values()} == {"v1", "v1.2"}
        assert all(line["servers"] == 2 for line in lines.values())

    run_fleet(scenario)
