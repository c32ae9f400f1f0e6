"""A gateway before stand-ins of the users' platform: answers, retries, streams, bad input."""

from __future__ import annotations

import asyncio
import socket

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    Client,
    ReceivedRequest,
    StandinServer,
    answer,
    chunk,
    configuration,
    event,
    serve_whole,
    signed,
    stream_head,
)
from milletcourse.cli.explain_request import explain_lines
from milletcourse.exchange import patience
from milletcourse.exchange.messages import AttemptResult, ExchangeRequest
from milletcourse.exchange.patience import MIN_SILENCE_SECONDS
from milletcourse.exchange.peer_messages import (
    InstanceLoad,
    LoadScope,
    PeerMessage,
    instance_key,
)
from milletcourse.gateway.client_connection import ClientConnection, ClientRequest
from milletcourse.gateway.exchange import Exchange
from milletcourse.gateway.refusals import refuse

PROMPT = {
    "Model": "model-1",
    "Token_Usage": "1460,80",
    "Prompt_Prefix": "5c1e07a2:800,91bd3f06:660",
}


def once_then_whole(first: Behaviour) -> Behaviour:
    """Misbehaves at the first request of all servers that share it, and serves the others."""
    used: list[str] = []

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if used:
            await serve_whole(server, request, writer)
            return
        used.append(server.name)
        await first(server, request, writer)

    return behave


