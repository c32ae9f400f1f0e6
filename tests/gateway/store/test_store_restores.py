"""The object store is restored from a snapshot that is some seconds old, and continues from it."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest

from gateway_fleet import GatewayFleet
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Client,
    ReceivedRequest,
    StandinServer,
    StoreSnapshot,
    answer,
    configuration,
    serve_whole,
)
from milletcourse.cli.operator_port import call_gateway
from milletcourse.exchange.replication.confirmed_era import OPERATOR_REWRITE_SECONDS
from milletcourse.gateway.node import GatewayNode
from milletcourse.gateway.operator_api import STORE_STATE_PATH
from milletcourse.gateway.store import registration
from milletcourse.gateway.store.store_comparison import StoreState
from signalling_fleet import SignallingFleet, SignalState

LEASES = "milletcourse-leases"
LOST_VERSIONS = 6
SETTLED_SECONDS = 0.6
"""By now all gateways have read the restored store, and follow their reader again."""
PROPAGATION_SECONDS = 0.5
OBSERVATION_SECONDS = 1.0
REWRITE_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 5.0
CHECK_SECONDS = 0.5
CHECKS = 10
"""Together with the interval, long enough for all proofs from before the restore to expire."""
ONE_TENANT = [{"Name": "tenant-1", "ApiKeys": ["key-1"], "Priority": 1}]


async def _write_all_kinds(fleet: GatewayFleet) -> None:
    """Write to each kind, and wait until all gateways have the changes."""
    store = fleet.harness.store
    names = list(store.objects["servers"])
    for version in range(2, LOST_VERSIONS + 2):
        store.put("config", "main", configuration(version))
        store.put("versions", "model-2", {"Model": "model-2", "Version": version})
        for name in names:
            entry = store.objects["servers"][name]["Spec"]
            store.put("servers", name, {**entry, "Sequence": version})
    for node in fleet.nodes:
        await fleet.harness.until(lambda node=node: _has_version(node, LOST_VERSIONS + 1))


def _has_version(node: GatewayNode, version: int) -> bool:
    table = node.context.route_table
    return table is not None and table.version == version


async def _start_and_restore(harness: Harness, first_era: int | None = 1) -> SignallingFleet:
    """Gateways with a store that was restored without its latest writes, then written again."""
    harness.store.era = first_era
    fleet = SignallingFleet(harness)
    await fleet.start({"s-1": SignalState(), "s-2": SignalState(), "s-3": SignalState()})
    snapshot = harness.store.take_snapshot()
    await _write_all_kinds(fleet)
    harness.store.restore(snapshot)
    await fleet.load(SETTLED_SECONDS)
    return fleet


@pytest.mark.parametrize("first_era", [None, 0, 7])
def test_a_server_that_drains_after_a_restore_gets_no_requests_from_followers(
    first_era: int | None,
) -> None:
    """Guards against followers that go on from a revision which the store hasn't reached again."""

    async def scenario(harness: Harness) -> None:
        fleet = await _start_and_restore(harness, first_era)
        leaving = await fleet.most_used_server()
        entry = harness.store.objects["servers"][leaving]["Spec"]
        harness.store.put("servers", leaving, {**entry, "State": "draining"})
        await fleet.load(PROPAGATION_SECONDS)
        since = asyncio.get_running_loop().time()
        await fleet.load(OBSERVATION_SECONDS)
        assert fleet.arrivals[leaving].count_since(since) == 0

    run_with_gateway(scenario)


def test_a_key_that_is_revoked_after_a_restore_is_refused_by_followers() -> None:
    """Guards against followers that keep a configuration which their reader has replaced."""

    async def scenario(harness: Harness) -> None:
        fleet = await _start_and_restore(harness)
        harness.store.put("config", "main", configuration(LOST_VERSIONS + 2, Tenants=ONE_TENANT))
        await asyncio.sleep(PROPAGATION_SECONDS)
        assert await _statuses_with(fleet, "key-2") == [401] * len(fleet.nodes)

    run_with_gateway(scenario)


async def _statuses_with(fleet: GatewayFleet, key: str) -> list[int]:
    statuses = []
    for node in fleet.nodes:
        client = await Client.connect(node.frontend_address)
        statuses.append((await client.ask("/safe/", key=key)).status)
        client.close()
    return statuses


