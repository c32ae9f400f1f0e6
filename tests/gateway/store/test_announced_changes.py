"""Requests while a configuration is being received: which of them it affects."""

from __future__ import annotations

import asyncio

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import Client, configuration, serve_whole
from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.messages.records import (
    ExchangeConfiguration,
    RouteKind,
    RouteRecord,
    TenantRecord,
    WeightedService,
)
from milletcourse.exchange.replication.configuration_effect import (
    MAX_ENTRIES,
    EffectHistory,
    EffectView,
    effect_of,
)
from milletcourse.exchange.replication.configuration_lag import ConfigurationLag, LagVerdict
from milletcourse.gateway.node import GatewayNode
from milletcourse.gateway.store.feed_client import FeedClient

APPLY_SECONDS = 2.0


def route(prefix: str, service: str = "app", host: str = "site") -> RouteRecord:
    """A route of one service."""
    return RouteRecord(
        prefix, host, prefix, RouteKind.SAFE, 1.0, 1.0, 0, (WeightedService(service),)
    )


def version(
    number: int, routes: list[RouteRecord], tenants: dict[str, tuple[str, ...]]
) -> ExchangeConfiguration:
    """A configuration."""
    records = tuple(TenantRecord(name, keys) for name, keys in tenants.items())
    return ExchangeConfiguration(number, tuple(routes), tenants=records)


BEFORE = version(1, [route("/a/"), route("/b/"), route("/c/")], {"t": ("old", "kept"), "u": ("x",)})
AFTER = version(
    2, [route("/a/"), route("/b/", "engine"), route("/a/new/")], {"t": ("kept", "new"), "u": ("x",)}
)


def view_of(before: ExchangeConfiguration, after: ExchangeConfiguration) -> EffectView:
    """The effect of a change between two configurations."""
    effect = effect_of(before, after)
    assert effect is not None
    return EffectView(effect)


@pytest.mark.parametrize(
    ("path", "key", "is_concerned"),
    [
        ("/a/1", "kept", False),
        ("/a/new/1", "kept", True),
        ("/a/new", "kept", False),
        ("/b/1", "kept", True),
        ("/c/", "kept", True),
        ("/d/", "kept", False),
        ("/a/1", "new", True),
        ("/a/1", "x", False),
    ],
)
def test_an_effect_lists_what_a_change_concerns(path: str, key: str, is_concerned: bool) -> None:
    """Routes that are new, removed or moved, and keys that are new."""
    view = view_of(BEFORE, AFTER)
    assert view.affects("site", path, key) is is_concerned
    assert not view.affects("other-site", path, "kept")
    assert view.revokes("old") and not view.revokes("kept")


def test_the_same_content_concerns_nothing() -> None:
    """Two configurations that differ at most in the version have an empty effect."""
    assert effect_of(BEFORE, BEFORE) == ConfigurationEffect(b"", b"", b"")


def test_an_effect_beyond_the_size_limit_concerns_all() -> None:
    """So does one that requires keys where none were required before."""
    many = version(2, [route(f"/{number}/") for number in range(MAX_ENTRIES + 1)], {})
    assert effect_of(version(1, [], {}), many) is None
    assert effect_of(version(1, [], {}), version(2, [], {"t": ("key",)})) is None


def test_a_history_joins_the_effects_between_two_versions() -> None:
    """It has no effects for versions that it did not see."""
    history = EffectHistory()
    assert history.since(1) is None
    history.record(BEFORE, AFTER, 3.0)
    last = version(5, [*AFTER.routes, route("/e/")], {"u": ("x",)})
    history.record(AFTER, last, None)
    effect = history.since(1)
    assert effect is not None
    view = EffectView(effect)
    assert view.affects("site", "/e/", "") and view.affects("site", "/b/", "")
    assert view.revokes("old") and view.revokes("kept")
    assert history.since(2) == effect_of(AFTER, last)
    assert history.not_committed_at(1) == 3.0 and history.not_committed_at(2) is None
    assert history.since(0) is None and history.since(3) is None and history.since(5) is None


def test_what_a_change_may_concern_is_refused_once_it_is_due() -> None:
    """Due from the latest proof without the change on, and only until it is in force."""
    lag = ConfigurationLag(APPLY_SECONDS)
    assert lag.judge(0.0, "site", "/b/", "old") is LagVerdict.UNAFFECTED
    lag.on_announced(10.0, effect_of(BEFORE, AFTER))
    lag.on_announced(11.0, effect_of(BEFORE, AFTER))
    assert lag.judge(10.1, "site", "/b/", "old") is LagVerdict.REVOKED
    assert lag.judge(11.5, "site", "/b/", "kept") is LagVerdict.UNAFFECTED
    assert lag.judge(12.0, "site", "/b/", "kept") is LagVerdict.STALE
    assert lag.judge(12.0, "site", "/a/", "kept") is LagVerdict.UNAFFECTED
    lag.on_announced(12.0, None)
    assert lag.judge(12.0, "site", "/a/", "kept") is LagVerdict.STALE
    lag.on_current()
    assert lag.judge(12.0, "site", "/b/", "old") is LagVerdict.UNAFFECTED


