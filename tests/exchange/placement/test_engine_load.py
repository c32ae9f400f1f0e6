"""Placement by the capacity of model servers: slots, memory, and gaps in running streams."""

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
    MAX_WAIT_TARGET_FACTOR,
    SLOT_WAIT_SECONDS,
    ServerLoad,
    interference_seconds,
    max_resume_wait_seconds,
    max_wait_seconds,
    memory_tokens,
    wait_seconds,
)
from milletcourse.exchange.placement.instance_selector import Choice, InstanceSelector
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import InstanceTable

SLOTS = 16
MEMORY = 80_000
SERVICE = ServiceRecord("s", ("m",), capacity_tokens=MEMORY, slots=SLOTS)
MAX_GAP_SECONDS = 0.6


def _prompt(tokens: int, output: int = 200) -> ExchangeRequest:
    parts = (PromptPart("a1", tokens // 2), PromptPart("b1", tokens - tokens // 2))
    return ExchangeRequest(
        b"POST", b"/", "h", [], b"", "id", "", None, "", "m", parts, tokens, output, 0.0
    )


def _route(target: float) -> RouteRecord:
    backends = (WeightedService("s"),)
    return RouteRecord("r", "h", "/", RouteKind.STREAMING, 5.0, target, 0, backends)


def _choice(loads: dict[str, InstanceLoad], request: ExchangeRequest) -> Choice:
    """Where a gateway sends a request when these loads of three servers are reported to it."""
    table = InstanceTable()
    for number in range(3):
        record = InstanceRecord(f"e-{number}", "s", f"10.0.0.{number}:1", weight_versions={"m": 1})
        table.upsert(record)
    exchange = LoadExchange("g")
    reported = [load for load in loads.values() if not load.is_zero]
    exchange.on_message(PeerMessage("other", 1, reported, scope=LoadScope.ZONE), 0.0)
    selector = InstanceSelector(table, VersionGate(8.0), exchange, "", random.Random(1))
    choice = selector.choose(SERVICE, request, "scope", (), 0.0, MAX_GAP_SECONDS)
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
def test_a_server_without_capacity_is_avoided(crowded: InstanceLoad) -> None:
    """No free slot, no memory, or streams that would be late, although it is the prompt's home."""
    request = _prompt(9_000)
    home = _choice({}, request).instance.name
    full = InstanceLoad(
        short_key(home), crowded.waiting_tokens, crowded.running, 0, 0, crowded.memory_tokens
    )
    assert _choice({home: full}, request).instance.name != home


def test_the_wait_at_the_best_server_decides_whether_a_request_is_sent() -> None:
    """One free server is enough; without any the expected wait exceeds the bound."""
    request = _prompt(800)
    full = {f"e-{number}": _load(f"e-{number}", running=SLOTS + 6) for number in range(3)}
    wait = _choice(full, request).wait_seconds
    assert wait >= 6 * SLOT_WAIT_SECONDS
    assert wait > max_wait_seconds(_route(0.6), None)
    one_free = {**full, "e-1": _load("e-1", running=3)}
    choice = _choice(one_free, request)
    assert choice.instance.name == "e-1"
    assert choice.wait_seconds <= max_wait_seconds(_route(0.6), None)


def test_long_prompts_are_not_refused_for_their_own_length() -> None:
    """Only waiting for other requests counts: an idle fleet refuses nothing."""
    bound = max_wait_seconds(_route(0.8), None)
    assert _choice({}, _prompt(60_000)).wait_seconds <= bound
    # A prompt that may not fit at all isn't refused either: only the server can decide that.
    assert _choice({}, _prompt(2 * MEMORY)).wait_seconds <= bound


def test_a_route_without_a_target_has_no_bound() -> None:
    """Without a target latency a request waits for its answer as long as it takes."""
    assert max_wait_seconds(_route(0.0), None) == float("inf")
    assert max_wait_seconds(_route(0.8), None) == pytest.approx(0.8 * MAX_WAIT_TARGET_FACTOR)


def test_less_urgent_requests_are_refused_first() -> None:
    """A tenant's priority outweighs a route's, as at servers."""
    tenants = [TenantRecord("t", priority=priority) for priority in range(3)]
    routes = [msgspec.structs.replace(_route(0.8), priority=priority) for priority in range(3)]
    bounds = [max_wait_seconds(route, tenant) for tenant in tenants for route in routes]
    assert bounds == sorted(bounds, reverse=True)
    assert len(set(bounds)) == len(bounds)


@given(st.integers(0, 90_000), st.integers(0, 40), st.integers(0, 120_000), st.integers(1, 50_000))
def test_more_load_never_makes_a_server_look_better(
    waiting: int, requests: int, memory: int, tokens: int
) -> None:
    """The wait and the interference grow with each of the three parts of the load."""
    request = _prompt(tokens)
    load = ServerLoad(waiting, requests, memory)
    wait = wait_seconds(SERVICE, load, request)
    interference = interference_seconds(load, request, MAX_GAP_SECONDS)
    assert wait >= 0.0
    for more in (
        ServerLoad(waiting + 500, requests, memory),
        ServerLoad(waiting, requests + 1, memory),
        ServerLoad(waiting, requests, memory + 500),
    ):
        assert wait_seconds(SERVICE, more, request) >= wait
        assert interference_seconds(more, request, MAX_GAP_SECONDS) >= interference


def test_services_without_declared_capacity_are_unbounded() -> None:
    """Then only waiting prompt tokens and running requests delay a request."""
    load = ServerLoad(0, 100, 10_000_000)
    assert wait_seconds(ServiceRecord("s", ("m",)), load, _prompt(800)) < 0.5
    assert memory_tokens(_prompt(800, 200)) == 900


def test_an_overloaded_fleet_refuses_at_once_and_nothing_is_sent() -> None:
    """The answer is 503 with a retry time, as not run; with free capacity requests are served."""

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


@pytest.mark.parametrize(
    ("target", "gap", "seconds_left", "expected"),
    [(0.4, 0.2, 9.0, 2.0), (0.8, 0.2, 9.0, 3.2), (0.4, 0.5, 9.0, 4.0), (0.8, 0.5, 1.5, 1.5)],
)
def test_a_stream_that_goes_on_may_wait_as_long_as_its_client_bears_silence(
    target: float, gap: float, seconds_left: float, expected: float
) -> None:
    """At most until its deadline."""
    route = msgspec.structs.replace(_route(target), gap_seconds=gap)
    assert max_resume_wait_seconds(route, seconds_left) == pytest.approx(expected)
