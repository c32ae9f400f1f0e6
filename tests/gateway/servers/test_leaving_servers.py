"""Servers that say in their answers that they leave, while their entry says that they are ready."""

from __future__ import annotations

import asyncio

import pytest

from gateway_fleet import GATEWAYS
from gateway_harness import Harness, run_with_gateway
from gateway_standin import Client
from milletcourse.exchange.load.signal_record import Signal
from signalling_fleet import Mood, SignallingFleet

HEARD_SECONDS = 0.5
JUDGED_SECONDS = 1.0


@pytest.mark.parametrize(("service", "path"), [("app", "/safe/"), ("engine", "/stream/")])
def test_a_server_that_said_that_it_leaves_gets_no_requests(service: str, path: str) -> None:
    """Only its entry was read, which doesn't change while the store is away."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness, service)
        await fleet.start({"s-1": Mood(), "s-2": Mood(), "s-3": Mood()})
        leaving = await fleet.most_asked(path)
        fleet.moods[leaving].leaves = True
        await fleet.load(HEARD_SECONDS, path)
        since = asyncio.get_running_loop().time()
        await fleet.load(JUDGED_SECONDS, path)
        assert fleet.arrivals[leaving].count_since(since) == 0
        assert set(fleet.statuses()) == {200}

    run_with_gateway(scenario)


def test_a_server_that_leaves_stays_out_when_its_list_is_read_again() -> None:
    """The list of an outage is older than the word."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": Mood(leaves=True), "s-2": Mood()}, gateways=1)
        await fleet.load(HEARD_SECONDS)
        entry = harness.store.objects["servers"]["s-1"]["Spec"]
        node = fleet.nodes[0]
        harness.store.remove("servers", "s-1")
        await harness.until(lambda: node.context.instances.get("s-1") is None)
        harness.store.put("servers", "s-1", entry)
        await harness.until(lambda: node.context.instances.get("s-1") is not None)
        since = asyncio.get_running_loop().time()
        await fleet.load(JUDGED_SECONDS)
        assert fleet.arrivals["s-1"].count_since(since) == 0

    run_with_gateway(scenario)


def test_an_entry_that_said_draining_holds_when_an_older_one_is_read() -> None:
    """As from a reader whose copy of the list is behind."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": Mood(), "s-2": Mood()}, gateways=1)
        ready = harness.store.objects["servers"]["s-1"]["Spec"]
        instances = fleet.nodes[0].context.instances
        harness.store.put("servers", "s-1", {**ready, "State": "draining"})
        await harness.until(lambda: _is_draining(fleet))
        harness.store.put("servers", "s-1", ready)
        await harness.until(lambda: not _is_draining(fleet))
        since = asyncio.get_running_loop().time()
        await fleet.load(JUDGED_SECONDS)
        assert fleet.arrivals["s-1"].count_since(since) == 0
        assert instances.get("s-1") is not None

    run_with_gateway(scenario)


def _is_draining(fleet: SignallingFleet) -> bool:
    return fleet.instance(fleet.nodes[0], "s-1").record.draining


def test_a_gateway_that_starts_later_sends_nothing_to_a_server_that_leaves() -> None:
    """What it says is a fact for all of them."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": Mood(leaves=True), "s-2": Mood()})
        await fleet.load(HEARD_SECONDS)
        late = await harness.add_gateway("front-9")
        await harness.until(lambda: fleet.knows_all(late, GATEWAYS + 1))
        signals = late.context.server_signals
        key = fleet.instance(late, "s-1").key
        await harness.until(lambda: signals.signal(key, 0.0) is Signal.LEAVING)
        fleet.nodes = [late]
        since = asyncio.get_running_loop().time()
        await fleet.load(JUDGED_SECONDS)
        assert fleet.arrivals["s-1"].count_since(since) == 0

    run_with_gateway(scenario)


def test_requests_are_refused_at_once_when_all_servers_leave() -> None:
    """They have not run, and the caller is told so."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": Mood(leaves=True), "s-2": Mood(leaves=True)}, gateways=1)
        await fleet.load(HEARD_SECONDS)
        since = asyncio.get_running_loop().time()
        node = fleet.nodes[0]
        client = await Client.connect(node.frontend_address)
        result = await fleet.ask(client, node, "/safe/")
        assert result.status == 503
        assert float(result.headers["retry-after"]) > 0.0
        assert sum(each.count_since(since) for each in fleet.arrivals.values()) == 0

    run_with_gateway(scenario)