def test_an_effect_that_can_not_be_read_concerns_all() -> None:
    """A malformed effect, whatever its source, must not let a request pass."""
    lag = ConfigurationLag(APPLY_SECONDS)
    lag.on_announced(10.0, ConfigurationEffect(b"123", b"", b""))
    assert lag.may_affect("site", "/a/", "kept") and not lag.knows_effect


async def _pair_with_held_contents(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> tuple[GatewayNode, GatewayNode, asyncio.Event]:
    """A reader and a follower whose fetches wait for an event."""
    released = asyncio.Event()
    original = FeedClient._fetch_one

    async def fetch_one(client: FeedClient, *question: object) -> object:
        await released.wait()
        return await original(client, *question)  # type: ignore[arg-type]

    monkeypatch.setattr(FeedClient, "_fetch_one", fetch_one)
    await harness.add_server("app-1", "app", serve_whole)
    harness.store.put("config", "main", configuration())
    harness.internal_ports = harness.free_ports()
    reader = await harness.add_gateway("front-1", link_megabits=1000.0)
    kind = harness.adapter.kinds.gateways
    await harness.until(lambda: "front-1" in harness.store.objects.get(kind, {}))
    follower = await harness.add_gateway("front-2", link_megabits=10.0)
    await harness.until(lambda: bool(follower.context.followed_reader))
    return reader, follower, released


def _larger(number: int, keys: dict[str, list[str]]) -> dict[str, object]:
    """A version with incompressible routes, and some keys."""
    from test_large_configurations import large_configuration

    document = large_configuration(number, 300)
    document["Tenants"] = [
        {"Name": name, "ApiKeys": tenant_keys} for name, tenant_keys in keys.items()
    ]
    return document


def test_a_revoked_key_does_not_wait_for_the_content(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is refused as soon as the change is announced; other keys stay valid, with proofs."""

    async def scenario(harness: Harness) -> None:
        _, follower, released = await _pair_with_held_contents(harness, monkeypatch)
        context = follower.context
        document = _larger(2, {"tenant-1": ["key-1"], "tenant-2": ["key-3"]})
        document["Tenants"][0].update(Priority=1, Isolated=True)  # type: ignore[index]
        harness.store.put("config", "main", document)
        # While the reader is receiving the content itself, its announcement names no effect yet.
        await harness.until(lambda: context.lag.is_behind and context.lag.knows_effect)
        client = await Client.connect(follower.frontend_address)
        statuses = []
        for number, key in enumerate(("key-1", "key-2", "key-3")):
            client.send("/safe/", f"request-{number}", key=key)
            got = await client.read_answer()
            statuses.append(got.status if got is not None else 0)
        assert statuses == [200, 401, 503]
        client.send("/no-such-route/", "request-9")
        got = await client.read_answer()
        assert got is not None and got.status == 404
        later = context.now() + APPLY_SECONDS
        await harness.until(lambda: context.freshness.proved_at > later)
        client.send("/safe/", "request-10", key="key-1")
        got = await client.read_answer()
        assert got is not None and got.status == 200, "unaffected requests are served"
        released.set()
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 2
        )
        assert not context.lag.is_behind
        client.send("/safe/", "request-11", key="key-3")
        got = await client.read_answer()
        assert got is not None and got.status == 200
        client.close()

    run_with_gateway(scenario)


def test_a_route_that_changes_is_refused_when_the_change_is_due(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The old version applies until then; later, requests are refused until the content arrives."""

    async def scenario(harness: Harness) -> None:
        _, follower, released = await _pair_with_held_contents(harness, monkeypatch)
        context = follower.context
        document = _larger(2, {"tenant-1": ["key-1"], "tenant-2": ["key-2"]})
        document["Tenants"][0].update(Priority=1, Isolated=True)  # type: ignore[index]
        routes = document["Routes"]
        assert isinstance(routes, list)
        routes[0]["TimeoutMs"] = 900
        harness.store.put("config", "main", document)
        await harness.until(lambda: context.lag.is_behind)
        client = await Client.connect(follower.frontend_address)
        client.send("/safe/", "request-1")
        got = await client.read_answer()
        assert got is not None and got.status == 200
        verdict = (context.now() + APPLY_SECONDS, "site.example", "/safe/", "key-1")
        assert context.lag.judge(*verdict) is LagVerdict.STALE
        released.set()
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 2
        )
        assert context.lag.judge(*verdict) is LagVerdict.UNAFFECTED
        client.close()

    run_with_gateway(scenario)


def test_a_follower_whose_reader_stops_before_the_content_arrives_reads_it_from_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It starts from its own position, not from the announced one."""

    async def scenario(harness: Harness) -> None:
        reader, follower, _ = await _pair_with_held_contents(harness, monkeypatch)
        context = follower.context
        harness.store.put("config", "main", _larger(2, {"tenant-1": ["key-1"]}))
        await harness.until(lambda: context.lag.is_behind)
        reader.close()
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 2
        )
        assert context.reads_store and not context.lag.is_behind

    run_with_gateway(scenario)
