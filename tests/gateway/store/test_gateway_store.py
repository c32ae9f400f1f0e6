"""What a gateway reads from the object store: configuration, keys, servers, weight versions."""

from __future__ import annotations

import asyncio
import socket

import pytest

from gateway_behaviours import (
    PROMPT,
    once_then_whole,
    stream_of_four,
)
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    Client,
    ReceivedRequest,
    StandinServer,
    answer,
    configuration,
    serve_whole,
)

# -- configuration, keys, discovery -------------------------------------------------------------


def test_unknown_keys_routes_and_missing_ids_are_refused_without_a_send() -> None:
    """401, 404 and 400, each before any request is sent to a server."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert (await (await harness.client()).ask("/safe/", key="wrong")).status == 401
        assert (await (await harness.client()).ask("/safe/", key="")).status == 401
        assert (await (await harness.client()).ask("/nowhere/")).status == 404
        assert (await (await harness.client()).ask("/safe/", "")).status == 400
        assert (await (await harness.client()).ask("/safe/", Deadline_Ms="soon")).status == 400
        assert (await (await harness.client()).ask("/stream/", Prompt_Prefix="zz:1")).status == 400
        assert (await (await harness.client()).ask("/stream/", Token_Usage="many")).status == 400
        assert not server.received
        assert (await (await harness.client()).ask("/open/", key="")).status == 200

    run_with_gateway(scenario)


def test_unknown_keys_get_401_however_old_the_proof_of_a_stable_store_is() -> None:
    """A watch proves the state as of its sending, so a proof's age reaches twice its wait."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        for number in range(24):
            assert (await client.ask("/safe/", f"id-{number}", key="wrong")).status == 401
            await asyncio.sleep(0.1)

    run_with_gateway(scenario)


def test_a_taken_internal_port_does_not_keep_a_gateway_from_serving() -> None:
    """It binds the next port of the range, or serves without its peers."""

    async def scenario(harness: Harness) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            port = taken.getsockname()[1]
            await harness.add_server("app-1", "app", serve_whole)
            harness.store.put("config", "main", configuration())
            harness.internal_ports = [port, port]
            await harness.start_gateway()
            await harness.until(harness.is_ready)
            assert (await (await harness.client()).ask("/safe/")).status == 200

    run_with_gateway(scenario)


def test_not_ready_before_the_first_configuration() -> None:
    """503, never 404 or 401."""

    async def scenario(harness: Harness) -> None:
        await harness.start_gateway()
        got = await (await harness.client()).ask("/safe/")
        assert got.status == 503
        assert harness.node is not None
        client = await Client.connect(harness.node.readiness_address)
        assert (await client.ask("/milletcourse/ready", method="GET", body=b"")).status == 503
        harness.store.put("config", "main", configuration())
        await harness.until(harness.is_ready)
        assert (await client.ask("/milletcourse/ready", method="GET", body=b"")).status == 200

    run_with_gateway(scenario)


def test_a_gateway_is_not_ready_before_it_knows_the_servers() -> None:
    """Otherwise it gets client requests while it has no servers, and answers 503."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        harness.store.put("config", "main", configuration())
        harness.store.unavailable_kinds.add("servers")
        await harness.start_gateway()
        assert harness.node is not None
        context = harness.node.context
        await harness.until(lambda: context.freshness.allows_keys(context.now()))
        assert not context.is_ready()
        harness.store.unavailable_kinds.clear()
        await harness.until(context.is_ready)
        assert (await (await harness.client()).ask("/safe/")).status == 200

    run_with_gateway(scenario)


def test_revoked_key_is_refused_and_no_older_version_returns() -> None:
    """A new version takes effect; an older one that is written later doesn't."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        tenants = [{"Name": "tenant-2", "ApiKeys": ["key-2"]}]
        harness.store.put("config", "main", configuration(5, Tenants=tenants))
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 5
        )
        assert (await (await harness.client()).ask("/safe/")).status == 401
        harness.store.put("config", "main", configuration(4))
        harness.store.put("config", "main", configuration(6, Tenants=tenants))
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 6
        )
        assert (await (await harness.client()).ask("/safe/")).status == 401

    run_with_gateway(scenario)


