"""Placement of prompts by many gateways over many servers, and selection of KV-cache stores."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.mechanisms import mechanisms_without
from milletcourse.exchange.messages.messages import ExchangeRequest, PromptPart
from milletcourse.exchange.messages.records import (
    ExchangeConfiguration,
    InstanceRecord,
    ModelTarget,
    ServiceRecord,
    TenantRecord,
)
from milletcourse.exchange.placement.instance_selector import (
    PREFILL_TOKENS_PER_SECOND,
    InstanceSelector,
)
from milletcourse.exchange.placement.long_prompt_servers import (
    MIN_ZONE_SERVERS,
    ZONE_FRACTION,
    is_long,
    long_prompt_servers,
    mostly_generates,
)
from milletcourse.exchange.placement.recent_cache_holders import MAX_PARTS, RecentCacheHolders
from milletcourse.exchange.placement.reuse_scope import ReuseScopes
from milletcourse.exchange.placement.route_table import RouteTable
from milletcourse.exchange.rollout.rollout_timing import GRACE_SECONDS
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable

SERVICE = ServiceRecord("s", ("m",))
ZONES = 5
SERVERS = 60


def _table(servers: int = SERVERS, zones: int = ZONES) -> InstanceTable:
    table = InstanceTable()
    for number in range(servers):
        record = InstanceRecord(
            f"e{number:02}",
            "s",
            f"10.0.0.{number}:1",
            f"zone-{number % zones}",
            weight_versions={"m": 1},
        )
        table.upsert(record)
    return table


def _selector(
    table: InstanceTable, seed: int = 1, zone: str = "zone-0", without: tuple[str, ...] = ()
) -> InstanceSelector:
    loads = LoadExchange(f"g{seed}")
    gate = VersionGate(8.0)
    return InstanceSelector(
        table, gate, loads, zone, random.Random(seed), mechanisms_without(without)
    )


def _prompt(subject: str, shared: int, own: int, output: int) -> ExchangeRequest:
    parts = (PromptPart(subject, shared), PromptPart("own", own))
    return ExchangeRequest(
        b"POST", b"/", "h", [], b"", "id", "", None, "", "m", parts, shared + own, output, 0.0
    )


def _long_prompt(subject: str = "a1") -> ExchangeRequest:
    """A request with a long prompt and little output; its long shared part has a home."""
    return _prompt(subject, 6_000, 3_000, 10)


def _stream(subject: str = "b1") -> ExchangeRequest:
    """A request with a short prompt and much output."""
    return _prompt(subject, 200, 600, 60)


def _chosen(selector: InstanceSelector, request: ExchangeRequest) -> Instance:
    choice = selector.choose(SERVICE, request, "scope", (), 0.0)
    assert choice is not None
    return choice.instance


# -- KV-cache stores ----------------------------------------------------------------------------


def _stores(*zones: str) -> RouteTable:
    services = tuple(
        ServiceRecord(f"store-{zone}", store_address=f"{zone}:1", zone=zone) for zone in zones
    )
    return RouteTable(ExchangeConfiguration(1, services=services))


def test_zones_without_a_store_share_all_stores() -> None:
    """With two stores for five zones neither carries most of the other zones' traffic."""
    table = _stores("zone-1", "zone-3")
    counts = {"zone-1": 0, "zone-3": 0}
    for zone in ("zone-0", "zone-2", "zone-4"):
        for number in range(200):
            store = table.cache_store(zone, b"part-%d" % number)
            assert store is not None
            counts[store.zone] += 1
    assert min(counts.values()) > 0.4 * sum(counts.values())


def test_a_zone_with_a_store_uses_it() -> None:
    table = _stores("zone-1", "zone-3")
    for number in range(20):
        store = table.cache_store("zone-3", b"part-%d" % number)
        assert store is not None and store.zone == "zone-3"
    assert _stores().cache_store("zone-3", b"part") is None


def test_gateways_agree_on_a_prompts_store() -> None:
    """The order of the stores in the configuration doesn't matter."""
    one, other = _stores("zone-1", "zone-2", "zone-3"), _stores("zone-3", "zone-1", "zone-2")
    for number in range(50):
        key = b"part-%d" % number
        assert one.cache_store("zone-0", key) == other.cache_store("zone-0", key)


# -- homes -------------------------------------------------------------------------------------


