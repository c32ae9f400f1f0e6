"""One number in a client's request ends the process that serves it; not one of the cases."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import rig
from rig import BOUNDS, BROKEN, ENGINES, HELD, LIMITS, PLAIN, Client, Gateway, Record, Server, Store

RESTART_SECONDS = 0.5
ENDS = 3
"""So often must the processes of each of two machines end by themselves."""
ODD_USAGE = "99999999999999999999,80"
"""A prompt of 10^20 tokens, more than 64 bits hold."""
PAUSE_SECONDS = 4.0
MAX_SECONDS = 75.0
VALVE_RATE = 2.0
"""Plain requests a second at one machine, by clients that behave."""


class Case:
    """A deployment of two machines whose processes the platform starts again."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.servers: list[Server] = []
        self.ends: dict[str, int] = {}
        self.codes: set[int | None] = set()
        self.answers: dict[str, int] = {}
        self.odd = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> int:
        """Send a request to each machine every few seconds, until the rule is broken."""
        await self.store.start()
        self.store.put("config", "main", rig.configuration())
        self.store.put("versions", rig.MODEL, {"Model": rig.MODEL, "Version": 1})
        for number in range(6):
            service, version = (ENGINES, 1) if number < 4 else (PLAIN, None)
            server = Server(f"i-{number:04d}", service, self.record, version=version)
            await server.start()
            self.store.put("servers", server.name, server.entry())
            self.servers.append(server)
        for zone in ("split-a", "split-b"):
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
            self.ends[gateway.name] = 0
            gateway.start()
        try:
            self._spawn(rig.beat(self.store, self.servers))
            await rig.wait_ready(self.gateways)
            for gateway in self.gateways:
                self._spawn(self._start_again(gateway))
                self._spawn(self._send_plain(gateway))
            while rig.now() < MAX_SECONDS and not self._is_broken():
                for gateway in self.gateways:
                    if await gateway.is_ready():
                        self._spawn(self._ask_odd(gateway))
                await asyncio.sleep(PAUSE_SECONDS)
            self.record.write("result", ends=self.ends, codes=self.codes, answers=self.answers)
            print(
                f"ended by themselves: {self.ends}, exit codes {self.codes}; requests with the "
                f"number: {self.odd}; plain requests: {self.answers}"
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

    async def _start_again(self, gateway: Gateway) -> None:
        """A process that has ended is started again after a short delay."""
        while True:
            await asyncio.sleep(0.05)
            if gateway.is_running():
                continue
            assert gateway.process is not None
            self.ends[gateway.name] += 1
            self.codes.add(gateway.process.poll())
            self.record.write("ended", name=gateway.name, code=gateway.process.poll())
            await asyncio.sleep(RESTART_SECONDS)
            gateway.start()

    # -- clients --------------------------------------------------------------------------------

    async def _ask_odd(self, gateway: Gateway) -> None:
        """One request of a client that nobody controls."""
        headers = rig.request_headers(4000, True)
        if rig.TROUBLE:
            headers["Token-Usage"] = ODD_USAGE
        self.odd += 1
        outcome = await self._ask(gateway, "POST", "/leak/2f", headers, b"x" * 600, 4.0)
        self.record.write(
            "odd-request", at=gateway.name, usage=headers["Token-Usage"], outcome=outcome
        )

    async def _send_plain(self, gateway: Gateway) -> None:
        while True:
            await asyncio.sleep(random.expovariate(VALVE_RATE))
            self._spawn(self._ask_plain(gateway))

    async def _ask_plain(self, gateway: Gateway) -> None:
        headers = rig.request_headers(3000, False)
        began_at = time.monotonic()
        outcome = await self._ask(gateway, "GET", "/valve/2f", headers, None, 3.0)
        self.answers[outcome] = self.answers.get(outcome, 0) + 1
        self.record.write(
            "request",
            at=gateway.name,
            id=headers["Request-Id"],
            outcome=outcome,
            seconds=round(time.monotonic() - began_at, 3),
        )

    async def _ask(
        self,
        gateway: Gateway,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        seconds: float,
    ) -> str:
        try:
            async with asyncio.timeout(seconds):
                client = await Client.connect(gateway.frontend)
                try:
                    answer = await client.ask(method, path, headers, body)
                finally:
                    client.close()
        except TimeoutError:
            return "no-answer"
        except OSError:
            return "no-connection"
        return "closed" if answer is None else str(answer.status)


async def case(record: Record, folder: Path) -> int:
    """Run the case."""
    return await Case(record, folder).run()


if __name__ == "__main__":
    rig.run_case(Path(__file__).resolve().parent, case, 118.0)