async def _revoke_and_restore(harness: Harness) -> SignallingFleet:
    """Gateways that know that `key-2` is revoked, with a store that has lost the revocation."""
    fleet = SignallingFleet(harness)
    await fleet.start({"s-1": SignalState(), "s-2": SignalState()})
    snapshot = harness.store.take_snapshot()
    harness.store.put("config", "main", configuration(2, Tenants=ONE_TENANT))
    for node in fleet.nodes:
        await harness.until(lambda node=node: _has_version(node, 2))
    harness.store.restore(snapshot, rewrites_lost=False)
    await asyncio.sleep(SETTLED_SECONDS)
    return fleet


def test_a_revoked_key_stays_revoked_when_an_older_configuration_is_restored() -> None:
    """Both before and after the operator has written the configuration again."""

    async def scenario(harness: Harness) -> None:
        fleet = await _revoke_and_restore(harness)
        assert await _statuses_with(fleet, "key-2") == [401] * len(fleet.nodes)
        harness.store.put("config", "main", configuration(2, Tenants=ONE_TENANT))
        await asyncio.sleep(PROPAGATION_SECONDS)
        assert await _statuses_with(fleet, "key-2") == [401] * len(fleet.nodes)
        assert await _statuses_with(fleet, "key-1") == [200] * len(fleet.nodes)

    run_with_gateway(scenario)


@pytest.mark.parametrize("is_reader", [False, True])
def test_a_gateway_that_starts_before_the_rewrite_accepts_no_revoked_key(
    is_reader: bool,
) -> None:
    """It only knows the snapshot; another gateway reports that a later version was in force."""

    async def scenario(harness: Harness) -> None:
        fleet = await _revoke_and_restore(harness)
        link_megabits = 1000.0 if is_reader else 0.0
        started = await harness.add_gateway("front-9", link_megabits=link_megabits)
        context = started.context
        await harness.until(
            lambda: _has_version(started, 1) and context.lost_configuration.is_outdated
        )
        await harness.until(lambda: context.reads_store is is_reader)
        fleet.nodes = [started]
        assert await _statuses_with(fleet, "key-2") == [503]
        harness.store.put("config", "main", configuration(2, Tenants=ONE_TENANT))
        await harness.until(lambda: _has_version(started, 2) and context.is_ready())
        assert await _statuses_with(fleet, "key-2") == [401]
        assert await _statuses_with(fleet, "key-1") == [200]

    run_with_gateway(scenario)


@pytest.mark.parametrize("ends", [False, True])
def test_a_lost_revocation_is_known_in_other_zones_and_after_a_restart_of_all_gateways(
    ends: bool,
) -> None:
    """Readers of different zones don't follow each other, and processes lose their memory."""

    async def scenario(harness: Harness) -> None:
        fleet = await _revoke_and_restore(harness)
        await harness.until(
            lambda: any(
                entry["Spec"]["lost_configuration"] == 2
                for entry in harness.store.gateway_entries().values()
            )
        )
        if ends:
            for node in fleet.nodes:
                node.close()
        started = await harness.add_gateway("front-9", zone="zone-9")
        context = started.context
        await harness.until(
            lambda: _has_version(started, 1) and context.lost_configuration.is_outdated
        )
        await asyncio.sleep(OPERATOR_REWRITE_SECONDS)
        fleet.nodes = [started]
        assert await _statuses_with(fleet, "key-2") == [503]
        harness.store.put("config", "main", configuration(2, Tenants=ONE_TENANT))
        await harness.until(lambda: _has_version(started, 2) and context.is_ready())
        assert await _statuses_with(fleet, "key-2") == [401]

    run_with_gateway(scenario)


BOUND_SECONDS = 2.0
"""Bound on the time until a revoked key is refused."""
SHORT_BOUNDS = {"RevokeMs": 2000, "FailClosed": True}