def test_a_single_tenants_prompts_with_one_first_part_have_one_home() -> None:
    """No other tenant shares their KV cache, so it is held once."""
    tenant = TenantRecord("t1", isolated=True)
    reuse_scopes = ReuseScopes([tenant])
    scopes = {reuse_scopes.scope("m", tenant): 1, reuse_scopes.scope("m", None): 10}
    for scope, least in scopes.items():
        homes = set()
        for number in range(40):
            parts = (
                PromptPart("root", 3_000),
                PromptPart(f"subject-{number}", 3_000),
                PromptPart("own", 3_000),
            )
            request = _long_prompt()
            request.prompt_parts = parts
            chosen = _selector(_table()).choose(SERVICE, request, scope, (), 0.0)
            assert chosen is not None
            homes.add(chosen.instance.name)
        assert len(homes) >= least
        assert least > 1 or len(homes) == 1


def test_a_restart_moves_no_homes() -> None:
    """The new incarnation of a server is home of exactly the previous one's prompts."""
    table = _table()
    subjects = [f"a{number}" for number in range(300)]

    def homes() -> dict[str, str]:
        chosen = {name: _chosen(_selector(table), _long_prompt(name)) for name in subjects}
        return {name: instance.record.address for name, instance in chosen.items()}

    before = homes()
    restarted = next(iter(table))
    table.terminate(restarted.name)
    record = msgspec.structs.replace(restarted.record, name="e99")
    table.upsert(record)
    assert homes() == before


# -- estimates of what servers have cached -------------------------------------------------------


def test_a_cache_estimate_expires() -> None:
    holders = RecentCacheHolders(lifetime_seconds=4.0)
    holders.note_sent("e1", [b"a", b"b"], 0.0)
    holders.note_sent("e2", [b"a"], 3.0)
    assert holders.cached_parts("e1", [b"a", b"b"], 3.9) == 2
    assert holders.holders([b"a", b"b"], 4, 3.9) == ["e1", "e2"]
    assert holders.cached_parts("e1", [b"a", b"b"], 4.0) == 0
    assert holders.holders([b"a", b"b"], 4, 4.0) == ["e2"]


def test_an_expired_cache_estimate_does_not_attract_a_prompt_away_from_its_home() -> None:
    """It was sent elsewhere while its home was busy; its cache entry there is evicted by now."""
    table = _table()
    selector = _selector(table)
    request = _long_prompt()
    home = _chosen(selector, request)
    other = next(item for item in table if item is not home)
    selector.note_sent(other, request, "scope", 0.0)
    home.in_flight_tokens = 3_000
    later = selector.choose(SERVICE, request, "scope", (), 60.0)
    assert later is not None and later.instance is home


@settings(max_examples=50)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["send", "forget"]),
            st.integers(0, 3),
            st.integers(0, 5),
            st.floats(0.0, 3.0),
        ),
        max_size=60,
    )
)
def test_only_recently_sent_parts_are_assumed_cached(
    steps: list[tuple[str, int, int, float]],
) -> None:
    """Compared with a plain record of what was sent."""
    holders = RecentCacheHolders(lifetime_seconds=4.0)
    sent: dict[tuple[str, bytes], float] = {}
    now = 0.0
    for step, server_number, part_number, pause in steps:
        now += pause
        server, part = f"e{server_number}", b"%d" % part_number
        if step == "send":
            holders.note_sent(server, [part], now)
            sent[server, part] = now
        else:
            holders.forget(server)
            sent = {pair: at for pair, at in sent.items() if pair[0] != server}
    for server in ("e0", "e1", "e2", "e3"):
        for number in range(6):
            part = b"%d" % number
            expected = now - sent.get((server, part), float("-inf")) < 4.0
            assert bool(holders.cached_parts(server, [part], now)) is expected


def test_cache_estimates_are_bounded() -> None:
    holders = RecentCacheHolders(lifetime_seconds=4.0)
    for number in range(MAX_PARTS + 10):
        holders.note_sent("e1", [b"%d" % number], 0.0)
    assert len(holders) == MAX_PARTS


# -- servers for long prompts -------------------------------------------------------------------


def _very_long_prompt(subject: str = "a1") -> ExchangeRequest:
    """A request whose unshared part takes longer to prefill than the allowed gap of a stream."""
    return _prompt(subject, 6_000, 25_000, 10)


def _for_long(table: InstanceTable) -> frozenset[str]:
    return long_prompt_servers(table.of_service("s").values())


