"""All gateways are killed while servers of two software versions come and go.

No gateway remembers what it began; a client's stream then goes on at the version that began it, or
not at all.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from milletcourse.platform.names import KINDS
from versions_fleet import STREAMS, ReceivedStream, VersionsFleet, pausing_at, run_fleet

RESUME_SECONDS = 2.0
RECORD_SECONDS = 0.8
"""After this long a reader has recorded where streams began."""
OLD, NEW = "v1", "v1.2"

Order = Callable[[VersionsFleet], Awaitable[None]]
"""What happens to gateways and servers between the first tries of streams and the next ones."""


async def _kill(fleet: VersionsFleet, times: int = 1, pause: float = 0.5) -> None:
    for _ in range(times):
        fleet.kill_all()
        await asyncio.sleep(0.1)
        await fleet.start_again()
        await asyncio.sleep(pause if times > 1 else 0.0)


async def _begin_with_one(fleet: VersionsFleet) -> None:
    await fleet.add_servers(pausing_at(2), OLD)
    await fleet.start_gateways()
    await fleet.begin()


async def _begin_with_both(fleet: VersionsFleet) -> None:
    await fleet.start_with_two_versions(pausing_at(2))
    await fleet.begin()


async def _begin_with_both_recorded(fleet: VersionsFleet) -> None:
    await _begin_with_both(fleet)
    await asyncio.sleep(RECORD_SECONDS)


# -- orders of events ---------------------------------------------------------------------------


async def both_serve(fleet: VersionsFleet) -> None:
    """Both versions serve before and after."""
    await _begin_with_both(fleet)
    await _kill(fleet)


async def both_serve_three_kills(fleet: VersionsFleet) -> None:
    """The gateways are killed three times."""
    await _begin_with_both(fleet)
    await _kill(fleet, 3, 0.2)


async def old_leaves_between_kills(fleet: VersionsFleet) -> None:
    """The first version leaves as soon as all gateways are ready again."""
    await _begin_with_both(fleet)
    await _kill(fleet)
    await fleet.remove_servers(OLD)
    await asyncio.sleep(0.5)
    await _kill(fleet)


async def new_comes_after_old_has_left(fleet: VersionsFleet) -> None:
    """The two versions never serve side by side."""
    await _begin_with_one(fleet)
    await fleet.remove_servers(OLD)
    await asyncio.sleep(0.5)
    await fleet.add_servers(pausing_at(2), NEW)
    await asyncio.sleep(1.0)
    await _kill(fleet)


async def new_comes_after_old_has_left_two_kills(fleet: VersionsFleet) -> None:
    """The same, and the second kill follows 0.5 s after the first one."""
    await new_comes_after_old_has_left(fleet)
    await asyncio.sleep(0.5)
    await _kill(fleet)


async def replaced_while_no_gateway_runs(fleet: VersionsFleet) -> None:
    """No gateway has seen both versions."""
    await _begin_with_one(fleet)
    fleet.kill_all()
    await fleet.remove_servers(OLD)
    await fleet.add_servers(pausing_at(2), NEW)
    await fleet.start_again()


async def replaced_while_no_gateway_runs_two_kills(fleet: VersionsFleet) -> None:
    """What the gateways found at their first start has to outlast the second kill."""
    await replaced_while_no_gateway_runs(fleet)
    await asyncio.sleep(0.3)
    await _kill(fleet)


async def starts_in_series(fleet: VersionsFleet) -> None:
    """A gateway that starts later finds others that know no more than it does."""
    await _begin_with_one(fleet)
    fleet.kill_all()
    await fleet.remove_servers(OLD)
    await fleet.add_servers(pausing_at(2), NEW)
    await fleet.start_again(seconds_apart=0.4)


async def killed_before_all_have_started(fleet: VersionsFleet) -> None:
    """Gateways end before they have read the list of gateways, again and again."""
    await _begin_with_one(fleet)
    await fleet.remove_servers(OLD)
    await fleet.add_servers(pausing_at(2), NEW)
    for seconds in (0.0, 0.02, 0.05, 0.1, 0.2):
        fleet.kill_all()
        await fleet.launch()
        await asyncio.sleep(seconds)
    await _kill(fleet)


async def one_gateway_lives_on(fleet: VersionsFleet) -> None:
    """It alone remembers its own streams; the others have to take its word."""
    await _begin_with_both(fleet)
    survivor = fleet.nodes.pop()
    fleet.kill_all()
    fleet.nodes.append(survivor)
    await fleet.remove_servers(OLD)
    for name in ("front-1", "front-2"):
        fleet.nodes.append(await fleet.harness.add_gateway(name))
    await fleet.until_ready()


async def store_is_away_at_the_start(fleet: VersionsFleet) -> None:
    """The gateways can't read what others have recorded, and a version leaves meanwhile."""
    await _begin_with_both(fleet)
    store = fleet.harness.store
    fleet.kill_all()
    store.unavailable = True
    store.reset_connections()
    await fleet.launch()
    await asyncio.sleep(1.5)
    for name in (f"e-{OLD}-0", f"e-{OLD}-1"):
        await fleet.harness.servers.pop(name).stop()
        store.remove("servers", name)
    store.unavailable = False
    await fleet.until_ready()


async def store_returns_from_an_older_copy(fleet: VersionsFleet) -> None:
    """The store loses the record of the second version while no gateway runs."""
    await fleet.add_servers(pausing_at(2), OLD)
    await fleet.start_gateways()
    await asyncio.sleep(0.3)
    store = fleet.harness.store
    snapshot = store.take_snapshot()
    await fleet.add_servers(pausing_at(2), NEW)
    await asyncio.sleep(0.6)
    await fleet.begin()
    fleet.kill_all()
    store.restore(snapshot)
    await fleet.remove_servers(NEW)
    await fleet.start_again()


