"""Servers that reject requests and request back-off for some seconds."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from click.testing import Result
from typer.testing import CliRunner

from gateway_harness import Harness, run_with_gateway
from gateway_standin import Client
from milletcourse.cli.main import app
from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.exchange.messages.records import InstanceRecord
from milletcourse.exchange.servers.instance_table import Instance
from signalling_fleet import MAX_SENDS_IN_BACK_OFF, SignallingFleet, SignalState

REST = "2"
REST_SECONDS = float(REST)


@pytest.mark.parametrize(("service", "path"), [("app", "/safe/"), ("engine", "/stream/")])
def test_servers_get_no_requests_while_all_of_them_back_off(service: str, path: str) -> None:
    """Guards against sending each request to two servers that both reject it."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness, service)
        await fleet.start({"s-1": SignalState(back_off=REST), "s-2": SignalState(back_off=REST)})
        await fleet.load(1.5 * REST_SECONDS, path)
        most = {name: each.max_sends_in_back_off() for name, each in fleet.arrivals.items()}
        assert max(most.values()) <= MAX_SENDS_IN_BACK_OFF, most
        assert set(fleet.statuses()) == {503}

    run_with_gateway(scenario)


def test_retry_after_names_the_end_of_the_back_off() -> None:
    """Retry-After points to the time when the servers accept requests again."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start(
            {"s-1": SignalState(back_off="4"), "s-2": SignalState(back_off="6")}, gateways=1
        )
        await fleet.load(0.5)
        node = fleet.nodes[0]
        client = await Client.connect(node.frontend_address)
        result = await fleet.ask(client, node, "/safe/")
        assert result.status == 503
        assert 3.0 < float(result.headers["retry-after"]) < 8.0

    run_with_gateway(scenario)


def test_requests_are_served_again_after_the_back_off() -> None:
    """The back-off ends by time alone."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start(
            {"s-1": SignalState(back_off="1"), "s-2": SignalState(back_off="1")}, gateways=1
        )
        await fleet.load(0.3)
        for signal_state in fleet.signal_states.values():
            signal_state.back_off = ""
        await asyncio.sleep(1.0)
        fleet.answers.clear()
        await fleet.load(0.3)
        assert set(fleet.statuses()) == {200}

    run_with_gateway(scenario)


def test_back_off_stays_in_force_when_the_server_has_new_weights() -> None:
    """Guards against a completed order that also ends a requested back-off."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness, "engine")
        await fleet.start({"s-1": SignalState(), "s-2": SignalState()}, gateways=1)
        backing_off = await fleet.most_used_server("/stream/")
        await _load_until_back_off(fleet, backing_off, "60", "/stream/")
        assert backing_off not in _candidates(fleet, "engine", 0.0)
        fleet.instance(fleet.nodes[0], backing_off).note_version("model-1", 2)
        assert backing_off not in _candidates(fleet, "engine", 0.0)

    run_with_gateway(scenario)


def test_back_off_of_ten_seconds_lasts_ten_seconds() -> None:
    """Guards against an upper bound of five seconds."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        await fleet.start({"s-1": SignalState(), "s-2": SignalState()}, gateways=1)
        await _load_until_back_off(fleet, "s-1", "10", "/safe/")
        assert _candidates(fleet, "app", 9.0) == {"s-2"}
        assert _candidates(fleet, "app", 10.1) == {"s-1", "s-2"}

    run_with_gateway(scenario)


async def _load_until_back_off(fleet: SignallingFleet, name: str, rest: str, path: str) -> None:
    """Send requests until a server has requested back-off."""
    fleet.signal_states[name].back_off = rest
    while not fleet.arrivals[name].back_offs:
        await fleet.load(0.05, path)


def _candidates(fleet: SignallingFleet, service_name: str, later: float) -> set[str]:
    """Servers that may get a request some seconds from now."""
    context = fleet.nodes[0].context
    assert context.route_table is not None
    service = context.route_table.service(service_name)
    assert service is not None
    found = context.selector.candidates.of_service(service, "", (), context.now() + later)
    return {instance.name for instance in found}


def test_operators_see_signals_and_the_requests_that_they_kept_away() -> None:
    """The command at the gateway, its metrics and the log lines of a request show them."""

    async def scenario(harness: Harness) -> None:
        fleet = SignallingFleet(harness)
        signal_states = {
            "s-1": SignalState(announces_draining=True),
            "s-2": SignalState(back_off="30"),
            "s-3": SignalState(),
        }
        await fleet.start(signal_states, gateways=1)
        await fleet.load(1.0)
        node = fleet.nodes[0]
        lines: list[dict[str, Any]] = []
        log = node.context.record._log
        setattr(log, "emit", lambda event, **fields: lines.append({"event": event, **fields}))  # noqa: B010
        client = await Client.connect(node.frontend_address)
        await fleet.ask(client, node, "/safe/")
        served = [line for line in lines if line["event"] == "request-served"]
        assert served[0]["kept_from"] == {"s-1": "leaving", "s-2": "resting"}
        signal_states["s-3"].announces_draining = True
        await fleet.load(0.2)
        await fleet.ask(client, node, "/safe/")
        failed = [line for line in lines if line["event"] == "request-failed"]
        assert failed[-1]["code"] == "servers-resting"
        port = await node.listen_for_operators(0, "/metrics")
        listed: Result = await asyncio.to_thread(
            CliRunner().invoke, app, ["signals", "--gateway", port]
        )
        shown = {item["instance"]: item for item in map(json.loads, listed.output.splitlines())}
        assert [shown[name]["signal"] for name in sorted(shown)] == [
            "leaving",
            "resting",
            "leaving",
        ]
        assert shown["s-1"]["told_by"] == "answer" and shown["s-1"]["left"] is None
        assert 20.0 < shown["s-2"]["left"] < 30.0
        assert all(item["kept_away"] > 0 and item["said"] < 10.0 for item in shown.values())
        text = harness.metrics.render().decode()
        assert 'kept_away_total{service="app",signal="resting"}' in text

    run_with_gateway(scenario)


def test_completed_order_does_not_clear_rejections() -> None:
    """A server that has loaded its weights may still be overloaded."""
    instance = Instance(InstanceRecord("s-1", "engine", "127.0.0.1:1"))
    instance.health.on_order(5.0)
    instance.health.on_result(AttemptResult.REJECTED, 1.0)
    instance.health.on_ready()
    assert instance.health.is_busy(1.1)
    assert not instance.health.is_busy(1.2)
