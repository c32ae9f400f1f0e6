"""A gateway is cut off, or stands still, while servers of a new software version join.

Guards against streams that began at the new version through other gateways, and went on at the old
one, which the cut gateway took for the only one: its view counted as current for longer than the
others waited before they used the new version.
"""

from __future__ import annotations

import asyncio

import pytest

from gateway_harness import Harness
from isolated_gateway import IsolatedGateway
from milletcourse.exchange.resumption.software_versions import ServiceVersion
from versions_fleet import GATEWAYS, VersionsFleet, pausing_at, run_fleet

OLD, NEW = "v1", "v1.2"
HORIZON_SECONDS = 200.0
"""Gateways that have run for this long take a version that they alone see for the only one."""
CALLS_SECONDS = 2.5
"""Calls to the store that were in flight have ended after this."""


async def _start(fleet: VersionsFleet) -> IsolatedGateway:
    """Start gateways that have run for long; the last one follows another one, and may be cut."""
    await fleet.add_servers(pausing_at(2), OLD)
    await fleet.start_gateways()
    for node in fleet.nodes:
        versions = node.context.stream_resumption.versions
        assert versions._since is not None
        versions._since -= HORIZON_SECONDS
        for sightings in versions._sightings.values():
            for sighting in sightings.values():
                sighting.first_at -= HORIZON_SECONDS
    fleet.nodes.sort(key=lambda node: not node.context.reads_store)
    isolated = IsolatedGateway(fleet.nodes[-1])
    await asyncio.sleep(CALLS_SECONDS)
    return isolated


async def _add_new(fleet: VersionsFleet, harness: Harness, count: int = 4) -> None:
    """Servers of the new version join, and the gateways that aren't cut see them."""
    for number in range(count):
        await harness.add_server(f"e-{NEW}-{number}", "engine", pausing_at(2), 1, NEW)
    for node in fleet.nodes[:-1]:
        await harness.until(lambda node=node: fleet.knows_all(node, GATEWAYS))


async def _begin(fleet: VersionsFleet) -> None:
    await fleet.each(
        lambda stream, number: stream.read(
            fleet.nodes[number % (GATEWAYS - 1)], stream.request_id, 2
        )
    )


@pytest.mark.parametrize("is_healed", [False, True])
@pytest.mark.parametrize("seconds", [0.1, 0.6, 1.2, 1.8, 2.1, 2.5, 4.0])
def test_streams_of_a_new_version_do_not_go_on_at_the_old_one_through_a_cut_gateway(
    seconds: float, is_healed: bool
) -> None:
    """However long after the new version appeared they begin, and the cut ends."""

    async def scenario(fleet: VersionsFleet) -> None:
        isolated = await _start(fleet)
        isolated.cut()
        await _add_new(fleet, fleet.harness)
        await asyncio.sleep(seconds)
        await _begin(fleet)
        if is_healed:
            isolated.heal()
        begun = [stream for stream in fleet.streams if stream.numbers]
        assert begun
        await asyncio.gather(*(stream.resume(fleet.nodes[-1]) for stream in begun))
        fleet.judge(min_share=0.0)

    run_fleet(scenario)


@pytest.mark.parametrize("seconds", [0.1, 0.6, 1.5, 2.5])
def test_a_cut_gateway_does_not_join_streams_when_the_old_version_has_left(
    seconds: float,
) -> None:
    """The others have no server of it any more; the cut one still reaches those that leave."""

    async def scenario(fleet: VersionsFleet) -> None:
        isolated = await _start(fleet)
        isolated.cut()
        await _add_new(fleet, fleet.harness)
        for number in range(2):
            fleet.harness.store.remove("servers", f"e-{OLD}-{number}")
        for node in fleet.nodes[:-1]:
            table = node.context.instances
            await fleet.harness.until(lambda table=table: not table.has_software("engine", OLD))
        await asyncio.sleep(seconds)
        await _begin(fleet)
        for stream in fleet.streams:
            assert stream.numbers or (stream.status == 503 and float(stream.retry_after) > 0.0)
        begun = [stream for stream in fleet.streams if stream.numbers]
        await asyncio.gather(*(stream.resume(fleet.nodes[-1]) for stream in begun))
        fleet.judge(min_share=0.0)

    run_fleet(scenario)


def test_a_new_version_is_used_at_once_when_all_gateways_know_it() -> None:
    """Its servers don't stand idle during a release."""

    async def scenario(fleet: VersionsFleet) -> None:
        await _start(fleet)
        await _add_new(fleet, fleet.harness)
        for node in fleet.nodes:
            versions = node.context.stream_resumption.versions
            await fleet.harness.until(
                lambda versions=versions, node=node: (
                    ServiceVersion("engine", NEW) in versions.seen(node.context.now())
                    and not versions.held("engine", node.context.now())
                )
            )
        await _begin(fleet)
        assert NEW in {version for stream in fleet.streams for version in stream.versions}
        await fleet.resume()
        fleet.judge()

    run_fleet(scenario)


def test_streams_of_the_old_version_go_on_through_a_cut_gateway_while_nothing_changes() -> None:
    """For as long as its view is current."""

    async def scenario(fleet: VersionsFleet) -> None:
        isolated = await _start(fleet)
        await _begin(fleet)
        isolated.cut()
        await fleet.each(lambda stream, number: stream.resume(fleet.nodes[-1]))
        fleet.judge()

    run_fleet(scenario)
