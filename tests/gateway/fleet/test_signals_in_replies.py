"""Signals of servers in their replies to weight orders and in their reports."""

from __future__ import annotations

import asyncio
import json

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import ReceivedRequest, StandinServer, answer
from milletcourse.exchange.load.signal_record import Signal
from milletcourse.exchange.servers.instance_table import Instance

BORN = 1_700_000_000_000
ORDER = "/milletcourse/order"
REPORT = "/milletcourse/report"


class OrderedServer:
    """A model server with outdated weights, which sends signals in one kind of its replies."""

    def __init__(self, target: str, fields: dict[str, str], born: int = BORN) -> None:
        self._target = target
        self._fields = fields
        self._born = born
        self.calls: list[str] = []

    async def behave(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a poll or an order; no other requests arrive."""
        self.calls.append(request.target)
        fields = self._fields if request.target == self._target else {}
        if request.target == ORDER:
            writer.write(answer(503 if "Retry-After" in fields else 202, b"", fields))
            return
        report = {
            "Models": [{"Name": "model-1", "Version": 1, "Adapters": []}],
            "Busy": False,
            "Sequence": 0,
            "born": self._born,
        }
        writer.write(answer(200, json.dumps(report).encode(), fields))


async def _start(harness: Harness, ordered: OrderedServer) -> Instance:
    """Start a gateway with a server that needs newer weights."""
    server = StandinServer("s-1", ordered.behave)
    await server.start()
    harness.servers["s-1"] = server
    entry = {**server.entry("engine", 1), "born": BORN}
    harness.store.put("servers", "s-1", entry)
    harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 2})
    await harness.start(VersionMs=2000)
    assert harness.node is not None
    instance = harness.node.context.instances.get("s-1")
    assert instance is not None
    return instance


@pytest.mark.parametrize("target", [ORDER, REPORT])
def test_a_leaving_signal_in_a_reply_is_applied(target: str) -> None:
    """Guards against reading signals only in answers to clients' requests."""

    async def scenario(harness: Harness) -> None:
        ordered = OrderedServer(target, {"Server-Leaving": "1"})
        instance = await _start(harness, ordered)
        assert harness.node is not None
        signals = harness.node.context.server_signals
        await harness.until(lambda: signals.signal(instance.key, 0.0) is Signal.LEAVING)

    run_with_gateway(scenario)


def test_a_rejected_order_may_request_back_off() -> None:
    """A rejected order counts as a rejected request does."""

    async def scenario(harness: Harness) -> None:
        instance = await _start(harness, OrderedServer(ORDER, {"Retry-After": "30"}))
        assert harness.node is not None
        context = harness.node.context
        await harness.until(lambda: context.signal_monitor.is_backing_off(instance))

    run_with_gateway(scenario)


def test_a_limit_in_a_report_is_applied_and_its_absence_lifts_none() -> None:
    """Each answer to a request states whether there is a limit; a report need not."""

    async def scenario(harness: Harness) -> None:
        ordered = OrderedServer(REPORT, {"Server-Limit": "2"})
        instance = await _start(harness, ordered)
        assert harness.node is not None
        signals = harness.node.context.server_signals
        await harness.until(lambda: signals.per_second(instance.key) == 2.0)
        asked = len(ordered.calls)
        await harness.until(lambda: ORDER in ordered.calls[asked:])
        assert signals.per_second(instance.key) == 2.0

    run_with_gateway(scenario)


def test_signals_of_another_incarnation_are_ignored() -> None:
    """A report doesn't name its server; only the start time identifies the incarnation."""

    async def scenario(harness: Harness) -> None:
        ordered = OrderedServer(REPORT, {"Server-Leaving": "1"}, born=BORN - 5)
        instance = await _start(harness, ordered)
        assert harness.node is not None
        await harness.until(lambda: ordered.calls.count(REPORT) >= 2)
        assert harness.node.context.server_signals.record(instance.key) is None

    run_with_gateway(scenario)