async def _restore_without_a_revocation(harness: Harness, restarts: bool) -> list[GatewayNode]:
    """Two gateways with a store that has lost a revocation which no running gateway received.

    Args:
        harness: Holds the store.
        restarts: The gateways that received it stopped while the store was unavailable, and others
            start.
    """
    store = harness.store
    await harness.add_server("s-1", "app", serve_whole)
    harness.internal_ports = harness.free_ports()
    await harness.start(**SHORT_BOUNDS)
    nodes = [await harness.add_gateway("front-2", **SHORT_BOUNDS)]
    assert harness.node is not None
    nodes.append(harness.node)
    for node in nodes:
        await harness.until(node.context.is_ready)
    snapshot = store.take_snapshot()
    store.unavailable = True
    store.reset_connections()
    if restarts:
        for node in nodes:
            node.close()
    store.restore(snapshot, rewrites_lost=False)
    store.unavailable = False
    if restarts:
        nodes = [await harness.add_gateway(f"front-{number}", **SHORT_BOUNDS) for number in (3, 4)]
    return nodes


async def _answers_to(nodes: list[GatewayNode], key: str, seconds: float) -> set[int]:
    """Statuses that clients with a key get during a time."""
    statuses = set()
    ends_at = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < ends_at:
        for node in nodes:
            client = await Client.connect(node.frontend_address)
            statuses.add((await client.ask("/safe/", key=key)).status)
            client.close()
        await asyncio.sleep(CHECK_SECONDS / 5)
    return statuses


@pytest.mark.parametrize("restarts", [True, False])
def test_a_key_whose_revocation_no_gateway_knows_after_a_restore_is_refused_from_the_bound_on(
    restarts: bool,
) -> None:
    """Guards against proofs from the restored snapshot that count like those from before it."""

    async def scenario(harness: Harness) -> None:
        nodes = await _restore_without_a_revocation(harness, restarts)
        await asyncio.sleep(BOUND_SECONDS)
        assert await _answers_to(nodes, "key-2", BOUND_SECONDS / 2) == {503}
        harness.store.put("config", "main", configuration(2, Tenants=ONE_TENANT))
        await asyncio.sleep(PROPAGATION_SECONDS)
        assert await _answers_to(nodes, "key-2", PROPAGATION_SECONDS) == {401}
        assert await _answers_to(nodes, "key-1", PROPAGATION_SECONDS) == {200}

    run_with_gateway(scenario)


def test_keys_are_accepted_again_when_the_operator_had_the_time_to_write_and_did_not() -> None:
    """Nothing was lost then; the confirmed era is stored for gateways that start later."""

    async def scenario(harness: Harness) -> None:
        nodes = await _restore_without_a_revocation(harness, restarts=True)
        await asyncio.sleep(OPERATOR_REWRITE_SECONDS)
        for node in nodes:
            await harness.until(node.context.is_ready)
        assert await _answers_to(nodes, "key-2", PROPAGATION_SECONDS) == {200}
        await harness.until(
            lambda: any(
                entry["Spec"]["confirmed_era"] == 1
                for entry in harness.store.gateway_entries().values()
            )
        )
        for node in nodes:
            node.close()
        later = await harness.add_gateway("front-5", **SHORT_BOUNDS)
        began_at = asyncio.get_running_loop().time()
        await harness.until(later.context.is_ready)
        assert asyncio.get_running_loop().time() - began_at < OPERATOR_REWRITE_SECONDS / 2

    run_with_gateway(scenario)


def test_the_state_of_a_restore_is_written_to_the_store_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise, when all gateways stop within a second, their successors refuse keys for five."""
    monkeypatch.setattr(registration, "CHECK_INTERVAL_SECONDS", 60.0)

    async def scenario(harness: Harness) -> None:
        await _revoke_and_restore(harness)
        await harness.until(
            lambda: any(
                entry["Spec"]["lost_configuration"] == 2
                for entry in harness.store.gateway_entries().values()
            )
        )
        harness.store.put("config", "main", configuration(2, Tenants=ONE_TENANT))
        await harness.until(
            lambda: any(
                entry["Spec"]["confirmed_era"] == 1
                for entry in harness.store.gateway_entries().values()
            )
        )

    run_with_gateway(scenario)


def test_keys_stay_accepted_over_a_restore_after_which_the_operator_soon_writes_again() -> None:
    """Proofs from before the restore are valid until they are too old."""

    async def scenario(harness: Harness) -> None:
        nodes = await _restore_without_a_revocation(harness, restarts=False)
        assert await _answers_to(nodes, "key-1", PROPAGATION_SECONDS) == {200}
        harness.store.put("config", "main", configuration(1))
        assert await _answers_to(nodes, "key-1", BOUND_SECONDS * 2) == {200}

    run_with_gateway(scenario)


def test_gateways_whose_entries_the_store_lost_are_listed_again() -> None:
    """Guards against gateways that check their entry only when they have a change to write."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        harness.store.put("config", "main", configuration())
        snapshot = harness.store.take_snapshot()
        await fleet.start({"s-1": SignalState(), "s-2": SignalState()})
        names = {node.context.settings.name for node in fleet.nodes}
        await harness.until(lambda: set(harness.store.gateway_entries()) == names)
        harness.store.restore(snapshot)
        await asyncio.sleep(REWRITE_SECONDS)
        assert set(harness.store.gateway_entries()) == names

    run_with_gateway(scenario)


