"""Servers of models by what they have room for: slots, memory, streams that must not pause."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_harness import Harness, run_with_gateway
from gateway_standin import serve_whole
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.messages.messages import ExchangeRequest, PromptPart
from milletcourse.exchange.messages.peer_messages import (
    InstanceLoad,
    LoadScope,
    PeerMessage,
    short_key,
)
from milletcourse.exchange.messages.records import (
    InstanceRecord,
    RouteKind,
    RouteRecord,
    ServiceRecord,
    TenantRecord,
    WeightedService,
)
from milletcourse.exchange.placement.engine_load import (
    MAX_WAIT_SHARE,
    SLOT_SECONDS,
    ServerLoad,
    disturbance_seconds,
    longest_wait,
    memory_tokens,
    wait_seconds,
)
from milletcourse.exchange.placement.instance_selector import Choice, InstanceSelector
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import InstanceTable

SLOTS = 16
MEMORY = 80_000
SERVICE = ServiceRecord("s", ("m",), capacity_tokens=MEMORY, slots=SLOTS)
PAUSE_SECONDS = 0.6


def _prompt(tokens: int, output: int = 200) -> ExchangeRequest:
    parts = (PromptPart("a1", tokens // 2), PromptPart("b1", tokens - tokens // 2))
    return ExchangeRequest(
        b"POST", b"/", "h", [], b"", "id", "", None, "", "m", parts, tokens, output, 0.0
    )


def _route(target: float) -> RouteRecord:
    backends = (WeightedService("s"),)
    return RouteRecord("r", "h", "/", RouteKind.STREAMING, 5.0, target, 0, backends)


def _choice(loads: dict[str, InstanceLoad], request: ExchangeRequest) -> Choice:
    """Where a gateway sends a request that is told these loads of three servers."""
    table = InstanceTable()
    for number in range(3):
        record = InstanceRecord(f"e-{number}", "s", f"10.0.0.{number}:1", weight_versions={"m": 1})
        table.upsert(record)
    exchange = LoadExchange("g")
    told = [load for load in loads.values() if not load.is_zero]
    exchange.on_message(PeerMessage("other", 1, told, scope=LoadScope.ZONE), 0.0)
    selector = InstanceSelector(table, VersionGate(8.0), exchange, "", random.Random(1))
    choice = selector.choose(SERVICE, request, "scope", (), 0.0, PAUSE_SECONDS)
    assert choice is not None
    return choice


def _load(name: str, waiting: int = 0, running: int = 0, memory: int = 0) -> InstanceLoad:
    return InstanceLoad(short_key(name), waiting, running, 0, 0, memory)


@pytest.mark.parametrize(
    "crowded",
    [
        _load("e-0", running=SLOTS + 2),
        _load("e-0", running=6, memory=MEMORY - 1_000),
        _load("e-0", waiting=20_000, running=8),
    ],
)
def test_a_server_without_room_is_passed_over(crowded: InstanceLoad) -> None:
    """No slot, no memory, or streams that would pause, though it is the prompt's home."""
    request = _prompt(9_000)
    home = _choice({}, request).instance.name
    full = InstanceLoad(
        short_key(home), crowded.waiting_tokens, crowded.running, 0, 0, crowded.memory_tokens
    )
    assert _choice({home: full}, request).instance.name != home


def test_the_wait_at_the_best_server_decides_whether_a_request_is_sent() -> None:
    """One free server is enough; without any the wait goes past the bound."""
    request = _prompt(800)
    full = {f"e-{number}": _load(f"e-{number}", running=SLOTS + 6) for number in range(3)}
    wait = _choice(full, request).wait_seconds
    assert wait >= 6 * SLOT_SECONDS
    assert wait > longest_wait(_route(0.6), None)
    one_free = {**full, "e-1": _load("e-1", running=3)}
    choice = _choice(one_free, request)
    assert choice.instance.name == "e-1"
    assert choice.wait_seconds <= longest_wait(_route(0.6), None)


def test_long_prompts_are_not_refused_for_their_own_length() -> None:
    """Only what others make them wait for counts: at a calm fleet nothing is refused."""
    bound = longest_wait(_route(0.8), None)
    assert _choice({}, _prompt(60_000)).wait_seconds <= bound
    # Nor is one that may not fit at all: that is for the server to say.
    assert _choice({}, _prompt(2 * MEMORY)).wait_seconds <= bound


def test_a_route_without_a_target_has_no_bound() -> None:
    """Whoever set none wants the answer whenever it comes."""
    assert longest_wait(_route(0.0), None) == float("inf")
    assert longest_wait(_route(0.8), None) == pytest.approx(0.8 * MAX_WAIT_SHARE)


def test_what_is_less_urgent_gives_way_first() -> None:
    """A tenant's priority goes before a route's, as at servers."""
    tenants = [TenantRecord("t", priority=priority) for priority in range(3)]
    routes = [msgspec.structs.replace(_route(0.8), priority=priority) for priority in range(3)]
    bounds = [longest_wait(route, tenant) for tenant in tenants for route in routes]
    assert bounds == sorted(bounds, reverse=True)
    assert len(set(bounds)) == len(bounds)


@given(st.integers(0, 90_000), st.integers(0, 40), st.integers(0, 120_000), st.integers(1, 50_000))
def test_more_load_never_makes_a_server_look_better(
    waiting: int, requests: int, memory: int, tokens: int
) -> None:
    """In each of its three parts."""
    request = _prompt(tokens)
    load = ServerLoad(waiting, requests, memory)
    wait = wait_seconds(SERVICE, load, request)
    disturbance = disturbance_seconds(load, request, PAUSE_SECONDS)
    assert wait >= 0.0
    for more in (
        ServerLoad(waiting + 500, requests, memory),
        ServerLoad(waiting, requests + 1, memory),
        ServerLoad(waiting, requests, memory + 500),
    ):
        assert wait_seconds(SERVICE, more, request) >= wait
        assert disturbance_seconds(more, request, PAUSE_SECONDS) >= disturbance


def test_services_that_tell_no_bounds_have_none() -> None:
    """Then only what is to be read, and what runs, makes a request wait."""
    load = ServerLoad(0, 100, 10_000_000)
    assert wait_seconds(ServiceRecord("s", ("m",)), load, _prompt(800)) < 0.5
    assert memory_tokens(_prompt(800, 200)) == 900


def test_an_overloaded_fleet_refuses_at_once_and_nothing_is_sent() -> None:
    """503 with the time to come back, as not run; once there is room it is served again."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("e-1", "engine", serve_whole, 1)
        await harness.start()
        node = harness.node
        assert node is not None
        context = node.context
        full = [InstanceLoad(short_key("e-1"), 0, 60)]
        context.loads.on_message(PeerMessage("other", 1, full, scope=LoadScope.ZONE), context.now())
        client = await harness.client()
        prompt = {"Model": "model-1", "Token_Usage": "60,10", "Prompt_Prefix": "a1:40,b2:20"}
        got = await client.ask("/stream/", "id-1", **prompt)
        assert got.status == 503
        assert b"overloaded" in got.body
        assert float(got.headers["retry-after"]) > 0.0
        assert not server.received
        context.loads.on_message(PeerMessage("other", 2, [], scope=LoadScope.ZONE), context.now())
        assert (await client.ask("/stream/", "id-2", **prompt)).status != 503
        assert [request.request_id for request in server.received] == ["id-2"]

    run_with_gateway(scenario)
