"""Clients and kernels as they are: slow, silent, half-closed, too many; and stops beside them."""

from __future__ import annotations

import asyncio
import resource
import signal
import socket
from pathlib import Path

from gateway_behaviours import PROMPT
from gateway_harness import Harness, run_with_gateway
from gateway_process import GatewayProcess, run_with_process
from gateway_standin import (
    Client,
    ReceivedRequest,
    StandinServer,
    chunk,
    configuration,
    open_socket,
    serve_whole,
    stream_head,
)

GRACE_SECONDS = 5.0
SILENT_CLIENTS = 300
MANY_EVENTS = 400
EVENT_BYTES = 4000


def test_silent_clients_hold_no_stop_and_take_no_answer() -> None:
    """Hundreds of connections without a request; another client is served in the stop."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start(GraceS=GRACE_SECONDS)
        assert harness.node is not None
        silent = [open_socket(harness.node.frontend_address) for _ in range(SILENT_CLIENTS)]
        client = await harness.client()
        stop = asyncio.create_task(harness.node.stop())
        assert (await client.ask("/safe/", "beside")).status == 200
        await stop
        # The harness bounds the scenario: a stop that waited for them would never end.
        for sock in silent:
            sock.close()

    run_with_gateway(scenario)


async def stream_without_end(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """More than any buffer between takes."""
    writer.write(stream_head(request))
    for number in range(1, MANY_EVENTS + 1):
        writer.write(chunk(b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES)))
        await asyncio.sleep(0.001)
    await asyncio.sleep(30)


def test_a_client_that_never_reads_holds_no_stop() -> None:
    """Its stream fills all buffers; the gateway ends in its time, and others were served."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("engine-1", "engine", stream_without_end, version=1)
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start(GraceS=GRACE_SECONDS)
        assert harness.node is not None
        deaf = open_socket(harness.node.frontend_address)
        deaf.sendall(Client.request_bytes("/single/", "deaf", **PROMPT))
        await harness.until(lambda: bool(harness.servers["engine-1"].received))
        stop = asyncio.create_task(harness.node.stop())
        assert (await (await harness.client()).ask("/safe/", "beside")).status == 200
        await stop
        # The harness bounds the scenario: a stop that waited for them would never end.
        deaf.close()

    run_with_gateway(scenario)


def test_the_end_of_a_clients_direction_is_taken_for_its_leaving() -> None:
    """Work for a client that may be gone isn't carried on; the next client is served."""

    async def held(_: StandinServer, __: ReceivedRequest, ___: asyncio.StreamWriter) -> None:
        await asyncio.sleep(30)

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", held)
        await harness.start()
        assert harness.node is not None
        sock = open_socket(harness.node.frontend_address)
        sock.sendall(Client.request_bytes("/held/", "half"))
        await harness.until(lambda: bool(server.received))
        sock.shutdown(socket.SHUT_WR)
        await harness.until(lambda: bool(server.closed))
        sock.close()

    run_with_gateway(scenario)


def test_a_client_that_resets_takes_nothing_from_others() -> None:
    """Resets before, in and after a request, beside a client that is served each time."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        client = await harness.client()
        whole = Client.request_bytes("/safe/", "reset")
        for number, sent in enumerate((b"", whole[:40], whole[:-2], whole, whole * 3) * 4):
            sock = open_socket(harness.node.frontend_address)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            sock.sendall(sent)
            sock.close()
            assert (await client.ask("/safe/", f"beside-{number}")).status == 200

    run_with_gateway(scenario)


def test_signals_in_series_during_a_stop(tmp_path: Path) -> None:
    """SIGHUP and SIGTERM again: one planned stop, exit code 0, and what comes is served."""

    async def scenario(harness: Harness, gateway: GatewayProcess, _: Path) -> None:
        started = await gateway.wait_for("started")
        await gateway.wait_for("instances-listed")
        client = await Client.connect(str(started["frontend"]))
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.wait_for("stopping")
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            gateway.process.send_signal(number)
            await asyncio.sleep(0.02)
        assert (await client.ask("/safe/", "in-the-stop")).status == 200
        await gateway.wait_for("stopped")
        assert await asyncio.to_thread(gateway.process.wait, 8.0) == 0

    run_with_process(tmp_path, scenario)


def test_a_stop_that_is_held_ends_by_its_first_signal(tmp_path: Path) -> None:
    """The process stands still from just after the signal until past the step that refuses."""

    async def scenario(harness: Harness, gateway: GatewayProcess, _: Path) -> None:
        started = await gateway.wait_for("started")
        await gateway.wait_for("instances-listed")
        sock = open_socket(str(started["frontend"]))
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.wait_for("stopping")
        gateway.process.send_signal(signal.SIGSTOP)
        sock.sendall(Client.request_bytes("/safe/", "while-it-stood-still"))
        await asyncio.sleep(4.0)
        gateway.process.send_signal(signal.SIGCONT)
        client = Client(*await asyncio.open_connection(sock=sock))
        got = await client.read_answer()
        assert got is not None and got.status in (200, 503)
        await gateway.wait_for("stopped")

    run_with_process(tmp_path, scenario)


def test_descriptors_at_their_limit(tmp_path: Path) -> None:
    """Connections beyond the limit are closed; those that stand are served, and new ones after."""

    async def scenario(harness: Harness, gateway: GatewayProcess, _: Path) -> None:
        started = await gateway.wait_for("started")
        await gateway.wait_for("instances-listed")
        kept = await Client.connect(str(started["frontend"]))
        assert (await kept.ask("/safe/", "before")).status == 200
        in_use = len(list(Path(f"/proc/{gateway.process.pid}/fd").iterdir()))
        limit = (in_use + 20, in_use + 20)
        resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE, limit)
        crowd = [open_socket(str(started["frontend"])) for _ in range(60)]
        assert (await kept.ask("/safe/", "beside")).status in (200, 503)
        for sock in crowd:
            sock.close()
        async with asyncio.timeout(8.0):
            while not await is_served(str(started["frontend"])):
                await asyncio.sleep(0.05)

    run_with_process(tmp_path, scenario)


async def is_served(address: str) -> bool:
    """Whether a new connection gets an answer."""
    try:
        client = await Client.connect(address)
        client.send("/safe/", "after")
        got = await client.read_answer()
    except OSError:
        return False
    client.close()
    return got is not None and got.status == 200


def test_a_request_ahead_that_waits_for_leave_to_send_its_body() -> None:
    """100-continue behind another request: the leave comes when it is this one's turn, or never
    is needed; the bound on time ends it otherwise."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        limits = {**configuration()["Limits"], "HeaderTimeoutMs": 4000, "IdleTimeoutMs": 4000}
        harness.store.put("config", "main", configuration(Limits=limits))
        await harness.start_gateway()
        await harness.until(harness.is_ready)
        client = await harness.client()
        waiting = Client.request_bytes("/safe/", "second", Expect="100-continue")
        client.writer.write(Client.request_bytes("/safe/", "first") + waiting[:-4])
        first = await client.read_answer()
        assert first is not None and first.status == 200
        client.writer.write(b"body")
        second = await client.read_answer()
        assert second is not None and second.status in (100, 200)

    run_with_gateway(scenario)
