"""Gateways that follow a reader of the store: ranking, proofs, and failures of readers."""

from __future__ import annotations

import asyncio
import random

import msgspec

from gateway_harness import Harness, run_with_gateway
from gateway_standin import configuration, serve_whole
from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.exchange.replication.pending_contents import PendingUpdate
from milletcourse.exchange.replication.reader_selection import (
    FAILED_READER_PAUSE_SECONDS,
    MAX_UNREADY_READER_PAUSE_SECONDS,
    GatewayRecord,
    ReaderSelection,
)
from milletcourse.gateway.node import GatewayNode
from milletcourse.gateway.store.kind_event_handler import NoOpEventHandler
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.object_store import ObjectChange, ObjectChanges, StoredObject
from soak.proxy import FaultProxy

NAMES = [f"front-{number}" for number in range(1, 13)]
ZONES = ["zone-1", "zone-2", "zone-3"]
GATEWAYS = "milletcourse-gateways"
WIDE_LINK = 200.0


def records() -> list[GatewayRecord]:
    """Twelve gateways in three zones."""
    return [
        GatewayRecord(name, ZONES[index % 3], f"10.0.0.{index}:1", f"10.0.0.{index}:2")
        for index, name in enumerate(NAMES)
    ]


def plan_of(record: GatewayRecord, listed: list[GatewayRecord]) -> ReaderSelection:
    """The plan of one gateway that knows a list of gateways."""
    plan = ReaderSelection(record.name, record.zone)
    plan.set_gateways(listed)
    return plan


def test_one_gateway_of_each_zone_reads_and_all_agree_on_it() -> None:
    """The other gateways of a zone follow its reader, whatever the order of the list."""
    listed = records()
    shuffled = listed[:]
    random.Random(3).shuffle(shuffled)
    readers: dict[str, set[str]] = {zone: set() for zone in ZONES}
    for record in listed:
        plan = plan_of(record, shuffled)
        chosen = plan.choose(0.0)
        assert (chosen is None) is plan.is_reader
        readers[record.zone].add(record.name if chosen is None else chosen.name)
    assert all(len(names) == 1 for names in readers.values())


def test_the_widest_link_of_a_zone_reads() -> None:
    """The bandwidth of the link takes precedence over the hash of the name."""
    wide = GatewayRecord("front-99", "zone-1", "10.0.0.99:1", "10.0.0.99:2", 200.0)
    listed = [*records(), wide]
    for record in listed:
        plan = ReaderSelection(record.name, record.zone, record.link_megabits)
        plan.set_gateways(listed)
        if record.zone == "zone-1":
            assert plan.is_reader is (record == wide)


def test_failed_readers_are_set_aside_for_longer_each_time() -> None:
    """The readers of other zones come next, then the second one of the zone, then the store."""
    listed = records()
    follower = next(item for item in listed if plan_of(item, listed).choose(0.0) is not None)
    plan = plan_of(follower, listed)
    first = plan.choose(0.0)
    asked: list[str] = []
    while (reader := plan.choose(0.0)) is not None:
        asked.append(reader.name)
        plan.on_failed(reader.name, 0.0, answered=False)
    assert first is not None and asked[0] == first.name
    assert len(asked) == len(set(asked)) <= len(ZONES) + 1
    assert plan.choose(FAILED_READER_PAUSE_SECONDS + 0.1) == first
    plan.on_failed(first.name, FAILED_READER_PAUSE_SECONDS + 0.1, answered=False)
    assert plan.choose(2 * FAILED_READER_PAUSE_SECONDS + 0.1) != first
    plan.on_success(first.name)
    assert plan.choose(2 * FAILED_READER_PAUSE_SECONDS + 0.1) == first


def test_a_gateway_without_others_reads_the_store_itself() -> None:
    """Also when the other gateways serve no feed, or aren't listed yet."""
    plan = ReaderSelection("front-1", "zone-1")
    assert plan.is_reader
    plan.set_gateways([GatewayRecord("front-2", "zone-1", "10.0.0.2:1")])
    assert plan.choose(0.0) is None and plan.is_reader


class _Collector(NoOpEventHandler):
    """An event handler that keeps the names of the objects."""

    def __init__(self) -> None:
        self.names: set[str] = set()

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        self.names = {stored.name for stored in objects}

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        for change in changes:
            if change.deleted:
                self.names.discard(change.stored.name)
            else:
                self.names.add(change.stored.name)