def test_a_departed_server_gets_no_requests_when_its_entry_is_restored() -> None:
    """The server may go on serving for a while, like servers that depart without a signal."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": SignalState(), "s-2": SignalState(), "s-3": SignalState()})
        departed = await fleet.most_used_server()
        snapshot = harness.store.take_snapshot()
        harness.store.remove("servers", departed)
        await fleet.load(PROPAGATION_SECONDS)
        harness.store.restore(snapshot, rewrites_lost=False)
        since = asyncio.get_running_loop().time()
        await fleet.load(OBSERVATION_SECONDS)
        harness.store.remove("servers", departed)
        await fleet.load(PROPAGATION_SECONDS)
        assert fleet.arrivals[departed].count_since(since) == 0

    run_with_gateway(scenario)


@dataclass
class LoadingServer:
    """A model server that loads weights as ordered."""

    name: str
    version: int = 1
    orders: list[dict[str, Any]] = field(default_factory=list)

    async def behave(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer an order or a report."""
        if request.target == "/milletcourse/order":
            order = json.loads(request.body)
            self.orders.append(order)
            self.version = order["Version"]
            writer.write(answer(202))
            return
        report = {
            "Models": [{"Name": "model-1", "Version": self.version, "Adapters": []}],
            "Busy": False,
            "Sequence": len(self.orders),
        }
        writer.write(answer(200, json.dumps(report).encode()))


async def _start_roll_out(harness: Harness, gateways: int) -> tuple[LoadingServer, StoreSnapshot]:
    """A server that was updated to version 2, and a snapshot of the store from before that."""
    engine = LoadingServer("e-1")
    await harness.add_server("e-1", "engine", engine.behave, 1)
    harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 1})
    harness.internal_ports = harness.free_ports()
    # Gateways of different zones all read the store, and may all hold the lease.
    await harness.start(LeaseMs=1500, VersionMs=3000)
    for number in range(1, gateways):
        node = await harness.add_gateway(
            f"front-{number + 1}", zone=f"zone-{number + 1}", LeaseMs=1500, VersionMs=3000
        )
        await harness.until(node.context.is_ready)
    snapshot = harness.store.take_snapshot()
    harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 2})
    await harness.until(lambda: engine.version == 2)
    return engine, snapshot


@pytest.mark.parametrize("first_era", [None, 0, 1])
@pytest.mark.parametrize("closes_holder", [False, True])
def test_newer_weights_are_ordered_when_the_store_lost_the_lease(
    closes_holder: bool, first_era: int | None
) -> None:
    """Guards against a lost lease that no gateway creates again, since all of them know it.

    No two holders may share a fencing token.
    """

    async def scenario(harness: Harness) -> None:
        harness.store.era = first_era
        engine, snapshot = await _start_roll_out(harness, gateways=2)
        harness.store.restore(snapshot)
        if closes_holder:
            _close(harness, engine.orders[-1]["Holder"])
        await asyncio.sleep(SETTLED_SECONDS)
        harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 3})
        async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
            while engine.version != 3:
                await asyncio.sleep(0.01)
        holders: dict[int, set[str]] = {}
        for order in engine.orders:
            holders.setdefault(order["FencingToken"], set()).add(order["Holder"])
        assert all(len(names) == 1 for names in holders.values()), engine.orders
        tokens = [order["FencingToken"] for order in engine.orders]
        assert tokens == sorted(tokens)

    run_with_gateway(scenario)


