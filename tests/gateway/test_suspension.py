"""Machines that sleep: the steady clock stands still meanwhile, and what ends by time ends anyway.

A suspended machine goes on with the next instruction after it wakes. By its steady clock no time
has passed, so whatever is kept by that clock (the proof that keys still hold, a lease, a deadline,
the idle time of a connection) looks as fresh as before the sleep. The clock that counts suspension
shows the truth with its first reading.
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
LONG_SECONDS = 60.0


class SleepingMachine:
    """A machine whose suspensions only the clock that counts them shows."""

    def __init__(self) -> None:
        self.slept = 0.0
        self._read = time.clock_gettime

    def suspend(self, seconds: float) -> None:
        """Sleep; nothing but clocks shows it."""
        self.slept += seconds

    def read(self, clock: int) -> float:
        """In the place of `time.clock_gettime`."""
        counts = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self._read(clock) + (self.slept if counts else 0.0)


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> Iterator[SleepingMachine]:
    """The machine that the gateway of a test runs on."""
    sleeping = SleepingMachine()
    monkeypatch.setattr(time, "clock_gettime", sleeping.read)
    yield sleeping


def test_keys_are_not_trusted_after_a_sleep(machine: SleepingMachine) -> None:
    """They may have been revoked meanwhile, and the store says nothing."""

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


def _patient_configuration() -> dict[str, object]:
    """Routes that wait for a minute."""
    document = configuration()
    for route in document["Routes"]:
        route["TimeoutMs"] = LONG_SECONDS * 1000
    return document


def test_a_request_whose_time_ran_out_in_a_sleep_ends_at_the_wake(machine: SleepingMachine) -> None:
    """Its timer stood still with the steady clock."""

    async def scenario(harness: Harness) -> None:
        begun = asyncio.Event()

        async def never(_: StandinServer, __: ReceivedRequest, ___: asyncio.StreamWriter) -> None:
            begun.set()
            await asyncio.Event().wait()

        await harness.add_server("app-1", "app", never)
        await harness.start()
        harness.store.put("config", "main", {**_patient_configuration(), "Version": 2})
        context = harness.node.context if harness.node is not None else None
        assert context is not None
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 2
        )
        client = await harness.client()
        client.send("/unsafe/", "slow", Deadline_Ms=str(int(LONG_SECONDS * 1000)))
        await begun.wait()
        machine.suspend(LONG_SECONDS + 1.0)
        async with asyncio.timeout(LONG_SECONDS / 6):
            got = await client.read_answer()
        assert got is not None and got.status == 504

    run_with_gateway(scenario)


def test_a_repeat_after_a_sleep_gets_what_is_left_of_the_time(machine: SleepingMachine) -> None:
    """A server must not work on for a client that has left."""

    async def scenario(harness: Harness) -> None:
        async def sleep_then_reset(
            server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            if machine.slept == 0.0:
                machine.suspend(1.5)
                await reset(server, request, writer)
                return
            await serve_whole(server, request, writer)

        for number in (1, 2):
            await harness.add_server(f"app-{number}", "app", sleep_then_reset)
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


def test_a_connection_that_was_idle_in_a_sleep_is_not_used_again(machine: SleepingMachine) -> None:
    """Its server has closed it, or is about to."""

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


def test_an_order_is_not_sent_once_its_lease_has_ended(machine: SleepingMachine) -> None:
    """Not even when it only waited for a connection."""

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


def test_a_sleep_is_said_in_one_line(
    machine: SleepingMachine, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With its length, and how old the proof of the configuration is now."""

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


STEADY_CLOCK = re.compile(r"\.time\(\)|time\.monotonic|\bcall_at\(|perf_counter")
PLACES_WITH_OTHER_TIME = ("simulation", "experiments", "benchmarks", "memory_network.py")
"""Virtual time, and measurements of the code itself."""


def test_no_source_reads_the_steady_clock() -> None:
    """Nothing that ends by time may stand still with it; only `runtime/clock.py` reads clocks."""
    found = [
        f"{path.relative_to(SOURCES)}:{number}"
        for path in sorted(SOURCES.rglob("*.py"))
        if not any(place in path.parts for place in PLACES_WITH_OTHER_TIME)
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if STEADY_CLOCK.search(line) and path.name != "clock.py"
    ]
    assert found == []
