"""Streams through a gateway: resumption, silent servers and client disconnects."""

from __future__ import annotations

import asyncio

import pytest

from gateway_behaviours import (
    PROMPT,
    first_then,
    pausing_stream,
    stream_broken_in_an_event,
    stream_of_four,
)
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    ReceivedRequest,
    StandinServer,
    event,
    serve_whole,
)
from milletcourse.exchange.attempts import silence_timeouts
from milletcourse.exchange.attempts.silence_timeouts import MIN_SILENCE_SECONDS
from milletcourse.exchange.messages.messages import AttemptResult, ExchangeRequest
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.clients.refusals import refuse
from milletcourse.gateway.clients.request_reader import ClientRequest
from milletcourse.gateway.requests.exchange import Exchange

# -- streams ------------------------------------------------------------------------------------


def test_resumable_stream_goes_on_after_the_last_whole_event() -> None:
    """The stream resumes at another server, and no event is lost or repeated."""

    async def scenario(harness: Harness) -> None:
        behaviour = first_then(stream_broken_in_an_event, stream_of_four)
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


def _silent_for_a_while() -> Behaviour:
    """The first request gets two events, then a long silence, then the remaining events."""
    return first_then(pausing_stream(1.6 * MIN_SILENCE_SECONDS), stream_of_four)


@pytest.mark.parametrize("servers", [1, 2])
def test_silent_server_is_abandoned_only_for_another_server(servers: int) -> None:
    """A stream that cannot continue at another server is awaited, not truncated."""

    async def scenario(harness: Harness) -> None:
        behaviour = _silent_for_a_while()
        for number in range(servers):
            await harness.add_server(f"e-{number}", "engine", behaviour, 1)
        await harness.start()
        got = await (await harness.client()).ask("/stream/", Deadline_Ms="6000", **PROMPT)
        assert (got.status, got.whole) == (200, True)
        assert got.body == b"".join(event(number) for number in range(1, 5))
        sends = sum(len(server.received) for server in harness.servers.values())
        assert sends == servers

    run_with_gateway(scenario)


def test_silent_server_is_not_abandoned_without_retry_budget() -> None:
    """The retry budget is checked before the server is abandoned, not after."""

    async def scenario(harness: Harness) -> None:
        behaviour = _silent_for_a_while()
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
    """Such a server may have a queue; one that answers no request is abandoned for another one."""
    monkeypatch.setattr(silence_timeouts, "LIVE_SERVER_FACTOR", 20.0)

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


def test_stream_that_may_not_resume_is_truncated_and_never_looks_complete() -> None:
    """The request runs once, and the client can tell that the answer is incomplete."""

    async def scenario(harness: Harness) -> None:
        behaviour = first_then(stream_broken_in_an_event, stream_of_four)
        servers = [await harness.add_server(f"e-{n}", "engine", behaviour, 1) for n in (1, 2)]
        await harness.start()
        got = await (await harness.client()).ask("/single/", **PROMPT)
        assert got.whole is False
        assert got.body == event(1) + event(2)
        assert sum(len(server.received) for server in servers) == 1

    run_with_gateway(scenario)


def test_client_disconnect_aborts_the_request_at_the_server() -> None:
    """The server's connection is reset."""

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
        # After a plain close, bytes held up by a network partition would still arrive later.
        assert server.resets == 1

    run_with_gateway(scenario)


def test_client_disconnect_before_the_request_starts_causes_no_send() -> None:
    """The disconnect is noticed although no callback was registered when it happened."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        assert context.route_table is not None
        route = context.route_table.find_route("site.example", "/safe/")
        assert route is not None
        request = a_request(context.now())
        client = ClientConnection(context, _no_handler, refuse, set())
        client.connection_lost(None)
        await Exchange(context, context.route_table, request, route, None, client).run()
        assert not server.received

    run_with_gateway(scenario)


def a_request(received_at: float) -> ExchangeRequest:
    """A parsed request without a tenant."""
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
    """A handler that does nothing."""


def test_unsent_attempt_does_not_affect_server_health() -> None:
    """A client disconnect while connecting does not count against the server."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        instance = context.instances.get("app-1")
        assert instance is not None and context.route_table is not None
        route = context.route_table.find_route("site.example", "/safe/")
        assert route is not None
        client = ClientConnection(context, _no_handler, refuse, set())
        client.connection_lost(None)
        request = a_request(context.now())
        await Exchange(context, context.route_table, request, route, None, client).run()
        assert not instance.health.is_ejected(context.now())

    run_with_gateway(scenario)


def test_deadline_ends_a_request_at_once() -> None:
    """The status is 504 without Retry-After, since the request may have been executed."""

    async def silent_server(
        _: StandinServer, __: ReceivedRequest, ___: asyncio.StreamWriter
    ) -> None:
        return

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", silent_server)
        await harness.start()
        got = await (await harness.client()).ask("/unsafe/", Deadline_Ms="200")
        assert got.status == 504
        assert "retry-after" not in got.headers

    run_with_gateway(scenario)