def _at(revision: int, era: int = 1) -> StorePosition:
    return StorePosition(era, revision)


def _stored(name: str, revision: int, spec: bytes = b"{}") -> StoredObject:
    return StoredObject(name, _at(revision), spec)


def test_a_mirror_serves_the_changes_that_a_follower_lacks() -> None:
    """All objects at first, then changes, then the differences between two lists."""
    reader = KindMirror("kind", _Collector())
    handler = _Collector()
    follower = KindMirror("kind", handler)
    assert reader.since(None) is None and not reader.has_changes(None)
    reader.on_list([_stored("a", 1), _stored("b", 2)], _at(10), 0.0)

    def feed() -> None:
        received = reader.since(follower.position)
        if received is not None:
            follower.apply_update(PendingUpdate(follower.position, received), 0.0)

    feed()
    assert handler.names == {"a", "b"} and follower.position == _at(10)
    assert not reader.has_changes(_at(10))
    reader.on_changes(ObjectChanges((ObjectChange(_stored("c", 11), False),), _at(12)), 0.0)
    feed()
    assert handler.names == {"a", "b", "c"} and follower.position == _at(12)
    reader.on_list([_stored("c", 11), _stored("d", 14)], _at(15), 0.0)
    assert reader.has_changes(_at(12))
    feed()
    assert handler.names == {"c", "d"} and follower.position == _at(15)
    follower.on_list([_stored("a", 1)], _at(9), 0.0)
    assert handler.names == {"c", "d"}, "an older list is discarded"
    reader.on_changes(ObjectChanges((), _at(20)), 0.0)
    assert not reader.has_changes(_at(15))
    feed()
    assert follower.position == _at(20), (
        "the position advances without changes, so that the store still has its history"
    )


async def _start_pair(
    harness: Harness,
    reader_store: str = "",
    follower_store: str = "",
    reader_link: float = 0.0,
    **bounds: int,
) -> tuple[GatewayNode, GatewayNode]:
    """A reader and its follower; each may connect to the store through a proxy."""
    await harness.add_server("app-1", "app", serve_whole)
    harness.store.put("config", "main", configuration())
    harness.internal_ports = harness.free_ports()
    names = sorted(["front-1", "front-2"], key=_is_follower)
    reader = await harness.add_gateway(names[0], reader_store, link_megabits=reader_link)
    await harness.until(reader.context.is_ready)
    await harness.until(lambda: names[0] in harness.store.objects.get(GATEWAYS, {}))
    follower = await harness.add_gateway(names[1], follower_store, **bounds)
    await harness.until(lambda: _is_fed(follower))
    return reader, follower


def _is_follower(name: str) -> bool:
    """Whether a gateway of a pair in one zone follows the other."""
    other = "front-2" if name == "front-1" else "front-1"
    plan = ReaderSelection(name, "zone-1")
    plan.set_gateways([GatewayRecord(other, "zone-1", "10.0.0.1:1", "10.0.0.1:2")])
    return not plan.is_reader


def _is_fed(node: GatewayNode) -> bool:
    """Whether it is ready and follows a reader, which it doesn't while reading its first lists."""
    return node.context.is_ready() and bool(node.context.followed_reader)


def _calls_for(harness: Harness, kind: str) -> int:
    return sum(f"/{kind}" in call.target for call in harness.store.calls)


def test_a_follower_gets_all_changes_from_its_reader_without_calls_to_the_store() -> None:
    """The follower applies a new version, but only called the store for its first lists."""

    async def scenario(harness: Harness) -> None:
        _, follower = await _start_pair(harness)
        harness.store.calls.clear()
        harness.store.put("config", "main", configuration(2))
        await harness.add_server("app-2", "app", serve_whole)
        context = follower.context
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 2
        )
        await harness.until(lambda: context.instances.get("app-2") is not None)
        # One watch of each kind was waiting when the calls were cleared; only the reader goes on.
        assert _calls_for(harness, "config") <= 2
        assert context.freshness.age(context.now()) < context.replication_times.steady_state_age

    run_with_gateway(scenario)


def _first_calls_for(harness: Harness, kind: str) -> list[str]:
    """Lists of a kind, without watches, which a reader keeps sending."""
    targets = [call.target for call in harness.store.calls if f"/{kind}" in call.target]
    return [target for target in targets if "Watch=" not in target]


