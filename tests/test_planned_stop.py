"""A planned stop answers what has reached the machine, also what the process hasn't read yet.

Clients of a gateway that was stopped in a planned way got a reset in place of an answer. Their
connection had come up and their request was written whole, most of them on a connection that was
just opened; no server saw them and the gateway logged nothing. It took each connection without a
request that it had read for idle, and closed it; what stood in the kernel, at the listener or on a
kept connection, was never looked at. The busier the machine, the more of them there were: 3 in 18
stops on a calm machine, 12 in 13 stops on a busy one. These lines settled it, in the millisecond
of a client's reset:

    {"node": "front-1", "unread": 201, "stopping": true, "event": "closed-unread", ...}
    {"id": "p-9-622", "gateway": "front-1", "end": "nothing", "position": 0, "waited": 0.002, ...}
"""

from __future__ import annotations

import asyncio
import socket
import time

from gateway_harness import Harness, run_with_gateway
from gateway_standin import Client, serve_whole

GRACE_MS = 2500
"""The stop refuses new work after two fifths of it."""
WHOLE_ANSWERS = (200, 503)
"""Served, or refused with the promise that it has not run: both are whole answers."""


def request_bytes(request_id: str) -> bytes:
    """A whole request as it goes over the wire."""
    return (
        f"POST /safe/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {request_id}\r\n"
        "Api-Key: key-1\r\nContent-Length: 4\r\n\r\nbody"
    ).encode()


def open_socket(address: str) -> socket.socket:
    """A connection that comes up in the kernel, whatever the gateway's event loop does."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


async def until_readable(sock: socket.socket) -> None:
    """Wait for bytes without taking them."""
    readable = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_reader(sock.fileno(), readable.set)
    await readable.wait()
    loop.remove_reader(sock.fileno())


async def answer_of(sock: socket.socket) -> int:
    """Status of the next answer; 0 when the connection ends without one."""
    sock.setblocking(False)
    client = Client(*await asyncio.open_connection(sock=sock))
    got = await client.read_answer()
    client.close()
    return got.status if got is not None and got.whole else 0


def hold_loop_until(moment: float) -> None:
    """Keep the event loop from running, as a starved machine does."""
    while time.monotonic() < moment:
        pass


class StoppingGateway:
    """A gateway in a planned stop, and the moment at which it begins to refuse."""

    def __init__(self, harness: Harness) -> None:
        assert harness.node is not None
        self.address = harness.node.frontend_address
        began_at = time.monotonic()
        self.task = asyncio.create_task(harness.node.stop())
        self.refuses_at = began_at + 0.4 * GRACE_MS / 1000


async def stopping_gateway(harness: Harness) -> StoppingGateway:
    """A gateway shortly before it begins to refuse."""
    gateway = StoppingGateway(harness)
    await asyncio.sleep(0.4 * GRACE_MS / 1000 - 0.2)
    return gateway


async def start(harness: Harness) -> None:
    """One gateway before one server."""
    await harness.add_server("app-1", "app", serve_whole)
    await harness.start(GraceS=GRACE_MS / 1000)


def test_requests_that_wait_at_the_listener_are_answered() -> None:
    """Connections come up, and requests are written, while the loop is held past the refusal."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        gateway = await stopping_gateway(harness)
        socks = [open_socket(gateway.address) for _ in range(5)]
        for number, sock in enumerate(socks):
            sock.sendall(request_bytes(f"waiting-{number}"))
        hold_loop_until(gateway.refuses_at + 0.05)
        statuses = [await answer_of(sock) for sock in socks]
        assert all(status in WHOLE_ANSWERS for status in statuses), statuses
        await gateway.task

    run_with_gateway(scenario)


def test_a_kept_connection_with_an_unread_request_is_not_idle() -> None:
    """The next request of a kept connection stands in the kernel when the stop looks at it."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        assert harness.node is not None
        kept = open_socket(harness.node.frontend_address)
        kept.sendall(request_bytes("first"))
        await until_readable(kept)
        assert kept.recv(4096).startswith(b"HTTP/1.1 200")
        gateway = await stopping_gateway(harness)
        # Due just before the stop's own timer, so that the loop runs both before it reads.
        loop = asyncio.get_running_loop()
        moment = gateway.refuses_at - 0.02 - time.monotonic()
        loop.call_later(moment, kept.sendall, request_bytes("second"))
        hold_loop_until(gateway.refuses_at + 0.05)
        assert await answer_of(kept) in WHOLE_ANSWERS
        await gateway.task

    run_with_gateway(scenario)


def test_a_connection_that_has_just_come_up_gets_its_first_request_answered() -> None:
    """Its request follows 50 ms after the stop has begun to refuse."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        gateway = await stopping_gateway(harness)
        sock = open_socket(gateway.address)
        await asyncio.sleep(gateway.refuses_at + 0.05 - time.monotonic())
        sock.sendall(request_bytes("late"))
        assert await answer_of(sock) in WHOLE_ANSWERS
        await gateway.task

    run_with_gateway(scenario)
