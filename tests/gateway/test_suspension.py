"""Suspension of the machine: leases, proofs, deadlines and idle times expire during it.

A suspended machine continues with the next instruction when it resumes. CLOCK_MONOTONIC stands
still meanwhile, so what is timed by it (the proof that API keys are still valid, a lease, a
deadline, the idle time of a connection) looks as fresh as before. CLOCK_BOOTTIME counts the
suspension and shows the elapsed time at its first reading.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from gateway_behaviours import reset
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    ReceivedRequest,
    StandinServer,
    configuration,
    serve_whole,
)
from milletcourse.control.lease import LeaseTracker
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.gateway.servers.call_client import Call, CallClient

SOURCES = Path(__file__).parents[2] / "src" / "milletcourse"
LONG_TIMEOUT_SECONDS = 60.0


class SuspendableMachine:
    """Simulates suspensions: only the clocks that count them advance."""

    def __init__(self) -> None:
        self.suspended_seconds = 0.0
        self._read = time.clock_gettime

    def suspend(self, seconds: float) -> None:
        """Simulate a suspension by advancing these clocks."""
        self.suspended_seconds += seconds

    def read(self, clock: int) -> float:
        """Replacement of `time.clock_gettime`."""
        counts = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self._read(clock) + (self.suspended_seconds if counts else 0.0)


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> Iterator[SuspendableMachine]:
    """The simulated machine on which the gateway under test runs."""
    simulated = SuspendableMachine()
    monkeypatch.setattr(time, "clock_gettime", simulated.read)
    yield simulated


def test_keys_are_not_trusted_after_a_suspension(machine: SuspendableMachine) -> None:
    """They may have been revoked meanwhile, and the store does not answer."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start(RevokeMs=5000)
        harness.store.silent = True
        client = await harness.client()
        assert (await client.ask("/safe/", "before")).status == 200
        machine.suspend(5.0)
        got = await client.ask("/safe/", "after")
        assert (got.status, b"configuration-stale" in got.body) == (503, True)
        harness.store.silent = False
        harness.store.reset_connections()
        await harness.until(harness.is_ready)
        assert (await client.ask("/safe/", "later")).status == 200

    run_with_gateway(scenario)


def _long_timeout_configuration() -> dict[str, object]:
    """Routes with a timeout of one minute."""
    document = configuration()
    for route in document["Routes"]:
        route["TimeoutMs"] = LONG_TIMEOUT_SECONDS * 1000
    return document


def test_a_request_whose_deadline_passed_in_a_suspension_ends_at_resume(
    machine: SuspendableMachine,
) -> None:
    """The loop's timer for its deadline stood still with CLOCK_MONOTONIC."""

    async def scenario(harness: Harness) -> None:
        started = asyncio.Event()

        async def never(_: StandinServer, __: ReceivedRequest, ___: asyncio.StreamWriter) -> None:
            started.set()
            await asyncio.Event().wait()

        await harness.add_server("app-1", "app", never)
        await harness.start()
        harness.store.put("config", "main", {**_long_timeout_configuration(), "Version": 2})
        context = harness.node.context if harness.node is not None else None
        assert context is not None
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 2
        )
        client = await harness.client()
        client.send("/unsafe/", "slow", Deadline_Ms=str(int(LONG_TIMEOUT_SECONDS * 1000)))
        await started.wait()
        machine.suspend(LONG_TIMEOUT_SECONDS + 1.0)
        async with asyncio.timeout(LONG_TIMEOUT_SECONDS / 6):
            got = await client.read_answer()
        assert got is not None and got.status == 504

    run_with_gateway(scenario)


def test_a_retry_after_a_suspension_gets_the_remaining_time(machine: SuspendableMachine) -> None:
    """Otherwise the server would work on for a client that has already disconnected."""

    async def scenario(harness: Harness) -> None:
        async def suspend_then_reset(
            server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            if machine.suspended_seconds == 0.0:
                machine.suspend(1.5)
                await reset(server, request, writer)
                return
            await serve_whole(server, request, writer)

        for number in (1, 2):
            await harness.add_server(f"app-{number}", "app", suspend_then_reset)
        await harness.start()
        got = await (await harness.client()).ask("/safe/", "repeated", Deadline_Ms="2500")
        assert got.status == 200
        deadlines = [
            int(request.headers["deadline-ms"])
            for server in harness.servers.values()
            for request in server.received
        ]
        assert len(deadlines) == 2
        assert min(deadlines) <= 1000

    run_with_gateway(scenario)


def test_a_connection_that_was_idle_in_a_suspension_is_not_reused(
    machine: SuspendableMachine,
) -> None:
    """Its server has probably closed it for its idle time."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        for request_id in ("first", "second"):
            assert (await client.ask("/safe/", request_id)).status == 200
        machine.suspend(3.0)
        client = await harness.client()
        assert (await client.ask("/safe/", "third")).status == 200
        first, second, third = (request.connection for request in server.received)
        assert first == second != third

    run_with_gateway(scenario)


def test_an_order_is_not_sent_after_its_lease_has_expired(machine: SuspendableMachine) -> None:
    """Also when the lease expired while the order waited for a connection."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        context = harness.node.context
        lease = LeaseTracker("front-1", duration_seconds=3.0)
        claim = lease.next_claim(context.now())
        assert claim is not None
        lease.on_written(claim, StorePosition(UNKNOWN_ERA, 1), context.now())
        calls = CallClient(context.pool)
        order = Call("POST", "/order", b"{}")

        def is_held() -> bool:
            return lease.is_held(context.now())

        await calls.call(server.address, order, 0.5, is_held)
        assert len(server.received) == 1
        machine.suspend(3.0)
        assert await calls.call(server.address, order, 0.5, is_held) is None
        assert len(server.received) == 1

    run_with_gateway(scenario)


def test_a_suspension_is_logged_once(
    machine: SuspendableMachine, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The line contains its duration and the current age of the configuration's proof."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        lines: list[tuple[str, dict[str, object]]] = []
        log = harness.node.context.log
        monkeypatch.setattr(log, "emit", lambda event, **fields: lines.append((event, fields)))
        machine.suspend(7.0)
        await harness.until(lambda: any(event == "woke" for event, _ in lines))
        await asyncio.sleep(0.6)
        [fields] = [fields for event, fields in lines if event == "woke"]
        assert fields["slept"] == pytest.approx(7.0, abs=0.5)

    run_with_gateway(scenario)


MONOTONIC_CLOCK = re.compile(r"\.time\(\)|time\.monotonic|\bcall_at\(|perf_counter")
EXEMPT_PATHS = ("simulation", "experiments", "benchmarks", "memory_network.py")
"""They use virtual time, or measure the run time of the code itself."""


def test_no_source_reads_the_monotonic_clock() -> None:
    """Timeouts on it would stand still in a suspension; only `runtime/clock.py` reads clocks."""
    found = [
        f"{path.relative_to(SOURCES)}:{number}"
        for path in sorted(SOURCES.rglob("*.py"))
        if not any(exempt in path.parts for exempt in EXEMPT_PATHS)
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if MONOTONIC_CLOCK.search(line) and path.name != "clock.py"
    ]
    assert found == []