def test_keys_are_refused_when_the_store_is_silent_for_too_long() -> None:
    """Fail closed: 503 with `Retry-After`, and not ready; public routes are still served."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start(RevokeMs=1500)
        assert harness.node is not None
        harness.store.silent = True
        harness.store.reset_connections()
        await harness.until(
            lambda: harness.node is not None and not harness.node.context.is_ready()
        )
        got = await (await harness.client()).ask("/safe/")
        assert got.status == 503
        assert "retry-after" in got.headers
        assert (await (await harness.client()).ask("/safe/", key="wrong")).status == 503
        assert (await (await harness.client()).ask("/open/", key="")).status == 200

    run_with_gateway(scenario)


def test_a_malformed_configuration_proves_nothing() -> None:
    """Keys are refused while the newest configuration can't be decoded."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start(RevokeMs=1400)
        node = harness.node
        assert node is not None
        harness.store.put("config", "main", {"Version": "no number"})
        await harness.until(lambda: not node.context.is_ready())
        assert (await (await harness.client()).ask("/safe/")).status == 503
        harness.store.put("config", "main", configuration(3))
        await harness.until(node.context.is_ready)
        assert (await (await harness.client()).ask("/safe/")).status == 200

    run_with_gateway(scenario)


def test_lost_history_is_listed_again() -> None:
    """A watch that gets 410 is followed by a list, which shows the missed changes."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.add_server("app-2", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        instances = harness.node.context.instances
        entry = harness.servers["app-1"].entry("app", state="draining")
        harness.store.put_unseen("servers", "app-1", entry)
        harness.store.stale_by = 1
        harness.store.reset_connections()

        def is_draining() -> bool:
            instance = instances.get("app-1")
            return instance is not None and instance.record.draining

        await harness.until(is_draining)
        for number in range(4):
            assert (await (await harness.client()).ask("/safe/", f"id-{number}")).body == b"app-2"

    run_with_gateway(scenario)


def test_a_long_list_is_read_while_the_store_refuses_many_calls() -> None:
    """A refused page is requested again.

    Many gateways that restart their lists at every refusal might never finish them.
    """

    async def scenario(harness: Harness) -> None:
        server = StandinServer("template", serve_whole)
        await server.start()
        for number in range(60):
            harness.store.put("servers", f"app-{number:02}", server.entry("app"))
        harness.store.page_size = 3
        harness.store.refuse_share = 0.4
        harness.store.put("config", "main", configuration())
        await harness.start_gateway()
        assert harness.node is not None
        instances = harness.node.context.instances
        await harness.until(lambda: len(list(instances)) == 60)
        pages = [call for call in harness.store.calls if call.target.count("/servers?")]
        assert all("Stale=1" in call.target for call in pages if "Watch" not in call.target)
        await server.stop()

    run_with_gateway(scenario)


def test_a_stale_list_is_brought_up_to_date_before_it_is_used() -> None:
    """The first watch brings the changes since the stale page."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.add_server("app-2", "app", serve_whole)
        harness.store.put("config", "main", configuration())
        harness.store.remove("servers", "app-1")
        harness.store.stale_by = 2
        await harness.start_gateway()
        assert harness.node is not None
        instances = harness.node.context.instances
        await harness.until(lambda: instances.get("app-2") is not None)
        assert instances.get("app-1") is None

    run_with_gateway(scenario)


