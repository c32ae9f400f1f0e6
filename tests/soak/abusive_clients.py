"""Soaks of clients that ignore all limits: `python3 tests/soak/abusive_clients.py [--seeds N:M]`.

Clients send bodies, chunks, trailers and heads without end, or many large ones, stay connected,
trickle or disconnect, beside ordinary clients, kills, stops, suspensions, reloads and changes of
the limits. Prints one JSON line per seed; the exit code is 1 if a gateway exceeded its memory,
ended or reported an internal error, or if it doesn't serve ordinary clients afterwards.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from client_crowd import BYTES_PER_MEGABYTE, open_descriptors, peak_memory_bytes
from gateway_standin import Client
from soak.abusive_requests import AbusiveRequest, draw_request, pieces
from soak.clients import SoakClient
from soak.gateway_faults import disturb_gateways, end_series, running_world, until_all_have_started
from soak.ledger import SentRequest
from soak.seeds import Report, run_fleet_soak
from soak.world import GatewayProcess, SoakWorld

GATEWAYS = 3
ABUSIVE_CLIENTS = (40, 20, 200)
"""Number of clients, by seed in turn."""
ORDINARY_CLIENTS = 6
MEMORY_MEGABYTES = 120
MAX_DESCRIPTORS_AFTERWARDS = 150
"""Connections to the store, servers and other gateways, and those of the ordinary clients."""
LIMITS = {"MaxBodyBytes": 4_000_000, "MaxHeaderBytes": 4096, "IdleTimeoutMs": 3000}
OTHER_LIMITS = {"MaxBodyBytes": 500_000, "MaxHeaderBytes": 2048, "IdleTimeoutMs": 1500}
CHANGE_SECONDS = (0.5, 2.0)
STAY_SECONDS = (0.0, 4.0)
TRICKLE_SECONDS = 0.2
PAUSE_SECONDS = (0.0, 0.3)
CALM_EVERY = 4
"""Each so many seeds there are no faults of processes beside the clients."""
SETTLE_SECONDS = 20.0
POLL_SECONDS = 0.1
KNOWN_EXIT_CODES = (0, -signal.SIGTERM, -signal.SIGKILL)
"""After SIGTERM, also before the process has installed its handler, and after SIGKILL."""
INTERNAL_ERRORS = ("Traceback", "Exception in callback", "Fatal error", "task-failed")


class AbusiveClient:
    """Opens one connection after the other and sends what no client should."""

    def __init__(self, number: int, world: SoakWorld, source: random.Random) -> None:
        self._number = number
        self._world = world
        self._random = source
        self.kinds: Counter[str] = Counter()

    async def run(self) -> None:
        """Send requests until the soak ends."""
        for count in itertools.count():
            if self._world.ended:
                return
            gateway = self._random.choice(self._world.gateways)
            request = self._draw(f"bad-{self._number}-{count}", gateway)
            self.kinds[request.name] += 1
            try:
                await self._use_connection(gateway, request)
            except OSError:
                # The gateway is down, or has closed the connection.
                pass
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))

    def _draw(self, request_id: str, gateway: GatewayProcess) -> AbusiveRequest:
        key = self._random.choice(self._world.client_keys)
        now = asyncio.get_running_loop().time()
        ids = (request_id, *(f"{request_id}-{number}" for number in range(10)))
        for known in ids:
            self._world.ledger.on_sent(SentRequest(known, now, key, "safe", gateway.name))
        return draw_request(self._random, request_id, key)

    async def _use_connection(self, gateway: GatewayProcess, request: AbusiveRequest) -> None:
        client = await Client.connect(gateway.frontend)
        try:
            async with asyncio.timeout(STAY_SECONDS[1]):
                for piece in pieces(self._random, request.data):
                    client.writer.write(piece)
                    await client.writer.drain()
                await self._stay(client)
        except TimeoutError:
            # The gateway doesn't read what was sent.
            pass
        finally:
            client.close()

    async def _stay(self, client: Client) -> None:
        """Stay connected without sending, or with a byte now and then."""
        seconds = self._random.uniform(*STAY_SECONDS)
        if self._random.random() < 0.5:
            await asyncio.sleep(seconds)
            return
        for _ in range(int(seconds / TRICKLE_SECONDS)):
            client.writer.write(b"x")
            await asyncio.sleep(TRICKLE_SECONDS)


class MemoryWatch:
    """Largest memory of any gateway process, over all restarts."""

    def __init__(self, world: SoakWorld) -> None:
        self.peak_bytes = 0
        self._world = world

    async def run(self) -> None:
        """Look at all processes until cancelled."""
        while True:
            for gateway in self._world.gateways:
                self._look_at(gateway)
            await asyncio.sleep(POLL_SECONDS)

    def _look_at(self, gateway: GatewayProcess) -> None:
        process = gateway.process
        if process is None:
            return
        if process.poll() not in (None, *KNOWN_EXIT_CODES):
            self._world.ledger.violate("process", f"{gateway.name} exited: {process.poll()}")
            return
        try:
            self.peak_bytes = max(self.peak_bytes, peak_memory_bytes(process.pid))
        except (AssertionError, FileNotFoundError, ProcessLookupError):
            # It has ended between the two looks.
            return


async def change_limits(world: SoakWorld) -> None:
    """Change the limits in force, and reload settings, until cancelled."""
    for count in itertools.count():
        await asyncio.sleep(world.random.uniform(*CHANGE_SECONDS))
        world.limits = OTHER_LIMITS if count % 2 else LIMITS
        world.put_configuration()
        gateway = world.random.choice(world.gateways)
        if gateway.has_started():
            # A process that has not installed its handlers yet would end.
            gateway.send(signal.SIGHUP)


async def is_served(world: SoakWorld, gateway: GatewayProcess, number: int) -> bool:
    """Whether an ordinary request at a gateway is answered with success."""
    request_id = f"after-{gateway.name}-{number}"
    key = next(iter(world.keys))
    now = asyncio.get_running_loop().time()
    world.ledger.on_sent(SentRequest(request_id, now, key, "safe", gateway.name))
    try:
        async with asyncio.timeout(5.0):
            client = await Client.connect(gateway.frontend)
            answer = await client.ask("/safe/", request_id, key=key)
    except (OSError, TimeoutError, AssertionError):
        return False
    client.close()
    return answer.status == 200


def count_descriptors(gateway: GatewayProcess) -> int | None:
    """Open descriptors of a gateway; None while it is being restarted."""
    assert gateway.process is not None
    try:
        return open_descriptors(gateway.process.pid)
    except FileNotFoundError:
        return None


async def check_afterwards(world: SoakWorld) -> None:
    """Each gateway serves ordinary clients and has closed the connections of the others."""
    loop = asyncio.get_running_loop()
    for gateway in world.gateways:
        give_up_at = loop.time() + SETTLE_SECONDS
        for number in itertools.count():
            descriptors = count_descriptors(gateway)
            is_free = descriptors is not None and descriptors <= MAX_DESCRIPTORS_AFTERWARDS
            if is_free and await is_served(world, gateway, number):
                break
            if loop.time() > give_up_at:
                detail = f"{gateway.name}: {descriptors} descriptors, or an ordinary client refused"
                world.ledger.violate("afterwards", detail)
                break
            await asyncio.sleep(POLL_SECONDS)


def check_logs(world: SoakWorld) -> None:
    """No process has reported an internal error."""
    for gateway in world.gateways:
        text = (world.folder / f"{gateway.name}.log").read_text(errors="replace")
        for sign in INTERNAL_ERRORS:
            if sign in text:
                start = text.index(sign)
                world.ledger.violate("internal-error", text[start : start + 1500])


async def abusive_soak(seed: int, folder: Path, seconds: float, gateways: int) -> Report:
    """Run one seed and return its report."""
    world = SoakWorld(seed, folder, gateways)
    world.memory_megabytes = MEMORY_MEGABYTES
    world.limits = LIMITS
    watch = MemoryWatch(world)
    async with running_world(world, watch.run()) as background:
        count = ABUSIVE_CLIENTS[seed % len(ABUSIVE_CLIENTS)]
        abusive = [AbusiveClient(number, world, world.random) for number in range(count)]
        ordinary = [
            SoakClient(number, world, world.random, lambda: world.random.choice(world.gateways))
            for number in range(ORDINARY_CLIENTS)
        ]
        clients = [asyncio.create_task(client.run()) for client in abusive]
        others = [asyncio.create_task(client.run()) for client in ordinary]
        series = [asyncio.create_task(change_limits(world))]
        if seed % CALM_EVERY:
            series.append(asyncio.create_task(disturb_gateways(world)))
        await asyncio.sleep(seconds)
        await end_series([*clients, *series])
        await until_all_have_started(world)
        await check_afterwards(world)
        await end_series(others)
        world.check_own_tasks(background)
        check_logs(world)
    if watch.peak_bytes > MEMORY_MEGABYTES * BYTES_PER_MEGABYTE:
        world.ledger.violate("memory", f"{watch.peak_bytes / BYTES_PER_MEGABYTE:.0f} MB")
    return {
        "seed": seed,
        "peak_megabytes": round(watch.peak_bytes / BYTES_PER_MEGABYTE),
        "abusive": dict(sum((client.kinds for client in abusive), Counter())),
        "outcomes": dict(sorted(world.ledger.outcomes.items())),
        "violations": world.ledger.violations[:20],
    }


if __name__ == "__main__":
    sys.exit(run_fleet_soak(__doc__, GATEWAYS, abusive_soak))
