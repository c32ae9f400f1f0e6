"""Servers whose answers signal that they are leaving, while their entries still say ready."""

from __future__ import annotations

import asyncio

import pytest

from gateway_fleet import GATEWAYS
from gateway_harness import Harness, run_with_gateway
from gateway_standin import Client
from milletcourse.exchange.load.signal_record import Signal
from signalling_fleet import SignallingFleet, SignalState

SIGNAL_SECONDS = 0.5
OBSERVED_SECONDS = 1.0


@pytest.mark.parametrize(("service", "path"), [("app", "/safe/"), ("engine", "/stream/")])
def test_leaving_server_gets_no_requests(service: str, path: str) -> None:
    """Guards against reading only the entry, which cannot change during a store outage."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness, service)
        await fleet.start({"s-1": SignalState(), "s-2": SignalState(), "s-3": SignalState()})
        leaving = await fleet.most_used_server(path)
        fleet.signal_states[leaving].announces_draining = True
        await fleet.load(SIGNAL_SECONDS, path)
        since = asyncio.get_running_loop().time()
        await fleet.load(OBSERVED_SECONDS, path)
        assert fleet.arrivals[leaving].count_since(since) == 0
        assert set(fleet.statuses()) == {200}

    run_with_gateway(scenario)


def test_leaving_server_stays_excluded_when_its_list_is_read_again() -> None:
    """A list that is read during an outage of the store is older than the signal."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start(
            {"s-1": SignalState(announces_draining=True), "s-2": SignalState()}, gateways=1
        )
        await fleet.load(SIGNAL_SECONDS)
        entry = harness.store.objects["servers"]["s-1"]["Spec"]
        node = fleet.nodes[0]
        harness.store.remove("servers", "s-1")
        await harness.until(lambda: node.context.instances.get("s-1") is None)
        harness.store.put("servers", "s-1", entry)
        await harness.until(lambda: node.context.instances.get("s-1") is not None)
        since = asyncio.get_running_loop().time()
        await fleet.load(OBSERVED_SECONDS)
        assert fleet.arrivals["s-1"].count_since(since) == 0

    run_with_gateway(scenario)


def test_draining_entry_stays_in_force_when_an_older_one_is_read() -> None:
    """An older entry can come from a reader whose copy of the list lags behind."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": SignalState(), "s-2": SignalState()}, gateways=1)
        ready = harness.store.objects["servers"]["s-1"]["Spec"]
        instances = fleet.nodes[0].context.instances
        harness.store.put("servers", "s-1", {**ready, "State": "draining"})
        await harness.until(lambda: _is_draining(fleet))
        harness.store.put("servers", "s-1", ready)
        await harness.until(lambda: not _is_draining(fleet))
        since = asyncio.get_running_loop().time()
        await fleet.load(OBSERVED_SECONDS)
        assert fleet.arrivals["s-1"].count_since(since) == 0
        assert instances.get("s-1") is not None

    run_with_gateway(scenario)


def _is_draining(fleet: SignallingFleet) -> bool:
    return fleet.instance(fleet.nodes[0], "s-1").record.draining


def test_gateway_that_starts_later_sends_nothing_to_a_leaving_server() -> None:
    """The signal of a server applies to all gateways."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": SignalState(announces_draining=True), "s-2": SignalState()})
        await fleet.load(SIGNAL_SECONDS)
        late = await harness.add_gateway("front-9")
        await harness.until(lambda: fleet.knows_all(late, GATEWAYS + 1))
        signals = late.context.server_signals
        key = fleet.instance(late, "s-1").key
        await harness.until(lambda: signals.signal(key, 0.0) is Signal.LEAVING)
        fleet.nodes = [late]
        since = asyncio.get_running_loop().time()
        await fleet.load(OBSERVED_SECONDS)
        assert fleet.arrivals["s-1"].count_since(since) == 0

    run_with_gateway(scenario)


def test_requests_are_refused_at_once_when_all_servers_leave() -> None:
    """The requests are not executed, and the refusal says so."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start(
            {
                "s-1": SignalState(announces_draining=True),
                "s-2": SignalState(announces_draining=True),
            },
            gateways=1,
        )
        await fleet.load(SIGNAL_SECONDS)
        since = asyncio.get_running_loop().time()
        node = fleet.nodes[0]
        client = await Client.connect(node.frontend_address)
        result = await fleet.ask(client, node, "/safe/")
        assert result.status == 503
        assert float(result.headers["retry-after"]) > 0.0
        assert sum(each.count_since(since) for each in fleet.arrivals.values()) == 0

    run_with_gateway(scenario)