def test_entries_that_vanish_while_the_store_fails_are_unverified_not_removed() -> None:
    """Servers whose entries are deleted while the store fails are still used."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        instances = harness.node.context.instances
        harness.store.unavailable = True
        harness.store.reset_connections()
        await asyncio.sleep(0.2)
        harness.store.remove("servers", "app-1")
        harness.store.unavailable = False

        def is_doubtful() -> bool:
            instance = instances.get("app-1")
            return instance is not None and instance.missing_since is not None

        await harness.until(is_doubtful)
        assert (await (await harness.client()).ask("/safe/")).status == 200

    run_with_gateway(scenario)


# -- weight versions ----------------------------------------------------------------------------


def test_isolated_tenants_and_versions_have_separate_salts() -> None:
    """The salt covers the model, the weight version, and the tenant if it is isolated.

    The salt of those who share covers the set of isolated tenants.
    """

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("e-1", "engine", stream_of_four, 3)
        await harness.start()
        await (await harness.client()).ask("/stream/", "id-1", **PROMPT)
        await (await harness.client()).ask("/stream/", "id-2", key="key-2", **PROMPT)
        salts = [request.headers["cache-salt"] for request in server.received]
        assert salts == [
            "model-1:tenant:tenant-1@3",
            "model-1:shared:d7cc9519cde2bb96513bb067e1f7d25b@3",
        ]
        assert {request.headers["expected-version"] for request in server.received} == {"3"}

    run_with_gateway(scenario)


def test_a_shared_prefix_has_one_store_in_all_zones() -> None:
    """Servers of all zones import it from there and export it there, however short it is."""
    parts = [("5c1e07a2", "91bd3f06"), ("0a0b0c0d", "0badcafe"), ("1f1f1f1f", "2e2e2e2e")]

    async def scenario(harness: Harness) -> None:
        zones = ["zone-1", "zone-2", "zone-3"]
        for zone in zones:
            server = await harness.add_server(f"e-{zone}", "engine", stream_of_four, 3)
            entry = {**server.entry("engine", 3), "Zone": zone}
            harness.store.put("servers", server.name, entry)
        services = configuration()["Services"] + [
            {"Name": f"kept-{zone}", "KvStoreAddr": f"10.0.0.{index}:1", "Zone": zone}
            for index, zone in enumerate(zones)
        ]
        harness.store.put("config", "main", configuration(Services=services))
        await harness.start_gateway()
        await harness.until(harness.is_ready)
        assert harness.node is not None
        health = {item.name: item.health for item in harness.node.context.instances}
        for shared, own in parts:
            sources = set()
            for number in range(6):
                # Each server in turn is excluded, so that the others get the prompt.
                health[f"e-{zones[number % 3]}"].on_order(harness.node.context.now() + 5.0)
                prompt = {"Prompt_Prefix": f"{shared}:60,{own}:20", "Token_Usage": "80,4"}
                got = await (await harness.client()).ask(
                    "/stream/", f"{shared}-{number}", Model="model-1", **prompt
                )
                assert got.status == 200
                health[f"e-{zones[number % 3]}"].on_ready()
            for server in harness.servers.values():
                for request in server.received:
                    if request.request_id.startswith(shared):
                        assert request.headers["kv-source"] == request.headers["kv-target"]
                        sources.add(request.headers["kv-source"])
            assert len(sources) == 1
        assert all(server.received for server in harness.servers.values())

    run_with_gateway(scenario)


def test_a_refused_version_is_noted_and_the_request_runs_on_the_newest_one() -> None:
    """A server with newer weights answers 421; the same request then runs on the newest version."""

    async def moved_on(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.headers["expected-version"] != "2":
            fields = {"Request-Id": request.request_id, "Instance-Id": server.name}
            writer.write(answer(421, b"", fields))
            return
        await stream_of_four(server, request, writer)

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("e-1", "engine", moved_on, 1)
        harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 1})
        await harness.start()
        assert harness.node is not None
        gate = harness.node.context.gate
        harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 2})
        await harness.until(lambda: gate.newest("model-1") == 2)
        got = await (await harness.client()).ask("/stream/", **PROMPT)
        assert (got.status, got.whole) == (200, True)
        assert [request.headers["expected-version"] for request in server.received] == ["1", "2"]

    run_with_gateway(scenario)


def successor_of(successor: str) -> Behaviour:
    """A server that answers as another incarnation than that of its entry."""

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(answer(421, b"", {"Request-Id": request.request_id, "Instance-Id": successor}))

    return behave


@pytest.mark.parametrize("path", ["/safe/", "/unsafe/"])
def test_a_terminated_incarnation_gets_one_request_at_most(path: str) -> None:
    """Another incarnation at its address shows its termination, long before its entry is deleted.

    The other server is slow, so that the terminated one, which answers at once, seems preferable.
    """

    async def serve_slowly(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.15)
        await serve_whole(server, request, writer)

    async def scenario(harness: Harness) -> None:
        restarted = await harness.add_server("app-1", "app", successor_of("app-3"))
        await harness.add_server("app-2", "app", serve_slowly)
        await harness.start()
        for number in range(6):
            got = await (await harness.client()).ask(path, f"request-{number}")
            assert got.status == 200
        assert len(restarted.received) == 1

    run_with_gateway(scenario)


def test_an_answer_that_names_no_other_incarnation_ends_none() -> None:
    """A server that answers 421 without another incarnation stays in use."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", once_then_whole(successor_of("")))
        await harness.start()
        client = await harness.client()
        assert (await client.ask("/safe/", "request-1")).status == 503
        assert (await client.ask("/safe/", "request-2")).status == 200

    run_with_gateway(scenario)


def test_terminated_incarnations_leave_no_cached_state() -> None:
    """Otherwise the cached state of replaced servers would grow for months."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("e-1", "engine", stream_of_four, 1)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        await (await harness.client()).ask("/stream/", **PROMPT)
        assert len(context.selector.holders) > 0
        harness.store.remove("servers", "e-1")
        await harness.until(lambda: context.instances.get("e-1") is None)
        assert len(context.selector.holders) == 0

    run_with_gateway(scenario)


def test_a_lease_that_cannot_be_read_does_not_end_the_process() -> None:
    """It is ignored and logged; requests are still served."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("e-1", "engine", stream_of_four, 1)
        harness.store.put("milletcourse-leases", "roll-out", {"holder": 7})
        harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 2})
        await harness.start()

        def lease_calls() -> int:
            return sum("milletcourse-leases" in call.target for call in harness.store.calls)

        await harness.until(lambda: lease_calls() >= 2)
        assert (await (await harness.client()).ask("/stream/", **PROMPT)).status == 200

    run_with_gateway(scenario)