async def list_of_gateways_is_stale(fleet: VersionsFleet) -> None:
    """Stale lists don't show the latest changes yet, among them the record of a version."""
    await _begin_with_both(fleet)
    fleet.kill_all()
    fleet.harness.store.stale_by = 12
    await fleet.remove_servers(OLD)
    await fleet.start_again()


MIXING_ORDERS: list[Order] = [
    both_serve,
    both_serve_three_kills,
    old_leaves_between_kills,
    new_comes_after_old_has_left,
    new_comes_after_old_has_left_two_kills,
    replaced_while_no_gateway_runs,
    replaced_while_no_gateway_runs_two_kills,
    starts_in_series,
    killed_before_all_have_started,
    one_gateway_lives_on,
    store_is_away_at_the_start,
    store_returns_from_an_older_copy,
    list_of_gateways_is_stale,
]


@pytest.mark.parametrize("order", MIXING_ORDERS, ids=lambda order: order.__name__)
def test_streams_taken_up_after_all_gateways_were_killed_are_not_joined_from_two_versions(
    order: Order,
) -> None:
    """A gateway without memory took the only version that it saw for the one that began them."""

    async def scenario(fleet: VersionsFleet) -> None:
        await order(fleet)
        await fleet.resume_repeatedly(RESUME_SECONDS)
        fleet.judge(min_share=0.0)

    run_fleet(scenario)


@pytest.mark.parametrize("seconds", [0.02, 0.1, 0.3, 0.6, 1.2, 2.0])
def test_a_version_that_appears_just_before_all_gateways_are_killed_is_not_forgotten(
    seconds: float,
) -> None:
    """The first version leaves between the appearance of the second one and the kill."""

    async def scenario(fleet: VersionsFleet) -> None:
        await _begin_with_one(fleet)
        await fleet.add_servers(pausing_at(2), NEW)
        await asyncio.sleep(seconds / 2)
        await fleet.remove_servers(OLD)
        await asyncio.sleep(seconds / 2)
        await _kill(fleet)
        await fleet.resume_repeatedly(RESUME_SECONDS)
        fleet.judge(min_share=0.0)

    run_fleet(scenario)


def _assert_streams_go_on_after_kills(begin: Order, kills: int) -> None:
    async def scenario(fleet: VersionsFleet) -> None:
        await begin(fleet)
        await _kill(fleet, kills, 0.2)
        await fleet.resume_repeatedly(RESUME_SECONDS)
        fleet.judge()

    run_fleet(scenario)


@pytest.mark.parametrize("kills", [1, 2, 3])
def test_streams_of_a_single_software_version_go_on_after_all_gateways_were_killed(
    kills: int,
) -> None:
    """No other version can have begun them."""
    _assert_streams_go_on_after_kills(_begin_with_one, kills)


@pytest.mark.parametrize("kills", [1, 2, 3])
def test_streams_of_two_software_versions_go_on_after_all_gateways_were_killed(
    kills: int,
) -> None:
    """No gateway that knew where they began is left; the readers have recorded it."""
    _assert_streams_go_on_after_kills(_begin_with_both_recorded, kills)


def test_recorded_streams_go_on_although_other_streams_began_after_the_kill() -> None:
    """A record that a reader begins after its start doesn't replace what it had recorded."""

    async def scenario(fleet: VersionsFleet) -> None:
        await _begin_with_both_recorded(fleet)
        earlier = fleet.streams
        await _kill(fleet)
        fleet.streams = [ReceivedStream(f"later-{number}") for number in range(STREAMS)]
        await fleet.begin()
        await asyncio.sleep(RECORD_SECONDS)
        await _kill(fleet)
        fleet.streams += earlier
        await fleet.resume_repeatedly(RESUME_SECONDS)
        whole = sum(stream.is_whole for stream in fleet.streams)
        assert whole >= 0.95 * len(fleet.streams)
        assert not any(stream.is_mixed for stream in fleet.streams)

    run_fleet(scenario)


def test_nothing_is_recorded_while_a_single_software_version_serves() -> None:
    """Each record is a call to the store."""

    async def scenario(fleet: VersionsFleet) -> None:
        await _begin_with_one(fleet)
        await asyncio.sleep(RECORD_SECONDS)
        assert KINDS.origins not in fleet.harness.store.objects

    run_fleet(scenario)


def test_a_record_that_another_writer_made_unreadable_is_written_again() -> None:
    """The streams that this gateway knows are in it, and the gateways go on."""

    async def scenario(fleet: VersionsFleet) -> None:
        await _begin_with_both_recorded(fleet)
        store = fleet.harness.store
        for name in list(store.objects[KINDS.origins]):
            store.put(KINDS.origins, name, {"streams": {"engine": {"v1": {"no number": 5}}}})
        fleet.streams += [ReceivedStream(f"later-{number}") for number in range(STREAMS)]
        for number, stream in enumerate(fleet.streams[STREAMS:]):
            await stream.read(fleet.nodes[number % len(fleet.nodes)], stream.request_id, 2)
        await asyncio.sleep(2 * RECORD_SECONDS)
        await _kill(fleet)
        await fleet.resume_repeatedly(RESUME_SECONDS)
        assert sum(stream.is_whole for stream in fleet.streams) >= 0.95 * len(fleet.streams)

    run_fleet(scenario)
