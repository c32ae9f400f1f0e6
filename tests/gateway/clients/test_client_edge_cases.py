"""Slow, silent, half-closed and too many client connections, also during a stop of the gateway."""

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


def test_silent_clients_do_not_delay_a_stop() -> None:
    """Hundreds of connections without a request; another client is served during the stop."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start(GraceS=GRACE_SECONDS)
        assert harness.node is not None
        silent = [open_socket(harness.node.frontend_address) for _ in range(SILENT_CLIENTS)]
        client = await harness.client()
        stop = asyncio.create_task(harness.node.stop())
        assert (await client.ask("/safe/", "beside")).status == 200
        await stop
        # A stop that waited for these clients would exceed the time limit of the harness.
        for sock in silent:
            sock.close()

    run_with_gateway(scenario)


async def stream_without_end(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Streams more data than all buffers between server and client hold."""
    writer.write(stream_head(request))
    for number in range(1, MANY_EVENTS + 1):
        writer.write(chunk(b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES)))
        await asyncio.sleep(0.001)
    await asyncio.sleep(30)


def test_client_that_never_reads_does_not_delay_a_stop() -> None:
    """Its stream fills all buffers; the gateway stops in time, and other clients are served."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("engine-1", "engine", stream_without_end, version=1)
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start(GraceS=GRACE_SECONDS)
        assert harness.node is not None
        non_reading = open_socket(harness.node.frontend_address)
        non_reading.sendall(Client.request_bytes("/single/", "deaf", **PROMPT))
        await harness.until(lambda: bool(harness.servers["engine-1"].received))
        stop = asyncio.create_task(harness.node.stop())
        assert (await (await harness.client()).ask("/safe/", "beside")).status == 200
        await stop
        # A stop that waited for these clients would exceed the time limit of the harness.
        non_reading.close()

    run_with_gateway(scenario)


def test_half_close_of_a_client_counts_as_a_disconnect() -> None:
    """Work for a client that may have disconnected is aborted."""

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


def test_client_resets_do_not_affect_other_clients() -> None:
    """Clients reset before, during and after a request, while another client is served."""

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
    """Repeated signals cause one planned stop with exit code 0, and requests are still served."""

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


def test_suspended_stop_ends_by_its_first_signal(tmp_path: Path) -> None:
    """The process is suspended from just after the signal until past the step that refuses."""

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
    """Connections beyond the limit are closed; open ones and later ones get answers."""

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
    """Whether a new connection gets a successful answer."""
    try:
        client = await Client.connect(address)
        client.send("/safe/", "after")
        got = await client.read_answer()
    except OSError:
        return False
    client.close()
    return got is not None and got.status == 200


def test_pipelined_request_with_expect_continue() -> None:
    """A pipelined request with Expect: 100-continue gets its 100 in its turn, or needs none.

    The timeouts end the request otherwise.
    """

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
