"""Streams before servers of several software versions: each goes on at the one that began it."""

from __future__ import annotations

import asyncio

from versions_fleet import (
    EVENTS,
    GATEWAYS,
    ReceivedStream,
    VersionsFleet,
    breaking_off_once,
    pausing_at,
    run_fleet,
)

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
            lambda: "v1.2" in entries["software-versions"]["Spec"]["versions"]["engine"]
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