def test_a_gateway_that_restarts_alone_gets_all_objects_from_its_reader() -> None:
    """It reads one cheap list of the gateways; its own entry is still there and isn't rewritten."""

    async def scenario(harness: Harness) -> None:
        _, follower = await _start_pair(harness, reader_link=WIDE_LINK)
        name = follower.context.settings.name
        await harness.until(lambda: name in harness.store.objects[GATEWAYS])
        follower.close()
        harness.store.calls.clear()
        again = await harness.add_gateway(name)
        await harness.until(lambda: _is_fed(again))
        assert again.context.instances.get("app-1") is not None
        for kind in ("config", "servers", "versions"):
            assert _first_calls_for(harness, kind) == []
        assert len(_first_calls_for(harness, GATEWAYS)) == 1

    run_with_gateway(scenario)


def test_a_terminated_incarnation_is_announced_to_the_other_gateways() -> None:
    """The gateway that detected it announces it, so that no other has to detect it too."""

    async def scenario(harness: Harness) -> None:
        reader, follower = await _start_pair(harness)
        await harness.add_server("app-2", "app", serve_whole)
        for node in (reader, follower):
            await harness.until(lambda node=node: node.context.instances.get("app-2") is not None)
        ended = follower.context.instances.get("app-1")
        assert ended is not None
        follower.context.server_states.note_successor(ended, "app-3")
        known = reader.context.instances
        await harness.until(lambda: set(known.of_service("app")) == {"app-2"})

    run_with_gateway(scenario)


def test_a_follower_whose_reader_stops_reads_the_store_itself() -> None:
    """No change after the stop of the reader is missed."""

    async def scenario(harness: Harness) -> None:
        reader, follower = await _start_pair(harness)
        reader.close()
        harness.store.put("config", "main", configuration(2))
        context = follower.context
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 2
        )
        assert context.reads_store

    run_with_gateway(scenario)


def test_a_reader_that_lost_the_store_does_not_attest_its_state() -> None:
    """Its followers read the store themselves, and go on accepting keys."""

    async def scenario(harness: Harness) -> None:
        proxy = FaultProxy(harness.store.address)
        await proxy.start()
        try:
            _, follower = await _start_pair(harness, proxy.address)
            proxy.block()
            harness.store.put("config", "main", configuration(2))
            context = follower.context
            await harness.until(
                lambda: context.route_table is not None and context.route_table.version == 2
            )
            assert context.may_use_keys(None) and context.is_ready()
        finally:
            await proxy.close()

    run_with_gateway(scenario)


def test_a_reader_that_can_not_attest_costs_no_calls_while_another_one_can() -> None:
    """Its followers turn to another zone's reader at once, and miss no change."""

    async def scenario(harness: Harness) -> None:
        reader, follower = await _start_pair(harness)
        far = await harness.add_gateway("front-3", zone="zone-2")
        await harness.until(far.context.is_ready)
        context = follower.context
        await harness.until(lambda: context.gateways == 3)
        times = reader.context.replication_times
        reader.context.replication_times = msgspec.structs.replace(times, max_proof_age=0.0)
        reads_store = False
        # It refuses, and is polled again several times.
        later = context.now() + 4 * MAX_UNREADY_READER_PAUSE_SECONDS
        while context.now() < later:
            reads_store = reads_store or context.reads_store
            await asyncio.sleep(0.005)
        assert not reads_store
        harness.store.put("config", "main", configuration(2))
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 2
        )
        reader.context.replication_times = times
        await harness.until(lambda: context.followed_reader == reader.context.settings.name)

    run_with_gateway(scenario)


def test_a_follower_goes_back_to_its_reader() -> None:
    """When the reader can attest its state again, the follower stops reading the store."""

    async def scenario(harness: Harness) -> None:
        proxy = FaultProxy(harness.store.address)
        await proxy.start()
        try:
            reader, follower = await _start_pair(harness, proxy.address)
            proxy.block()
            await harness.until(lambda: follower.context.reads_store)
            proxy.unblock()
            await harness.until(lambda: _is_fed(follower))
            assert reader.context.reads_store
        finally:
            await proxy.close()

    run_with_gateway(scenario)


def test_a_follower_partitioned_from_the_store_is_served_by_its_reader() -> None:
    """Its proofs come from the reader, so that it goes on accepting keys."""

    async def scenario(harness: Harness) -> None:
        proxy = FaultProxy(harness.store.address)
        await proxy.start()
        try:
            _, follower = await _start_pair(harness, follower_store=proxy.address, RevokeMs=1500)
            proxy.block()
            context = follower.context
            later = context.now() + 1.5
            await harness.until(
                lambda: context.now() - context.freshness.age(context.now()) > later
            )
            assert context.is_ready() and not context.reads_store
        finally:
            await proxy.close()

    run_with_gateway(scenario)


