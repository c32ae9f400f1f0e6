"""Answers without end make gateways exceed their memory."""

from __future__ import annotations

import asyncio
import random
import time
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

MEMORY_BYTES = LIMITS["MemoryMb"] * 1024 * 1024
"""A process that goes over it is killed; the larger reading of `MemoryMb`."""
CHECK_SECONDS = 0.02
RESTART_SECONDS = 0.5
ENDS = 3
"""So often must the processes of each of two machines end by themselves."""
TROUBLE_SECONDS = 5.5
"""How long servers are in trouble at a time (`garble` on the site's sheet)."""
PAUSE_SECONDS = 4.0
MAX_SECONDS = 60.0
CHUNK_BYTES = 4
RATES = {"/leak/": 1.73, "/alarm/": 2.18, "/logger/": 0.98, "/valve/": 0.5}
"""Requests a second at one of eight machines, as on the sheet."""
DEADLINES = {"/leak/": 4000, "/alarm/": 12000, "/logger/": 3000, "/valve/": 3000}
PIECE = (b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n") * (64 * 1024 // (CHUNK_BYTES + 5))


class Case:
    """A deployment of two machines whose memory the platform watches."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.servers: list[Server] = []
        self.ends: dict[str, int] = {}
        self.peaks: dict[str, int] = {}
        self.is_trouble = False
        self.running: set[str] = set()
        self.endless = 0
        self.answers: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> int:
        """Play times of trouble until the rule is broken, or the time is over."""
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
            self.ends[name] = self.peaks[name] = 0
            gateway.start()
        try:
            self._spawn(rig.beat(self.store, self.servers))
            await rig.wait_ready(self.gateways)
            for gateway in self.gateways:
                self._spawn(self._watch_memory(gateway))
                for path in RATES:
                    self._spawn(self._send_requests(gateway, path))
            await self._play()
            self.record.write(
                "result",
                ends=self.ends,
                peaks=self.peaks,
                endless=self.endless,
                answers=self.answers,
            )
            shown = {name: f"{peak / 1e6:.0f} MB" for name, peak in self.peaks.items()}
            print(
                f"ended by themselves: {self.ends}; peak memory: {shown}; "
                f"answers without end: {self.endless}"
            )
            return BROKEN if self._is_broken() else HELD
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

    def _is_broken(self) -> bool:
        return all(ends >= ENDS for ends in self.ends.values())

    async def _play(self) -> None:
        while rig.now() < MAX_SECONDS and not self._is_broken():
            await asyncio.sleep(PAUSE_SECONDS)
            self.is_trouble = rig.TROUBLE
            self.record.write("servers-in-trouble", on=self.is_trouble)
            await asyncio.sleep(TROUBLE_SECONDS)
            self.is_trouble = False
            self.record.write("servers-in-trouble", on=False)

    # -- platform -------------------------------------------------------------------------------

    async def _watch_memory(self, gateway: Gateway) -> None:
        """Kill the process when it goes over its memory, and start it again."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            size = gateway.memory_bytes()
            self.peaks[gateway.name] = max(self.peaks[gateway.name], size)
            if gateway.is_running() and size <= MEMORY_BYTES:
                continue
            self.record.write("over-memory", name=gateway.name, bytes=size)
            self.ends[gateway.name] += 1
            gateway.kill()
            await asyncio.sleep(RESTART_SECONDS)
            gateway.start()

    # -- servers --------------------------------------------------------------------------------

    async def _behave(self, server: Server, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Half of the model servers give answers without end to some requests."""
        is_in_trouble = self.is_trouble and server in self.servers[:2]
        if not is_in_trouble or not request.target.startswith("/leak/"):
            return False
        self.endless += 1
        signed = {
            "Request-Id": request.request_id,
            "Server-Signature": f"sign.{server.name}.{request.request_id}",
            "Content-Type": "application/octet-stream",
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
            self._spawn(self._ask(gateway, path))

    async def _ask(self, gateway: Gateway, path: str) -> None:
        is_stream = path in ("/leak/", "/alarm/")
        headers = rig.request_headers(DEADLINES[path], is_stream)
        method, body = ("GET", None) if path == "/valve/" else ("POST", b"x" * 600)
        began_at = time.monotonic()
        outcome = "no-connection"
        try:
            async with asyncio.timeout(DEADLINES[path] / 1000 + 0.5):
                client = await Client.connect(gateway.frontend)
                try:
                    answer = await client.ask(method, path + "2f", headers, body)
                finally:
                    client.close()
            outcome = "closed" if answer is None else str(answer.status)
            if answer is not None and not answer.whole:
                outcome = f"{answer.status}-cut"
        except TimeoutError:
            outcome = "no-answer"
        except OSError:
            pass
        self.answers[outcome] = self.answers.get(outcome, 0) + 1
        self.record.write(
            "request",
            at=gateway.name,
            path=path,
            id=headers["Request-Id"],
            outcome=outcome,
            seconds=round(time.monotonic() - began_at, 3),
        )


async def case(record: Record, folder: Path) -> int:
    """Run the case."""
    return await Case(record, folder).run()


if __name__ == "__main__":
    rig.run_case(Path(__file__).resolve().parent, case, 118.0)
