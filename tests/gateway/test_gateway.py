"""A gateway against a stand-in platform: responses, retries, invalid input, planned stop."""

from __future__ import annotations

import asyncio

import pytest

from gateway_behaviours import (
    failing,
    foreign_answer_first,
    garbled,
    once_then_whole,
    reset,
    shedding,
    truncated,
    unframed,
    unframed_reset,
    unmarked_service_unavailable,
    unsigned,
)
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    Client,
    serve_whole,
)
from milletcourse.cli.explain_request import explain_lines
from milletcourse.exchange.messages.peer_messages import (
    InstanceLoad,
    LoadScope,
    PeerMessage,
    short_key,
)


def test_forwards_a_request_unchanged() -> None:
    """Method, target, body, id and tenant reach the server unchanged; the API key does not."""

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
    "fault", [reset, truncated, garbled, unsigned, unframed_reset, unmarked_service_unavailable]
)
def test_unsafe_request_that_may_have_run_is_not_sent_again(fault: Behaviour) -> None:
    """Unless the server confirms non-execution, it runs at most once and the client gets 502."""

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
    "fault",
    [reset, truncated, garbled, unsigned, unframed_reset, failing, unmarked_service_unavailable],
)
def test_safe_request_is_retried_at_another_server(fault: Behaviour) -> None:
    """The request is retried once, within the attempts of its route."""

    async def scenario(harness: Harness) -> None:
        behaviour = once_then_whole(fault)
        servers = [await harness.add_server(f"app-{n}", "app", behaviour) for n in (1, 2)]
        await harness.start()
        got = await (await harness.client()).ask("/safe/")
        assert got.status == 200
        assert [len(server.received) for server in servers] == [1, 1]

    run_with_gateway(scenario)


def test_retry_budget_is_spent_only_by_sends() -> None:
    """Requests that cannot be retried do not consume the budget."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", reset)
        await harness.add_server("app-2", "app", reset)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        budget = context.retry_budgets.budget("app")
        for number in range(5):
            assert (await (await harness.client()).ask("/unsafe/", f"id-{number}")).status == 502
        spent = 0
        while budget.try_retry(context.now()):
            spent += 1
        assert spent >= 1

    run_with_gateway(scenario)


def test_server_failures_are_forwarded_with_their_signature() -> None:
    """After the last attempt, the client gets the server's failure unchanged."""

    async def scenario(harness: Harness) -> None:
        for number in (1, 2, 3):
            await harness.add_server(f"app-{number}", "app", failing)
        await harness.start()
        got = await (await harness.client()).ask("/safe/")
        assert (got.status, got.body) == (500, b"own failure")
        assert got.headers["server-signature"] == "signature-1"
        assert sum(len(server.received) for server in harness.servers.values()) == 2

    run_with_gateway(scenario)


def test_rejected_request_is_retried_elsewhere_or_refused_with_retry_after() -> None:
    """A request that was not executed is retried; without another server: 503, Retry-After."""

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


def test_mismatched_answer_is_dropped_and_its_connection_is_not_reused() -> None:
    """Answers are matched to requests by the request id."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", once_then_whole(foreign_answer_first))
        await harness.start()
        client = await harness.client()
        assert (await client.ask("/unsafe/", "id-1")).body == b"app-1"
        assert (await client.ask("/unsafe/", "id-2")).body == b"app-1"
        assert len({request.connection for request in server.received}) == 2

    run_with_gateway(scenario)


def test_unframed_body_is_complete_when_its_connection_closes() -> None:
    """The client receives the body with a Content-Length."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", unframed)
        await harness.start()
        got = await (await harness.client()).ask("/unsafe/")
        assert (got.status, got.body, got.whole) == (200, b"until the end", True)

    run_with_gateway(scenario)


def test_refused_connection_is_retried_at_another_server() -> None:
    """No byte was sent, so even an unsafe request is retried at another server."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.add_server("app-2", "app", serve_whole)
        await harness.start()
        await harness.servers["app-1"].stop()
        for number in range(4):
            got = await (await harness.client()).ask("/unsafe/", f"id-{number}")
            assert (got.status, got.body) == (200, b"app-2")

    run_with_gateway(scenario)


# -- invalid input ------------------------------------------------------------------------------


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
        (b"CONNECT site.example:80 HTTP/1.1\r\nHost: site.example:80\r\n\r\n", 400),
        (
            b"POST /safe/ HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx",
            400,
        ),
    ],
)
def test_invalid_input_gets_a_typed_answer_and_nothing_is_sent(raw: bytes, status: int) -> None:
    """Invalid input closes its connection; other clients are still served."""

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


@pytest.mark.parametrize("torn", [False, True])
def test_protocol_upgrade_offer_is_declined(torn: bool) -> None:
    """Clients that prefer HTTP/2 offer h2c in their first request; it is served over HTTP/1.1."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        raw = (
            b"POST /safe/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: id-1\r\nApi-Key: key-1\r\n"
            b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"
            b"Content-Length: 4\r\n\r\nbody"
        )
        for chunk in (raw[:60], raw[60:-2], raw[-2:]) if torn else (raw,):
            client.writer.write(chunk)
            await asyncio.sleep(0.02)
        got = await client.read_answer()
        assert got is not None and got.status == 200
        received = server.received[0]
        assert received.body == b"body"
        assert not {"upgrade", "http2-settings"} & set(received.headers)
        assert (await client.ask("/safe/", "id-2")).status == 200

    run_with_gateway(scenario)