def test_streams_and_very_long_prompts_go_to_different_servers() -> None:
    """This holds at every gateway while both groups of servers have capacity."""
    table = _table()
    for_long = _for_long(table)
    assert len(for_long) == round(SERVERS * ZONE_FRACTION)
    for seed in range(30):
        selector = _selector(table, seed, f"zone-{seed % ZONES}")
        assert _chosen(selector, _stream(f"b{seed}")).name not in for_long
        assert _chosen(selector, _very_long_prompt(f"a{seed}")).name in for_long


def test_servers_for_long_prompts_are_no_homes() -> None:
    """The prompts that they process would evict the prompts of homes."""
    table = _table()
    for_long = _for_long(table)
    for seed in range(30):
        selector = _selector(table, seed, f"zone-{seed % ZONES}")
        subject = f"a{seed}"
        home = _chosen(selector, _long_prompt(subject))
        assert home.name not in for_long


def test_each_zone_has_its_part_of_the_servers_for_long_prompts() -> None:
    table = _table()
    zones = [item.record.zone for item in table if item.name in _for_long(table)]
    assert {zones.count(f"zone-{number}") for number in range(ZONES)} == {2}


@pytest.mark.parametrize("request_at", [_stream, _very_long_prompt])
def test_requests_of_a_full_group_use_the_other_servers(
    request_at: Callable[[], ExchangeRequest],
) -> None:
    """Interference costs less than a queue."""
    table = _table()
    for_long = _for_long(table)
    takes_long = request_at is _very_long_prompt
    for instance in table:
        if (instance.name in for_long) == takes_long:
            instance.in_flight_tokens = 60_000
    assert (_chosen(_selector(table), request_at()).name in for_long) != takes_long


def test_few_servers_are_all_homes() -> None:
    table = _table(servers=3 * (MIN_ZONE_SERVERS - 1), zones=3)
    assert not _for_long(table)
    selector = _selector(table)
    homes = {_chosen(selector, _long_prompt(f"a{number}")).name for number in range(200)}
    assert len(homes) == 3 * (MIN_ZONE_SERVERS - 1)


def test_removing_one_server_changes_few_servers_for_long_prompts() -> None:
    table = _table()
    before = _for_long(table)
    for name in sorted(item.name for item in table):
        after = long_prompt_servers(item for item in table if item.name != name)
        assert len(before ^ after) <= 2


def test_requests_are_classified_as_long_or_mostly_generating() -> None:
    speed = PREFILL_TOKENS_PER_SECOND
    assert mostly_generates(_stream(), speed)
    assert not mostly_generates(_long_prompt(), speed)
    assert not mostly_generates(_prompt("a1", 0, 100, 0), speed)
    assert is_long(_very_long_prompt(), speed)
    assert not is_long(_long_prompt(), speed)
    assert not is_long(_stream(), speed)


# -- weight versions ---------------------------------------------------------------------------


def _gate_with_newer(set_at: float) -> VersionGate:
    gate = VersionGate(8.0)
    gate.on_target(ModelTarget("m", 1), set_at - 20.0)
    gate.on_target(ModelTarget("m", 2), set_at)
    return gate


def test_servers_with_newer_weights_go_first_once_the_older_are_superseded() -> None:
    """Within the grace time the older ones are as good; load counts in either case."""
    table = InstanceTable()
    for number in range(4):
        version = 2 if number == 3 else 1
        record = InstanceRecord(f"e{number}", "s", f"10.0.0.{number}:1", "zone-0")
        table.upsert(msgspec.structs.replace(record, weight_versions={"m": version}))
    loads = LoadExchange("g")
    selector = InstanceSelector(table, _gate_with_newer(0.0), loads, "zone-0", random.Random(1))
    newer = table.get("e3")
    assert newer is not None
    newer.in_flight = 5
    early = selector.choose(SERVICE, _stream(), "scope", (), GRACE_SECONDS - 0.1)
    assert early is not None and early.instance is not newer
    late = selector.choose(SERVICE, _stream(), "scope", (), GRACE_SECONDS + 0.1)
    assert late is not None and late.instance is newer
    newer.in_flight_tokens = 20_000
    loaded = selector.choose(SERVICE, _stream(), "scope", (), GRACE_SECONDS + 0.1)
    assert loaded is not None and loaded.instance is not newer