def test_a_reader_that_the_store_refuses_gets_changes_from_another_gateway() -> None:
    """It goes on accepting keys and applying changes, and reads the store again when it can."""

    async def scenario(harness: Harness) -> None:
        proxy = FaultProxy(harness.store.address)
        await proxy.start()
        try:
            reader, _ = await _start_pair(harness, proxy.address, RevokeMs=1500)
            proxy.block()
            context = reader.context
            later = context.now() + 4.0
            await harness.until(
                lambda: context.now() - context.freshness.age(context.now()) > later
            )
            assert context.is_ready()
            harness.store.put("config", "main", configuration(2))
            await harness.until(
                lambda: context.route_table is not None and context.route_table.version == 2
            )
            proxy.unblock()
            harness.store.calls.clear()
            await harness.until(lambda: _calls_for(harness, "config") >= 6)
            assert context.reads_store and context.is_ready()
        finally:
            await proxy.close()

    run_with_gateway(scenario)


def test_a_plan_names_substitutes_for_a_reader_only_among_others() -> None:
    """Readers of other zones come first; a gateway alone in its zone has substitutes too."""
    plan = ReaderSelection("front-1", "zone-1", 1000.0)
    assert plan.choose_fallback(0.0) is None
    others = [
        GatewayRecord("front-2", "zone-1", "10.0.0.1:1", "10.0.0.1:2", 10.0),
        GatewayRecord("front-3", "zone-2", "10.0.0.2:1", "10.0.0.2:2", 10.0),
    ]
    plan.set_gateways(others)
    assert plan.is_reader and plan.choose(0.0) is None
    first = plan.choose_fallback(0.0)
    assert first is not None and first.name == "front-3"
    plan.on_failed("front-3", 0.0, answered=False)
    second = plan.choose_fallback(0.0)
    assert second is not None and second.name == "front-2"


def test_an_unavailable_store_is_called_for_one_kind_only() -> None:
    """The other kinds are requested when it is available again, and no change is missed."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        await asyncio.sleep(0.3)
        harness.store.refuse_share = 1.0
        harness.store.calls.clear()
        await harness.until(lambda: _calls_for(harness, "config") >= 9)
        for kind in ("servers", "versions"):
            assert _calls_for(harness, kind) <= 3, "at most those that began before"
        harness.store.refuse_share = 0.0
        await harness.add_server("app-2", "app", serve_whole)
        assert harness.node is not None
        instances = harness.node.context.instances
        await harness.until(lambda: instances.get("app-2") is not None)

    run_with_gateway(scenario)


def test_a_reader_that_can_not_attest_is_polled_again_soon_however_often_it_refused() -> None:
    """A silent one is set aside for increasing times."""
    plan = ReaderSelection("front-1", "zone-1")
    other = "front-2"
    plan.set_gateways([GatewayRecord(other, "zone-1", "10.0.0.1:1", "10.0.0.1:2", 9.0)])
    for _ in range(20):
        plan.on_failed(other, 0.0, answered=True)
    assert plan.choose(MAX_UNREADY_READER_PAUSE_SECONDS - 0.01) is None
    assert plan.choose(MAX_UNREADY_READER_PAUSE_SECONDS) is not None
    for _ in range(2):
        plan.on_failed(other, 0.0, answered=False)
    assert plan.choose(FAILED_READER_PAUSE_SECONDS) is None


def test_malformed_feed_requests_get_a_typed_answer() -> None:
    """Malformed bodies, unknown kinds, and excessive hold times."""

    async def scenario(harness: Harness) -> None:
        reader, _ = await _start_pair(harness)
        host = "127.0.0.1"
        entry = harness.store.objects["milletcourse-gateways"][reader.context.settings.name]
        port = int(entry["Spec"]["feed"].rpartition(":")[2])
        for body, status in (
            (b"no question", b"400"),
            (b'[[["config",[1]]],0.0]', b"400"),
            (b'[[["unknown",null]],0.0]', b"200"),
            (b'[[["config",null]],1e9]', b"200"),
        ):
            stream, writer = await asyncio.open_connection(host, port)
            head = b"POST /feed HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body)
            writer.write(head + body)
            assert status in await stream.readline()
            writer.close()

    run_with_gateway(scenario)