def test_pipelined_and_split_requests_are_answered_in_order() -> None:
    """The answers do not depend on how the bytes are split into packets."""

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


# -- metrics and logs ---------------------------------------------------------------------------


def test_metrics_show_outcomes_attempts_and_state() -> None:
    """The metrics path serves metrics with bounded labels; other paths get 404."""

    async def scenario(harness: Harness) -> None:
        behaviour = once_then_whole(failing)
        await harness.add_server("app-1", "app", behaviour)
        await harness.add_server("app-2", "app", behaviour)
        await harness.start()
        assert harness.node is not None
        await (await harness.client()).ask("/safe/")
        await (await harness.client()).ask("/nowhere/")
        address = await harness.node.listen_for_operators(0, "/metrics")
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


def test_suspicion_of_a_server_is_logged_when_it_starts_and_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One line is logged when the gateways jointly suspect a server, and one when they stop."""
    logged: list[tuple[str, bool]] = []

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        monkeypatch.setattr(
            context.record, "suspicion", lambda *arguments: logged.append(arguments)
        )
        failures = InstanceLoad(short_key("app-1"), 0, 0, failures=3)
        suspecting = PeerMessage("other", 1, [failures], scope=LoadScope.ZONE)
        assert context.loads.on_message(suspecting, context.now())
        await harness.until(lambda: len(logged) == 1)
        clearing = PeerMessage("other", 2, [], scope=LoadScope.ZONE)
        assert context.loads.on_message(clearing, context.now())
        await harness.until(lambda: len(logged) == 2)
        assert logged == [("app-1", True), ("app-1", False)]

    run_with_gateway(scenario)


def test_a_request_is_explained_from_the_logs_of_all_nodes() -> None:
    """Lines appear in order of time with the active configuration; text before JSON is ignored."""
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


def test_explain_request_follows_a_stream_over_the_attempts_of_its_client() -> None:
    """From any of its ids, over gateways, to the software version that began it."""
    lines = [
        '{"event": "attempt-failed", "node": "a", "request_id": "x", "software": "v1", '
        '"timestamp": "1"}',
        '{"event": "stream-resumed", "node": "b", "request_id": "y", "resumes": "x", '
        '"software": "v1", "timestamp": "2"}',
        '{"event": "request-served", "node": "c", "request_id": "z", "resumes": "x", '
        '"timestamp": "3"}',
        '{"event": "request-served", "node": "c", "request_id": "other", "timestamp": "4"}',
    ]
    for request_id in ("x", "y", "z"):
        explained = list(explain_lines(lines, request_id))
        assert [line.split()[0] for line in explained] == ["1", "2", "3"]


# -- planned stop -------------------------------------------------------------------------------


def test_planned_stop_keeps_serving_and_asks_clients_to_disconnect() -> None:
    """The gateway is unready at once, serves requests with Connection: close, and then exits."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        persistent_client = await harness.client()
        assert (await persistent_client.ask("/safe/", "id-1")).status == 200
        stop = asyncio.create_task(harness.node.stop())
        await harness.until(lambda: harness.node is not None and harness.node.context.stopping)
        ready = await Client.connect(harness.node.readiness_address)
        assert (await ready.ask("/milletcourse/ready", method="GET", body=b"")).status == 503
        got = await persistent_client.ask("/safe/", "id-2")
        assert (got.status, got.headers["connection"]) == (200, "close")
        await stop

    run_with_gateway(scenario)


def test_a_relayed_request_is_explained_by_both_gateways() -> None:
    """The first gateway names the second one, whose line has the same request id.

    A path that works again is no longer shown as lost.
    """
    lines = [
        '{"timestamp": "1", "node": "a", "event": "path-lost", "address": "s:1"}',
        '{"timestamp": "2", "node": "a", "event": "path-lost", "address": "s:2"}',
        '{"timestamp": "3", "node": "a", "event": "path-restored", "address": "s:2"}',
        '{"timestamp": "5", "node": "a", "event": "request-served", "request_id": "x",'
        ' "through": "b"}',
        '{"timestamp": "4", "node": "b", "event": "connection-relayed", "request_id": "x",'
        ' "sender": "a"}',
    ]
    explained = list(explain_lines(lines, "x"))
    assert explained == [
        "4 b connection-relayed request_id=x sender=a",
        "  believed: 1 a path-lost address=s:1",
        "  believed: 3 a path-restored address=s:2",
        "5 a request-served request_id=x through=b",
    ]