def _close(harness: Harness, name: str) -> None:
    assert harness.node is not None
    for node in [harness.node, *harness.others]:
        if node.context.settings.name == name:
            node.close()


@pytest.mark.parametrize("found", ["older", "missing", "unreadable"])
def test_followers_stay_with_their_reader_while_the_configuration_is_not_written_again(
    found: str,
) -> None:
    """The reader can read the store, but the configuration found there proves no keys anywhere."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": SignalState(), "s-2": SignalState()})
        await harness.until(lambda: sum(node.context.reads_store for node in fleet.nodes) == 1)
        if found == "missing":
            harness.store.remove("config", "main")
        elif found == "unreadable":
            harness.store.put("config", "main", {"Version": "none"})
        snapshot = harness.store.take_snapshot()
        harness.store.put("config", "main", configuration(2))
        for node in fleet.nodes:
            await harness.until(lambda node=node: _has_version(node, 2))
        harness.store.restore(snapshot, rewrites_lost=False)
        await asyncio.sleep(SETTLED_SECONDS)
        for _ in range(CHECKS):
            await asyncio.sleep(CHECK_SECONDS)
            assert sum(node.context.reads_store for node in fleet.nodes) == 1
        assert await _statuses_with(fleet, "key-1") == [503] * len(fleet.nodes)
        harness.store.put("config", "main", configuration(2))
        await asyncio.sleep(PROPAGATION_SECONDS)
        assert await _statuses_with(fleet, "key-1") == [200] * len(fleet.nodes)

    run_with_gateway(scenario)


def test_operators_see_what_a_restore_changed_and_whether_caches_equal_the_store() -> None:
    """A gateway compares its cached objects with those in the store."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": SignalState(), "s-2": SignalState()})
        snapshot = harness.store.take_snapshot()
        await _write_all_kinds(fleet)
        harness.store.restore(snapshot, rewrites_lost=False)
        await asyncio.sleep(SETTLED_SECONDS)
        assert harness.node is not None
        assert b"store_returns_total 4.0" in harness.metrics.render()
        for node in fleet.nodes:
            address = await node.listen_for_operators(0, "/metrics")
            state = await _store_state(address)
            assert state.configuration == LOST_VERSIONS + 1
            assert all(kind.is_equal and kind.era == 1 for kind in state.kinds), state
        harness.store.objects["servers"].pop("s-1")
        entry = harness.store.objects["servers"]["s-2"]
        unheard = {**entry, "Metadata": {**entry["Metadata"], "Name": "s-3"}}
        harness.store.objects["servers"]["s-3"] = unheard
        state = await _store_state(address)
        servers = next(kind for kind in state.kinds if kind.kind == "servers")
        assert (servers.extra, servers.missing, servers.is_equal) == (["s-1"], ["s-3"], False)
        harness.store.unavailable = True
        state = await _store_state(address)
        assert all(kind.problem and not kind.is_equal for kind in state.kinds)

    run_with_gateway(scenario)


async def _store_state(address: str) -> StoreState:
    body = await call_gateway("GET", address, STORE_STATE_PATH, 200)
    return msgspec.json.decode(body, type=StoreState)


def test_a_gateway_that_starts_after_a_restore_drops_lost_objects_of_a_stale_list() -> None:
    """Stale lists may show servers that the store has lost, and no watch reports their loss."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("s-1", "app", serve_whole)
        harness.store.put("config", "main", configuration())
        snapshot = harness.store.take_snapshot()
        harness.store.stale_shows_lost = True
        harness.store.put("servers", "lost", harness.store.objects["servers"]["s-1"]["Spec"])
        harness.store.restore(snapshot, rewrites_lost=False)
        harness.store.put("config", "main", configuration(2))
        await harness.start_gateway()
        assert harness.node is not None
        instances = harness.node.context.instances
        await harness.until(lambda: instances.get("lost") is not None)
        await harness.until(lambda: instances.get("lost") is None)
        assert instances.get("s-1") is not None

    run_with_gateway(scenario)
