"""An event without end in small chunks keeps a gateway from everything else."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path

import rig
from rig import (
    BOUNDS,
    BROKEN,
    ENGINES,
    HELD,
    LIMITS,
    PLAIN,
    Client,
    Gateway,
    Record,
    Request,
    Server,
    Store,
)

TROUBLE_SECONDS = 5.5
"""How long servers are in trouble at a time (`garble` on the site's sheet)."""
PAUSE_SECONDS = 3.0
CONTACT_SECONDS = BOUNDS["ContactMs"] / 1000
MAX_SECONDS = 55.0
CHUNK_BYTES = 4
RATES = {"/leak/": 1.73, "/alarm/": 2.18, "/logger/": 0.98, "/valve/": 0.5}
"""Requests a second at one of eight machines, as on the sheet."""
DEADLINES = {"/leak/": 4.0, "/alarm/": 12.0, "/logger/": 3.0, "/valve/": 3.0}
TIMEOUTS = {"/logger/": 1.5, "/valve/": 1.5}
"""`TimeoutMs` of the routes whose clients wait longer than that, in seconds."""
SLACK_SECONDS = 0.5
PIECE = (b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n") * (64 * 1024 // (CHUNK_BYTES + 5))


@dataclass
class Attempt:
    """One client attempt, as its client saw it."""

    path: str
    gateway: str
    sent_at: float
    answered_at: float = float("inf")
    connected: bool = False


class Case:
    """A deployment of two machines behind the platform's entry."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.servers: list[Server] = []
        self.is_trouble = False
        self.endless = 0
        self.attempts: list[Attempt] = []
        self.out: set[str] = set()
        self.longest_silence = 0.0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> int:
        """Play times of trouble, and judge all requests."""
        await self.store.start()
        self.store.put("config", "main", rig.configuration())
        self.store.put("versions", rig.MODEL, {"Model": rig.MODEL, "Version": 1})
        for number in range(6):
            service, version = (ENGINES, 1) if number < 4 else (PLAIN, None)
            server = Server(f"i-{number:04d}", service, self.record, version=version)
            server.behaviour = self._behave
            await server.start()
            self.store.put("servers", server.name, server.entry())
            self.servers.append(server)
        for name, zone in (("front-split-a-1", "split-a"), ("front-split-b-1", "split-b")):
            gateway = Gateway(
                name, zone, self.store.address, self.folder, self.record, BOUNDS, LIMITS
            )
            self.gateways.append(gateway)
            gateway.start()
        try:
            self._spawn(rig.beat(self.store, self.servers))
            await rig.wait_ready(self.gateways)
            for gateway in self.gateways:
                self._spawn(self._check_ready(gateway))
                for path in RATES:
                    self._spawn(self._send_requests(gateway, path))
            await asyncio.sleep(CONTACT_SECONDS)
            while rig.now() < MAX_SECONDS:
                self.is_trouble = rig.TROUBLE
                self.record.write("servers-in-trouble", on=self.is_trouble)
                await asyncio.sleep(TROUBLE_SECONDS)
                self.is_trouble = False
                self.record.write("servers-in-trouble", on=False)
                await asyncio.sleep(PAUSE_SECONDS)
            await asyncio.sleep(3.0)
            return self._judge()
        finally:
            for task in self.tasks:
                task.cancel()
            for gateway in self.gateways:
                gateway.kill()
            for server in self.servers:
                server.close()
            self.store.close()

    def _spawn(self, work) -> None:
        self.tasks.add(asyncio.create_task(work))

    def _judge(self) -> int:
        """Requests that still lack an answer at their route's time-out, and half a second later."""
        past = late = 0
        for item in self.attempts:
            bound = TIMEOUTS.get(item.path)
            if bound is None or not item.connected:
                continue
            seconds = item.answered_at - item.sent_at
            past += seconds > bound
            late += seconds > bound + SLACK_SECONDS
        self.record.write(
            "result",
            past_timeout=past,
            late=late,
            endless=self.endless,
            attempts=len(self.attempts),
            longest_silence=round(self.longest_silence, 3),
        )
        print(
            f"past TimeoutMs: {past}, half a second later still unanswered: {late}; answers "
            f"without end: {self.endless}; longest silence of a readiness check: "
            f"{self.longest_silence:.1f} s"
        )
        return BROKEN if late >= 8 and late > past / 2 else HELD

    # -- the platform's entry -------------------------------------------------------------------

    async def _check_ready(self, gateway: Gateway) -> None:
        """Ask a node every second; one that misses twice gets no new connections."""
        missed = 0
        while True:
            began_at = time.monotonic()
            is_ready = await gateway.is_ready()
            seconds = time.monotonic() - began_at
            self.longest_silence = max(self.longest_silence, seconds)
            missed = 0 if is_ready else missed + 1
            if missed == 0 and gateway.name in self.out:
                self.out.discard(gateway.name)
                self.record.write("node-in", name=gateway.name)
            elif missed == 2:
                self.out.add(gateway.name)
                self.record.write("node-out", name=gateway.name)
            await asyncio.sleep(max(1.0 - seconds, 0.0))

    def _choose(self, wanted: Gateway) -> Gateway:
        """The node of a client's zone; if it is out, that of another zone; if all are, its own."""
        if wanted.name not in self.out:
            return wanted
        others = [item for item in self.gateways if item.name not in self.out]
        return others[0] if others else wanted

    # -- servers --------------------------------------------------------------------------------

    async def _behave(self, server: Server, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Half of the model servers give an event without end in some answers."""
        is_in_trouble = self.is_trouble and server in self.servers[:2]
        if not is_in_trouble or not request.target.startswith("/leak/"):
            return False
        self.endless += 1
        signed = {
            "Request-Id": request.request_id,
            "Server-Signature": f"sign.{server.name}.{request.request_id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        self.record.write("endless", server=server.name, id=request.request_id)
        writer.write(rig.encode_answer(200, signed, None))
        sent = 0
        try:
            while True:
                writer.write(PIECE)
                sent += len(PIECE)
                await writer.drain()
        finally:
            self.record.write("endless-closed", id=request.request_id, bytes=sent)

    # -- clients --------------------------------------------------------------------------------

    async def _send_requests(self, gateway: Gateway, path: str) -> None:
        while True:
            await asyncio.sleep(random.expovariate(RATES[path]))
            self._spawn(self._ask(self._choose(gateway), path))

    async def _ask(self, gateway: Gateway, path: str) -> None:
        headers = rig.request_headers(round(DEADLINES[path] * 1000), path in ("/leak/", "/alarm/"))
        method, body = ("GET", None) if path == "/valve/" else ("POST", b"x" * 600)
        attempt = Attempt(path, gateway.name, rig.now())
        self.attempts.append(attempt)
        outcome = "no-connection"
        try:
            async with asyncio.timeout(DEADLINES[path]):
                client = await Client.connect(gateway.frontend)
                attempt.connected = True
                outcome = "no-answer"
                try:
                    answer = await client.ask(method, path + "2f", headers, body)
                finally:
                    client.close()
            attempt.answered_at = rig.now()
            outcome = "closed" if answer is None else str(answer.status)
            if answer is not None and not answer.whole:
                outcome = f"{answer.status}-cut"
        except (TimeoutError, OSError):
            pass
        self.record.write(
            "request",
            at=gateway.name,
            path=path,
            id=headers["Request-Id"],
            outcome=outcome,
            sent=round(attempt.sent_at, 3),
            seconds=round(rig.now() - attempt.sent_at, 3),
        )


async def case(record: Record, folder: Path) -> int:
    """Run the case."""
    return await Case(record, folder).run()


if __name__ == "__main__":
    rig.run_case(Path(__file__).resolve().parent, case, 118.0)
