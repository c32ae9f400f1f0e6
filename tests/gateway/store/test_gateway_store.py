"""What a gateway takes from the object store: configuration, keys, servers, weight versions."""

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
    """401, 404 and 400, each before any server is asked."""

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


def test_unknown_keys_get_401_however_old_a_calm_proof_is() -> None:
    """A watch that waits proves the time of its sending: its age goes up to twice the wait."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        for number in range(24):
            assert (await client.ask("/safe/", f"id-{number}", key="wrong")).status == 401
            await asyncio.sleep(0.1)

    run_with_gateway(scenario)


def test_a_taken_internal_port_does_not_keep_a_gateway_from_serving() -> None:
    """It takes the next one of the range, or serves without its peers."""

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
    """Clients were sent to one that had nobody to send them to, and got 503."""

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
    """A new version takes effect; an older one shown later doesn't."""

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
    """Fail closed: 503 with a time, and not ready; public routes are served on."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start(RevokeMs=1500)
        assert harness.node is not None
        harness.store.silent = True
        harness.store.cut()
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
    """Keys are not trusted while the newest configuration can't be understood."""

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
    """A watch that gets 410 lists, and sees what it missed."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.add_server("app-2", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        instances = harness.node.context.instances
        entry = harness.servers["app-1"].entry("app", state="draining")
        harness.store.put_unseen("servers", "app-1", entry)
        harness.store.stale_by = 1
        harness.store.cut()

        def is_draining() -> bool:
            instance = instances.get("app-1")
            return instance is not None and instance.record.draining

        await harness.until(is_draining)
        for number in range(4):
            assert (await (await harness.client()).ask("/safe/", f"id-{number}")).body == b"app-2"

    run_with_gateway(scenario)


def test_a_long_list_is_read_while_the_store_refuses_many_calls() -> None:
    """A refused page is asked for again; the list isn't begun anew, as a herd would do for ever."""

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
    """What changed since the stale page comes with the first watch."""

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


def test_entries_that_vanish_with_the_store_are_doubtful_not_gone() -> None:
    """Servers whose entries lapse while the store fails are still used."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        instances = harness.node.context.instances
        harness.store.unavailable = True
        harness.store.cut()
        await asyncio.sleep(0.2)
        harness.store.remove("servers", "app-1")
        harness.store.unavailable = False

        def is_doubtful() -> bool:
            instance = instances.get("app-1")
            return instance is not None and instance.vanished_at is not None

        await harness.until(is_doubtful)
        assert (await (await harness.client()).ask("/safe/")).status == 200

    run_with_gateway(scenario)


# -- weight versions ----------------------------------------------------------------------------


def test_isolated_tenants_and_versions_have_salts_of_their_own() -> None:
    """The salt covers model, weight version, and the tenant where it is isolated."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("e-1", "engine", stream_of_four, 3)
        await harness.start()
        await (await harness.client()).ask("/stream/", "id-1", **PROMPT)
        await (await harness.client()).ask("/stream/", "id-2", key="key-2", **PROMPT)
        salts = [request.headers["cache-salt"] for request in server.received]
        assert salts == ["model-1:tenant:tenant-1@3", "model-1:shared@3"]
        assert {request.headers["expected-version"] for request in server.received} == {"3"}

    run_with_gateway(scenario)


def test_a_shared_part_has_one_store_wherever_it_is_read() -> None:
    """Servers of all zones take it from there and send it there, short as it may be."""
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
                # Each server in turn is passed over, so that others get the prompt.
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


def test_refused_version_is_learnt_and_the_request_goes_on() -> None:
    """A server that moved on answers 421; the same request then runs on the newest version."""

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
    """A server that runs as another incarnation than its entry says."""

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(answer(421, b"", {"Request-Id": request.request_id, "Instance-Id": successor}))

    return behave


@pytest.mark.parametrize("path", ["/safe/", "/unsafe/"])
def test_an_ended_incarnation_gets_one_request_at_most(path: str) -> None:
    """Another incarnation at its address shows its end, long before its entry goes.

    The other server is slow, so that the ended one, which answers at once, looks better.
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
    """A server that only misdirects a request stays in use."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", once_then_whole(successor_of("")))
        await harness.start()
        client = await harness.client()
        assert (await client.ask("/safe/", "request-1")).status == 503
        assert (await client.ask("/safe/", "request-2")).status == 200

    run_with_gateway(scenario)


def test_ended_incarnations_leave_no_beliefs() -> None:
    """Servers come and go for months; what they kept is forgotten with them."""

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
    """It is passed over and said; requests are served on."""

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
