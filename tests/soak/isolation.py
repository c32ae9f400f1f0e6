"""Soaks of isolation: `python3 tests/soak/isolation.py [--seeds FIRST:LAST] [--seconds N]`.

Tenants become isolated, share again, are removed and come back, while requests run and gateways are
killed, stopped and suspended, also all of them at once. Servers keep prompt parts by salt and know
whose request made each. Prints one JSON line per seed; the exit code is 1 if a request used a part
of another tenant although every configuration that might be in force isolated either of the two.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from gateway_standin import Client, ReceivedRequest, answer, chunk, event
from prompt_memory import PromptMemory
from soak.gateway_faults import disturb_gateways, running_world
from soak.seeds import Report, run_fleet_soak
from soak.server import SoakServer
from soak.world import BOUNDS, DEFAULT_GATEWAYS, TENANTS, SoakWorld

CLIENTS = 16
EVENTS = 4
EVENT_SECONDS = (0.005, 0.05)
DEADLINE_SECONDS = 4.0
PAUSE_SECONDS = (0.0, 0.05)
CHANGE_SECONDS = (0.3, 5.5)
"""Range of the time between two configurations. Only after `IN_FORCE_SECONDS` without a change is
it certain which one is in force."""
IN_FORCE_SECONDS = BOUNDS["RevokeMs"] / 1000
"""A gateway that can't verify keys by then refuses requests, so that none runs under an older
configuration."""
ALL_KILLED_SECONDS = (3.0, 6.0)
MIN_SERVED = 100
"""Fewer served requests say nothing about isolation."""
SHARED_PARTS = ("5c1e07a2:40", "91bd3f06:30")


class IsolationHistory:
    """Which tenants each configuration of a soak isolates, by the time it was acknowledged."""

    def __init__(self) -> None:
        self._configurations: list[tuple[float, frozenset[str]]] = []

    def add(self, isolated: frozenset[str]) -> None:
        """The store has just acknowledged a configuration."""
        self._configurations.append((time.monotonic(), isolated))

    def is_isolated(self, tenant: str) -> bool:
        """Whether all configurations that may be in force now isolate a tenant."""
        now = time.monotonic()
        ends = [at for at, _ in self._configurations[1:]] + [now]
        return all(
            tenant in isolated
            for (_, isolated), ended_at in zip(self._configurations, ends, strict=True)
            if now - ended_at <= IN_FORCE_SECONDS
        )


class IsolationWorld:
    """A soak's processes, and the prompt parts that its servers keep."""

    def __init__(self, world: SoakWorld) -> None:
        self.world = world
        self.random = world.random
        self.history = IsolationHistory()
        self.counts: Counter[str] = Counter()
        self.memories: list[PromptMemory] = []
        self.removed: dict[str, str] = {}
        """Keys of tenants that the configuration doesn't name now, with the tenants."""
        world.new_server = self._new_server

    def _new_server(self, *given: Any) -> SoakServer:
        memory = PromptMemory(self.history.is_isolated)
        self.memories.append(memory)
        return MemoryServer(*given, memory=memory)

    def put_configuration(self) -> None:
        """Write the next configuration, with the tenants as they are now."""
        self.world.put_configuration()
        self.history.add(self.world.isolated & frozenset(self.world.keys.values()))

    async def change_isolation(self) -> None:
        """Isolate, share, remove and bring back tenants, one at a time, until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(*CHANGE_SECONDS))
            drawn = self.random.random()
            if drawn < 0.2 and len(self.world.keys) > 2:
                key = self.random.choice(list(self.world.keys))
                self.removed[key] = self.world.keys.pop(key)
            elif drawn < 0.4 and self.removed:
                key = self.random.choice(list(self.removed))
                self.world.keys[key] = self.removed.pop(key)
            else:
                self.world.isolated ^= {self.random.choice(sorted(TENANTS.values()))}
            self.counts["changes"] += 1
            self.put_configuration()

    async def kill_all_gateways(self) -> None:
        """Kill all gateways at once, again and again, until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(*ALL_KILLED_SECONDS))
            self.counts["all-killed"] += 1
            for gateway in self.world.gateways:
                gateway.send(signal.SIGKILL)

    async def run_client(self, client: int) -> None:
        """Send one request after the other, of tenants in turn, until the soak ends."""
        number = 0
        keys = list(TENANTS)
        while not self.world.ended:
            number += 1
            await self._ask(f"i-{client}-{number}", keys[(client + number) % len(keys)])
            await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))

    async def _ask(self, request_id: str, key: str) -> None:
        own_part = f"{self.random.randrange(1 << 32):08x}:10"
        fields = {
            "Model": "model-1",
            "Token_Usage": "80,8",
            "Prompt_Prefix": ",".join((*SHARED_PARTS, own_part)),
            "Deadline_Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 1.0):
                client = await Client.connect(self.random.choice(self.world.gateways).frontend)
                try:
                    got = await client.ask("/stream/", request_id, key=key, **fields)
                finally:
                    client.close()
        except (OSError, TimeoutError, AssertionError):
            self.counts["failed"] += 1
            return
        self.counts[str(got.status) if got.whole else "cut"] += 1

    def violations(self) -> list[str]:
        """Uses of memory across an isolation, and a soak that shows nothing."""
        found = [f"isolation: {text}" for memory in self.memories for text in memory.violations]
        if self.counts["200"] < MIN_SERVED:
            found.append(f"soak: only {self.counts['200']} requests were served")
        return found


class MemoryServer(SoakServer):
    """A model server that keeps prompt parts, and breaks off some streams."""

    def __init__(self, *given: Any, memory: PromptMemory) -> None:
        super().__init__(*given)
        self._memory = memory

    async def _run(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        if "prompt-prefix" in request.headers:
            self._memory.run(request)
        fields = {
            "Request-Id": request.request_id,
            "Server-Signature": "s",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(answer(200, b"", fields, length=False))
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(self.random.uniform(*EVENT_SECONDS))
            if self._happens(self.fault_rates.truncate):
                writer.transport.abort()
                return
            writer.write(chunk(event(number)))
        writer.write(b"0\r\n\r\n")


async def isolation_soak(seed: int, folder: Path, seconds: float, gateways: int) -> Report:
    """Run one seed and return its report."""
    world = SoakWorld(seed, folder, gateways)
    soak = IsolationWorld(world)
    world.isolated = frozenset()
    soak.history.add(world.isolated)
    async with running_world(world) as background:
        for server in world.servers.values():
            server.fault_rates.truncate = 0.05
        clients = [asyncio.create_task(soak.run_client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(1.0)
        work = (soak.change_isolation(), disturb_gateways(world), soak.kill_all_gateways())
        faults = [asyncio.create_task(item) for item in work]
        await asyncio.sleep(seconds)
        for task in faults:
            task.cancel()
        await asyncio.gather(*faults, return_exceptions=True)
        await asyncio.sleep(IN_FORCE_SECONDS)
        world.check_own_tasks([*background, *clients])
    return {
        "seed": seed,
        "counts": dict(sorted(soak.counts.items())),
        "shared_reads": sum(memory.shared_reads for memory in soak.memories),
        "starts": sum(gateway.starts for gateway in world.gateways),
        "violations": [*soak.violations()[:10], *world.ledger.violations[:5]],
    }


if __name__ == "__main__":
    sys.exit(run_fleet_soak(__doc__, DEFAULT_GATEWAYS, isolation_soak))
