"""A store of KV cache in trouble takes all gateways over their memory at once."""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path

import rig
from rig import (
    BOUNDS,
    BROKEN,
    ENGINES,
    HELD,
    HOST,
    LIMITS,
    PLAIN,
    Client,
    Gateway,
    Record,
    Server,
    Store,
)

MEMORY_BYTES = LIMITS["MemoryMb"] * 1024 * 1024
"""A process that goes over it is killed; the larger reading of `MemoryMb`."""
CHECK_SECONDS = 0.02
RESTART_SECONDS = 0.5
ENDS = 3
"""So often must the processes of each machine end by themselves."""
TROUBLE_SECONDS = 5.5
"""How long the store is in trouble at a time (`garble` on the site's sheet)."""
PAUSE_SECONDS = 4.0
MAX_SECONDS = 100.0
MAX_CALM_SECONDS = 60.0
CHUNK_BYTES = 4
PIECE = (b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n") * (64 * 1024 // (CHUNK_BYTES + 5))
VALVE_RATE = 0.5
"""Plain requests a second at one machine."""


class Case:
    """A deployment of three machines whose memory the platform watches."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.servers: list[Server] = []
        self.ends: dict[str, int] = {}
        self.peaks: dict[str, int] = {}
        self.is_trouble = False
        self.endless = 0
        self.answers: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> int:
        """Play times of trouble until the rule is broken, or the time is over."""
        await self.store.start()
        port = rig.free_ports(1)
        cache_store = await asyncio.start_server(self._serve_cache, HOST, port)
        configuration = rig.configuration()
        configuration["Services"].append(
            {
                "Name": "wuno96b",
                "KvStoreAddr": f"{HOST}:{port}",
                "Zone": "split-b",
                "KvCapacity": 635402,
                "LinkMbps": 25000.0,
                "MaxInFlight": 12,
            }
        )
        self.store.put("config", "main", configuration)
        self.store.put("versions", rig.MODEL, {"Model": rig.MODEL, "Version": 1})
        for number in range(5):
            service, version = (ENGINES, 1) if number < 3 else (PLAIN, None)
            server = Server(f"i-{number:04d}", service, self.record, version=version)
            await server.start()
            self.store.put("servers", server.name, server.entry())
            self.servers.append(server)
        for zone in ("split-a", "split-b", "kastela"):
            gateway = Gateway(
                f"front-{zone}-1",
                zone,
                self.store.address,
                self.folder,
                self.record,
                BOUNDS,
                LIMITS,
            )
            self.gateways.append(gateway)
            self.ends[gateway.name] = self.peaks[gateway.name] = 0
            gateway.start()
        try:
            self._spawn(rig.beat(self.store, self.servers))
            await rig.wait_ready(self.gateways)
            for gateway in self.gateways:
                self._spawn(self._watch_memory(gateway))
                self._spawn(self._send_requests(gateway))
            bound = MAX_SECONDS if rig.TROUBLE else MAX_CALM_SECONDS
            while rig.now() < bound and not self._is_broken():
                await asyncio.sleep(PAUSE_SECONDS)
                self.is_trouble = rig.TROUBLE
                self.record.write("store-in-trouble", on=self.is_trouble)
                await asyncio.sleep(TROUBLE_SECONDS)
                self.is_trouble = False
                self.record.write("store-in-trouble", on=False)
            self.record.write(
                "result",
                ends=self.ends,
                peaks=self.peaks,
                endless=self.endless,
                answers=self.answers,
            )
            shown = {name: f"{peak / 1e6:.0f} MB" for name, peak in self.peaks.items()}
            print(
                f"ended by themselves: {self.ends}; peak memory: {shown}; replies without end: "
                f"{self.endless}; clients' requests: {self.answers}"
            )
            return BROKEN if self._is_broken() else HELD
        finally:
            for task in self.tasks:
                task.cancel()
            for gateway in self.gateways:
                gateway.kill()
            for server in self.servers:
                server.close()
            cache_store.close()
            self.store.close()

    def _spawn(self, work) -> None:
        self.tasks.add(asyncio.create_task(work))

    def _is_broken(self) -> bool:
        return all(ends >= ENDS for ends in self.ends.values())

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

    # -- the store of KV cache ------------------------------------------------------------------

    async def _serve_cache(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer calls for events, in trouble with bytes without end."""
        try:
            while (request := await rig.read_request(reader)) is not None:
                headers = {"Content-Type": "application/json"}
                if not self.is_trouble:
                    wait = int(request.headers.get("wait-ms", "0")) / 1000
                    await asyncio.sleep(min(wait, 1.0))
                    page = {"BootEpoch": 77120, "NextToken": 1, "Lost": False, "Events": []}
                    writer.write(rig.encode_answer(200, headers, json.dumps(page).encode()))
                    continue
                self.endless += 1
                self.record.write("endless", call=request.target)
                chunked = {**headers, "Transfer-Encoding": "chunked"}
                writer.write(rig.encode_answer(200, chunked, None))
                sent = 0
                try:
                    while True:
                        writer.write(PIECE)
                        sent += len(PIECE)
                        await writer.drain()
                finally:
                    self.record.write("endless-closed", call=request.target, bytes=sent)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    # -- clients --------------------------------------------------------------------------------

    async def _send_requests(self, gateway: Gateway) -> None:
        while True:
            await asyncio.sleep(random.expovariate(VALVE_RATE))
            self._spawn(self._ask(gateway))

    async def _ask(self, gateway: Gateway) -> None:
        headers = rig.request_headers(3000, False)
        began_at = time.monotonic()
        outcome = "no-connection"
        try:
            async with asyncio.timeout(3.0):
                client = await Client.connect(gateway.frontend)
                try:
                    answer = await client.ask("GET", "/valve/2f", headers)
                finally:
                    client.close()
            outcome = "closed" if answer is None else str(answer.status)
        except TimeoutError:
            outcome = "no-answer"
        except OSError:
            pass
        self.answers[outcome] = self.answers.get(outcome, 0) + 1
        self.record.write(
            "request",
            at=gateway.name,
            id=headers["Request-Id"],
            outcome=outcome,
            seconds=round(time.monotonic() - began_at, 3),
        )


async def case(record: Record, folder: Path) -> int:
    """Run the case."""
    return await Case(record, folder).run()


if __name__ == "__main__":
    rig.run_case(Path(__file__).resolve().parent, case, 118.0)