async def reset(_: StandinServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """The connection ends without an answer."""
    writer.transport.abort()


async def truncated(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Half of the body, then the end."""
    writer.write(answer(200, b"0123456789", signed(request))[:-5])
    await writer.drain()
    writer.close()


async def garbled(_: StandinServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Bytes that are no answer."""
    writer.write(b"\x00\x01 no answer at all\r\n\r\n")


async def unsigned(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A success without a signature."""
    writer.write(answer(200, b"forged", {"Request-Id": request.request_id}))


async def failing(_: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """The server's own failure."""
    writer.write(answer(500, b"own failure", signed(request)))


async def shedding(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Turned away, not run."""
    writer.write(answer(503, b"", {"Request-Id": request.request_id, "Not-Executed": "1"}))


async def promise_without_word(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A 503 that doesn't say that it has not run."""
    writer.write(answer(503, b"", signed(request)))


async def foreign_first(
    server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A surplus answer of an earlier request comes in the place of the expected one."""
    writer.write(answer(200, b"foreign", {"Request-Id": "earlier", "Server-Signature": "s"}))
    await serve_whole(server, request, writer)


async def unframed(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A body without a length that ends with its connection."""
    writer.write(answer(200, b"until the end", signed(request), length=False))
    await writer.drain()
    writer.close()


async def unframed_reset(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A body without a length whose connection is reset."""
    writer.write(answer(200, b"until the", signed(request), length=False))
    await writer.drain()
    await asyncio.sleep(0.05)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")  # SOL_SOCKET, SO_LINGER: reset
    writer.transport.abort()


def test_passes_a_request_through_unchanged() -> None:
    """Method, target, body and id reach the server; the key doesn't, the tenant does."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        got = await client.ask(
            "/safe/a%2Fb?x=1&y", "id-1", Tenant="forged", Cache_Salt="forged", Deadline_Ms="2000"
        )
        assert (got.status, got.body, got.headers["server-signature"]) == (
            200,
            b"app-1",
            "signature-1",
        )
        received = server.received[0]
        assert (received.method, received.target, received.body) == (
            "POST",
            "/safe/a%2Fb?x=1&y",
            b"body",
        )
        assert received.request_id == "id-1"
        assert received.headers["tenant"] == "tenant-1"
        assert received.headers["expected-instance"] == "app-1"
        assert 0 < int(received.headers["deadline-ms"]) <= 2000
        assert "api-key" not in received.headers
        assert "cache-salt" not in received.headers

    run_with_gateway(scenario)


def test_reuses_connections_in_order() -> None:
    """Two requests on one client connection use one server connection."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        for number in range(3):
            got = await client.ask("/unsafe/", f"id-{number}")
            assert got.headers["request-id"] == f"id-{number}"
        assert len({request.connection for request in server.received}) == 1

    run_with_gateway(scenario)


@pytest.mark.parametrize(
    "fault", [reset, truncated, garbled, unsigned, unframed_reset, promise_without_word]
)
def test_unsafe_request_that_may_have_run_is_not_sent_again(fault: Behaviour) -> None:
    """Without a promise it runs at most once, and the client gets 502 without a signature."""

    async def scenario(harness: Harness) -> None:
        behaviour = once_then_whole(fault)
        servers = [await harness.add_server(f"app-{n}", "app", behaviour) for n in (1, 2)]
        await harness.start()
        got = await (await harness.client()).ask("/unsafe/")
        assert got.status == 502
        assert "server-signature" not in got.headers
        assert sum(len(server.received) for server in servers) == 1

    run_with_gateway(scenario)


@pytest.mark.parametrize(
    "fault", [reset, truncated, garbled, unsigned, unframed_reset, failing, promise_without_word]
)
def test_safe_request_is_repeated_at_another_server(fault: Behaviour) -> None:
    """Once, within the attempts of its route."""

    async def scenario(harness: Harness) -> None:
        behaviour = once_then_whole(fault)
        servers = [await harness.add_server(f"app-{n}", "app", behaviour) for n in (1, 2)]
        await harness.start()
        got = await (await harness.client()).ask("/safe/")
        assert got.status == 200
        assert [len(server.received) for server in servers] == [1, 1]

    run_with_gateway(scenario)


def test_retry_budget_is_spent_only_by_sends() -> None:
    """Requests that can't be sent again leave the budget to those that can."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", reset)
        await harness.add_server("app-2", "app", reset)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        budget = context.budget("app")
        for number in range(5):
            assert (await (await harness.client()).ask("/unsafe/", f"id-{number}")).status == 502
        spent = 0
        while budget.try_retry(context.now()):
            spent += 1
        assert spent >= 1

    run_with_gateway(scenario)


def test_own_failures_are_passed_on_with_their_signature() -> None:
    """After the attempts are used up, the last failure is the server's own, unchanged."""

    async def scenario(harness: Harness) -> None:
        for number in (1, 2, 3):
            await harness.add_server(f"app-{number}", "app", failing)
        await harness.start()
        got = await (await harness.client()).ask("/safe/")
        assert (got.status, got.body) == (500, b"own failure")
        assert got.headers["server-signature"] == "signature-1"
        assert sum(len(server.received) for server in harness.servers.values()) == 2

    run_with_gateway(scenario)


def test_turned_away_request_goes_elsewhere_or_is_refused_with_a_time() -> None:
    """What was not run may be sent to another server; with none left, 503 and Retry-After."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", once_then_whole(shedding))
        await harness.start()
        got = await (await harness.client()).ask("/unsafe/")
        assert got.status == 503
        assert float(got.headers["retry-after"]) > 0
        await harness.add_server("app-2", "app", once_then_whole(shedding))
        await harness.until(harness.is_ready)
        got = await (await harness.client()).ask("/unsafe/", "id-2")
        assert got.status == 200

    run_with_gateway(scenario)


def test_foreign_answer_is_dropped_and_its_connection_is_not_reused() -> None:
    """Answers are told apart by the request's id."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", once_then_whole(foreign_first))
        await harness.start()
        client = await harness.client()
        assert (await client.ask("/unsafe/", "id-1")).body == b"app-1"
        assert (await client.ask("/unsafe/", "id-2")).body == b"app-1"
        assert len({request.connection for request in server.received}) == 2

    run_with_gateway(scenario)


def test_unframed_body_is_whole_when_its_connection_closes() -> None:
    """The client gets it with a length."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", unframed)
        await harness.start()
        got = await (await harness.client()).ask("/unsafe/")
        assert (got.status, got.body, got.whole) == (200, b"until the end", True)

    run_with_gateway(scenario)


def test_refused_connection_goes_to_another_server() -> None:
    """No byte was sent, so even an unsafe request may go elsewhere."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.add_server("app-2", "app", serve_whole)
        await harness.start()
        await harness.servers["app-1"].stop()
        for number in range(4):
            got = await (await harness.client()).ask("/unsafe/", f"id-{number}")
            assert (got.status, got.body) == (200, b"app-2")

    run_with_gateway(scenario)


# -- streams ------------------------------------------------------------------------------------


async def stream_of_four(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Events 1 to 4, or those after the last one that the request names."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    writer.write(stream_head(request))
    for number in range(first, 5):
        writer.write(chunk(event(number)))
    writer.write(b"0\r\n\r\n")


async def stream_broken_in_an_event(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Two events and half of the third."""
    writer.write(stream_head(request) + chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:7]))
    await writer.drain()
    writer.close()


def _broken_then_whole() -> Behaviour:
    used: list[str] = []

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        behaviour = stream_of_four if used else stream_broken_in_an_event
        used.append(server.name)
        await behaviour(server, request, writer)

    return behave


def test_resumable_stream_goes_on_after_the_last_whole_event() -> None:
    """At another server, with no piece missing or twice."""

    async def scenario(harness: Harness) -> None:
        behaviour = _broken_then_whole()
        servers = [await harness.add_server(f"e-{n}", "engine", behaviour, 1) for n in (1, 2)]
        await harness.start()
        got = await (await harness.client()).ask("/stream/", **PROMPT)
        assert (got.status, got.whole) == (200, True)
        assert got.body == b"".join(event(number) for number in range(1, 5))
        resumed = [
            request.headers["last-event-id"]
            for server in servers
            for request in server.received
            if "last-event-id" in request.headers
        ]
        assert resumed == ["2"]

    run_with_gateway(scenario)


def _silent_for_a_while(silences: list[str]) -> Behaviour:
    """The first request gets two events, and the others after a long silence."""

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if silences:
            await stream_of_four(server, request, writer)
            return
        silences.append(server.name)
        writer.write(stream_head(request) + chunk(event(1)) + chunk(event(2)))
        await asyncio.sleep(1.6 * MIN_SILENCE_SECONDS)
        writer.write(chunk(event(3)) + chunk(event(4)) + b"0\r\n\r\n")

    return behave


@pytest.mark.parametrize("servers", [1, 2])
def test_a_silent_server_is_left_only_for_another_one(servers: int) -> None:
    """A stream that can't go on elsewhere is waited for, not cut."""

    async def scenario(harness: Harness) -> None:
        silences: list[str] = []
        behaviour = _silent_for_a_while(silences)
        for number in range(servers):
            await harness.add_server(f"e-{number}", "engine", behaviour, 1)
        await harness.start()
        got = await (await harness.client()).ask("/stream/", Deadline_Ms="6000", **PROMPT)
        assert (got.status, got.whole) == (200, True)
        assert got.body == b"".join(event(number) for number in range(1, 5))
        sends = sum(len(server.received) for server in harness.servers.values())
        assert sends == servers

    run_with_gateway(scenario)


def test_a_silent_server_is_not_left_without_a_retry_to_spend() -> None:
    """The retry budget is asked before the server is left, not after."""

    async def scenario(harness: Harness) -> None:
        behaviour = _silent_for_a_while([])
        for number in range(2):
            await harness.add_server(f"e-{number}", "engine", behaviour, 1)
        await harness.start(RetryBudgetRatio=0.0, RetrySlack=0)
        got = await (await harness.client()).ask("/stream/", Deadline_Ms="6000", **PROMPT)
        assert (got.status, got.whole) == (200, True)
        assert sum(len(server.received) for server in harness.servers.values()) == 1

    run_with_gateway(scenario)


@pytest.mark.parametrize("lively", [True, False])
def test_a_silent_server_that_answers_others_is_waited_for(
    lively: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It has a queue; one that answers nobody is left for another one."""
    monkeypatch.setattr(patience, "LIVE_PATIENCE", 20.0)

    async def slow_if_asked(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.request_id == "slow" and not any(
            received.request_id == "slow" and received is not request
            for other in servers
            for received in other.received
        ):
            await asyncio.sleep(1.4 * MIN_SILENCE_SECONDS)
        await stream_of_four(server, request, writer)

    servers: list[StandinServer] = []

    async def scenario(harness: Harness) -> None:
        for number in range(2):
            servers.append(await harness.add_server(f"e-{number}", "engine", slow_if_asked, 1))
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        now = context.now() if lively else context.now() - 60.0
        for instance in context.instances:
            for _ in range(8):
                instance.health.on_result(AttemptResult.ANSWERED, now)
        got = await (await harness.client()).ask("/stream/", "slow", Deadline_Ms="6000", **PROMPT)
        assert (got.status, got.whole) == (200, True)
        assert sum(len(server.received) for server in servers) == (1 if lively else 2)

    run_with_gateway(scenario)


def test_stream_that_may_not_resume_is_cut_and_never_looks_complete() -> None:
    """One run; the client sees that it is not whole."""

    async def scenario(harness: Harness) -> None:
        behaviour = _broken_then_whole()
        servers = [await harness.add_server(f"e-{n}", "engine", behaviour, 1) for n in (1, 2)]
        await harness.start()
        got = await (await harness.client()).ask("/single/", **PROMPT)
        assert got.whole is False
        assert got.body == event(1) + event(2)
        assert sum(len(server.received) for server in servers) == 1

    run_with_gateway(scenario)


def test_client_that_leaves_ends_the_work_at_the_server() -> None:
    """The server sees its connection close."""

    async def endless(
        _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.Event().wait()

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", endless)
        await harness.start()
        client = await harness.client()
        client.send("/held/")
        await harness.until(lambda: bool(server.received))
        client.close()
        await harness.until(lambda: bool(server.closed))
        assert len(server.received) == 1
        # A plain close would still deliver what a partition holds up, once it has healed.
        assert server.resets == 1

    run_with_gateway(scenario)


def test_client_that_left_before_its_request_was_begun_causes_no_send() -> None:
    """The close is seen although nobody listened for it yet."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        assert context.table is not None
        route = context.table.find_route("site.example", "/safe/")
        assert route is not None
        request = a_request(context.now())
        client = ClientConnection(context, _no_handler, refuse, set())
        client.connection_lost(None)
        await Exchange(context, context.table, request, route, None, client).run()
        assert not server.received

    run_with_gateway(scenario)


def a_request(received_at: float) -> ExchangeRequest:
    """A request of no tenant, as the edge hands it on."""
    return ExchangeRequest(
        method=b"GET",
        target=b"/safe/",
        host="site.example",
        fields=[],
        body=b"",
        request_id="id-1",
        key="",
        deadline_seconds=1.0,
        last_event_id="",
        model="",
        prompt_parts=(),
        prompt_tokens=0,
        output_tokens=0,
        received_at=received_at,
    )


async def _no_handler(_: ClientRequest, __: ClientConnection) -> None:
    """Serves nothing."""


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


def test_an_attempt_that_was_never_sent_says_nothing_of_its_server() -> None:
    """A client that leaves while the connection comes up is no sign of the server's health."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        instance = context.instances.get("app-1")
        assert instance is not None and context.table is not None
        route = context.table.find_route("site.example", "/safe/")
        assert route is not None
        client = ClientConnection(context, _no_handler, refuse, set())
        client.connection_lost(None)
        request = a_request(context.now())
        await Exchange(context, context.table, request, route, None, client).run()
        assert not instance.health.is_ejected(context.now())

    run_with_gateway(scenario)


def test_time_limit_ends_a_request_at_once() -> None:
    """504 without a promise when it may have run."""

    async def mute(_: StandinServer, __: ReceivedRequest, ___: asyncio.StreamWriter) -> None:
        return

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", mute)
        await harness.start()
        got = await (await harness.client()).ask("/unsafe/", Deadline_Ms="200")
        assert got.status == 504
        assert "retry-after" not in got.headers

    run_with_gateway(scenario)


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


def test_revoked_key_is_refused_and_no_older_version_returns() -> None:
    """A new version takes effect; an older one shown later doesn't."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        tenants = [{"Name": "tenant-2", "ApiKeys": ["key-2"]}]
        harness.store.put("config", "main", configuration(5, Tenants=tenants))
        await harness.until(lambda: context.table is not None and context.table.version == 5)
        assert (await (await harness.client()).ask("/safe/")).status == 401
        harness.store.put("config", "main", configuration(4))
        harness.store.put("config", "main", configuration(6, Tenants=tenants))
        await harness.until(lambda: context.table is not None and context.table.version == 6)
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


# -- bad input ----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /safe/ HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 5000 + b"\r\n\r\n", 431),
        (b"GET /safe/ HTTP/1.1\r\nX: " + b"y" * 5000, 431),
        (b"POST /safe/ HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + b"y" * 11000, 413),
        (
            b"POST /safe/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST /safe/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"GET /safe/ HTTP/1.1\r\nHost: a\r\n", 408),
        (
            b"POST /safe/ HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx",
            400,
        ),
    ],
)
def test_bad_input_gets_a_typed_answer_and_nothing_is_sent(raw: bytes, status: int) -> None:
    """Each ends its connection; other clients are served on."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        client.writer.write(raw)
        got = await client.read_answer()
        assert got is not None
        assert (got.status, got.headers["connection"]) == (status, "close")
        assert got.headers["content-type"] == "application/problem+json"
        assert not server.received
        assert (await (await harness.client()).ask("/safe/")).status == 200

    run_with_gateway(scenario)


def test_pipelined_and_torn_requests_are_answered_in_order() -> None:
    """However the bytes are split."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        raw = b"".join(
            b"POST /safe/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: id-%d\r\nApi-Key: key-1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" % number
            for number in range(3)
        )
        for start in range(0, len(raw), 37):
            client.writer.write(raw[start : start + 37])
            await client.writer.drain()
            await asyncio.sleep(0)
        for number in range(3):
            got = await client.read_answer()
            assert got is not None
            assert (got.status, got.headers["request-id"]) == (200, f"id-{number}")

    run_with_gateway(scenario)


# -- figures and logs ---------------------------------------------------------------------------


def test_figures_tell_outcomes_attempts_and_beliefs() -> None:
    """At the metrics path only; bounded labels."""

    async def scenario(harness: Harness) -> None:
        behaviour = once_then_whole(failing)
        await harness.add_server("app-1", "app", behaviour)
        await harness.add_server("app-2", "app", behaviour)
        await harness.start()
        assert harness.node is not None
        await (await harness.client()).ask("/safe/")
        await (await harness.client()).ask("/nowhere/")
        address = await harness.node.listen_for_metrics(0, "/metrics")
        client = await Client.connect(address)
        got = await client.ask("/metrics", method="GET", body=b"")
        text = got.body.decode()
        assert 'milletcourse_gateway_requests_total{outcome="served"} 1.0' in text
        assert 'milletcourse_gateway_requests_total{outcome="not-found"} 1.0' in text
        assert 'milletcourse_gateway_attempts_total{result="failed"} 1.0' in text
        assert "milletcourse_gateway_configuration_version 1.0" in text
        assert "milletcourse_gateway_ready 1.0" in text
        assert "milletcourse_gateway_reads_store 1.0" in text
        assert (await client.ask("/other", method="GET", body=b"")).status == 404

    run_with_gateway(scenario)


def test_it_is_told_which_servers_all_gateways_found_sick(monkeypatch: pytest.MonkeyPatch) -> None:
    """Once when they do, and once when they don't any more."""
    told: list[tuple[str, bool]] = []

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        monkeypatch.setattr(context.record, "suspicion", lambda *about: told.append(about))
        failures = InstanceLoad(instance_key("app-1"), 0, 0, bad=3)
        sick = PeerMessage("other", 1, [failures], scope=LoadScope.ZONE)
        assert context.loads.on_message(sick, context.now())
        await harness.until(lambda: len(told) == 1)
        well = PeerMessage("other", 2, [], scope=LoadScope.ZONE)
        assert context.loads.on_message(well, context.now())
        await harness.until(lambda: len(told) == 2)
        assert told == [("app-1", True), ("app-1", False)]

    run_with_gateway(scenario)


def test_a_request_is_explained_from_the_logs_of_all_nodes() -> None:
    """In the order of time, with the belief that decided it; other text before the JSON is cut."""
    lines = [
        '3.2 front-2 {"node":"b","event":"request-failed","request_id":"x","code":"overloaded",'
        '"timestamp":"2026-01-01T00:00:03Z"}',
        '{"node":"a","event":"configuration-in-force","version":4,'
        '"timestamp":"2026-01-01T00:00:01Z"}',
        '{"node":"a","event":"attempt-failed","request_id":"x","result":"lost",'
        '"timestamp":"2026-01-01T00:00:02Z"}',
        '{"node":"a","event":"attempt-failed","request_id":"y","timestamp":"2026-01-01T00:00:02Z"}',
        "no JSON at all",
    ]
    explained = list(explain_lines(lines, "x"))
    assert len(explained) == 3
    assert "believed" in explained[0] and "version=4" in explained[0]
    assert "result=lost" in explained[1]
    assert "code=overloaded" in explained[2]
    assert list(explain_lines(lines, "z")) == []


# -- planned stop -------------------------------------------------------------------------------


def test_planned_stop_serves_on_and_asks_clients_to_leave() -> None:
    """Not ready at once; requests are served with Connection: close; the node then ends."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        kept = await harness.client()
        assert (await kept.ask("/safe/", "id-1")).status == 200
        stop = asyncio.create_task(harness.node.stop())
        await harness.until(lambda: harness.node is not None and harness.node.context.stopping)
        ready = await Client.connect(harness.node.readiness_address)
        assert (await ready.ask("/milletcourse/ready", method="GET", body=b"")).status == 503
        got = await kept.ask("/safe/", "id-2")
        assert (got.status, got.headers["connection"]) == (200, "close")
        await stop

    run_with_gateway(scenario)
