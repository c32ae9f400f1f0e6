"""Planned work on real gateway processes, before sound servers: no request may be lost.

`python3 tests/soak/planned.py [--seeds FIRST:LAST] [--gateways N] [--seconds N] [--clients N]`

Gateways get SIGTERM in turn and start again, some get SIGHUP, the configuration changes and new
weights are named, all at once and under load. Prints one JSON line for each seed; the exit code is
1 when a request that was sent whole ended without a complete answer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from gateway_standin import Client
from soak.answers import LOST, Asked, End, judge
from soak.entry import Entry
from soak.ledger import SentRequest
from soak.world import DEFAULT_GATEWAYS, TENANTS, GatewayProcess, SoakWorld

KINDS = ("safe", "unsafe", "stream", "single")
DEADLINE_SECONDS = 6.0
PROMPT = {
    "Model": "model-1",
    "Token_Usage": "40,8",
    "Prompt_Prefix": "5c1e07a2:20,91bd3f06:20",
}
LAST_ON_CONNECTION_SHARES = (0.05, 1.0)
"""Share of the answers after which a client opens a new connection: every other client keeps its
connection long, the others open one for each request."""
DEFAULT_CLIENTS = 40
READY_SECONDS = 30.0
CALM_SECONDS = 1.0


class PlannedClient:
    """Sends one request after the other and keeps its connection as long as it may."""

    def __init__(
        self, number: int, world: SoakWorld, entry: Entry, asked: list[Asked], direct: bool
    ) -> None:
        self._number = number
        self._world = world
        self._entry = entry
        self._asked = asked
        self._direct = direct
        self._random = random.Random(number)
        shares = LAST_ON_CONNECTION_SHARES
        self._leaves_share = shares[number % len(shares)]
        self._connection: Client | None = None
        self._gateway: GatewayProcess | None = None
        self._position = 0

    async def run(self) -> None:
        """Until the soak ends."""
        sent = 0
        while not self._world.ended:
            sent += 1
            await self._ask(f"p-{self._number}-{sent}")
            await asyncio.sleep(self._random.uniform(0.002, 0.04))
        self._leave()

    async def _ask(self, request_id: str) -> None:
        asked = Asked(request_id, "", self._random.choice(KINDS))
        self._asked.append(asked)
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 1.0):
                client = await self._connected(asked)
                await self._exchange(client, asked)
        except TimeoutError:
            asked.end = End.TOO_LONG
        except OSError:
            asked.end = End.NOTHING if asked.sent_at else End.NO_CONNECTION
        asked.ended_at = time.monotonic()
        if asked.end is not End.WHOLE:
            self._leave()

    async def _connected(self, asked: Asked) -> Client:
        """The connection that is kept, unless the gateway has closed it; else a new one."""
        client = self._connection
        if client is not None and (client.reader.at_eof() or client.writer.is_closing()):
            self._leave()
        if self._connection is None:
            self._gateway = (
                self._random.choice(self._world.gateways) if self._direct else self._entry.choose()
            )
            self._position = 0
            self._connection = await Client.connect(self._gateway.frontend)
        assert self._gateway is not None
        asked.gateway = self._gateway.name
        asked.position = self._position
        return self._connection

    async def _exchange(self, client: Client, asked: Asked) -> None:
        key = self._random.choice(list(TENANTS))
        more = {"Deadline_Ms": str(int(DEADLINE_SECONDS * 1000))}
        if asked.kind in ("stream", "single"):
            more.update(PROMPT)
        now = asyncio.get_running_loop().time()
        self._world.ledger.on_sent(SentRequest(asked.request_id, now, key, asked.kind))
        client.send(f"/{asked.kind}/", asked.request_id, key=key, **more)
        await client.writer.drain()
        asked.sent_at = time.monotonic()
        self._position += 1
        got = await client.read_answer()
        if got is None:
            asked.end = End.NOTHING
            return
        asked.end = End.WHOLE if got.whole else End.PARTIAL
        self._world.ledger.on_answer(asked.request_id, got.status, got.body, got.whole)
        if got.headers.get("connection") == "close" or self._random.random() < self._leaves_share:
            self._leave()

    def _leave(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


async def roll_gateways(world: SoakWorld, entry: Entry, at_a_time: int) -> None:
    """SIGTERM to gateways in turn; the next ones when these are back in the entry."""
    while True:
        for first in range(0, len(world.gateways), at_a_time):
            group = world.gateways[first : first + at_a_time]
            starts = {gateway.name: gateway.starts for gateway in group}
            for gateway in group:
                gateway.send(signal.SIGTERM)
                world.stops += 1
            while any(
                gateway.starts == starts[gateway.name] or not entry.is_in(gateway)
                for gateway in group
            ):
                await asyncio.sleep(0.05)


async def other_planned_work(world: SoakWorld) -> None:
    """SIGHUP, configurations and weights at random moments."""
    while True:
        await asyncio.sleep(world.random.uniform(0.3, 1.5))
        drawn = world.random.random()
        if drawn < 0.4:
            started = [gateway for gateway in world.gateways if entry_has_seen(gateway)]
            if started:
                world.random.choice(started).send(signal.SIGHUP)
        elif drawn < 0.8:
            world.put_configuration()
        else:
            world.name_version()


def entry_has_seen(gateway: GatewayProcess) -> bool:
    """Whether a process serves by its own word: before that, SIGHUP ends it as any program."""
    return gateway.is_running() and gateway.has_started()


async def planned_soak(
    seed: int,
    folder: Path,
    gateways: int,
    clients: int,
    seconds: float,
    at_a_time: int,
    direct: bool,
) -> dict[str, object]:
    """One soak; returns its report."""
    world = SoakWorld(seed, folder, gateways)
    asked: list[Asked] = []
    background: list[asyncio.Task[None]] = []
    try:
        await world.start()
        entry = Entry(world.gateways, world.random)
        background = [asyncio.create_task(work) for work in (entry.run(), world.beat())]
        async with asyncio.timeout(READY_SECONDS):
            while not all(entry.is_in(gateway) for gateway in world.gateways):
                await asyncio.sleep(0.05)
        callers = [
            asyncio.create_task(PlannedClient(number, world, entry, asked, direct).run())
            for number in range(clients)
        ]
        background += [asyncio.create_task(work) for work in (world.keep_gateways(),)]
        await asyncio.sleep(CALM_SECONDS)
        work = [
            asyncio.create_task(roll_gateways(world, entry, at_a_time)),
            asyncio.create_task(other_planned_work(world)),
        ]
        await asyncio.sleep(seconds)
        for task in work:
            task.cancel()
        world.ended = True
        await asyncio.gather(*callers)
    finally:
        for task in background:
            task.cancel()
        await world.stop()
    return report_of(seed, world, asked)


def report_of(seed: int, world: SoakWorld, asked: list[Asked]) -> dict[str, object]:
    """Counts by verdict, and each lost request."""
    runs = world.ledger.runs
    verdicts = {item.request_id: judge(item, len(runs.get(item.request_id, ()))) for item in asked}
    lost = [item for item in asked if verdicts[item.request_id] in LOST]
    for gateway in world.gateways:
        for line in gateway.log_lines():
            if line["event"] == "task-failed":
                world.ledger.violate("defect", f"{gateway.name}: {line}")
    return {
        "seed": seed,
        "stops": world.stops,
        "requests": len(asked),
        "outcomes": dict(sorted(world.ledger.outcomes.items())),
        "verdicts": dict(Counter(verdict.value for verdict in verdicts.values())),
        "lost": [
            {
                "id": item.request_id,
                "gateway": item.gateway,
                "verdict": verdicts[item.request_id].value,
                "end": item.end.value,
                "position": item.position,
                "waited": round(item.ended_at - item.sent_at, 4),
                "wall": round(time.time() - time.monotonic() + item.ended_at, 3),
            }
            for item in lost[:20]
        ],
        "violations": world.ledger.violations[:20],
    }


def main() -> int:
    """Run all seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="", help="FIRST:LAST; a fresh one without it")
    parser.add_argument("--seconds", type=float, default=30.0, help="time of planned work a seed")
    parser.add_argument("--gateways", type=int, default=DEFAULT_GATEWAYS, help="processes")
    parser.add_argument("--clients", type=int, default=DEFAULT_CLIENTS)
    parser.add_argument("--at-a-time", type=int, default=1, help="gateways that stop together")
    parser.add_argument("--direct", action="store_true", help="clients ask no entry")
    parser.add_argument("--keep", type=Path, help="folder that keeps the gateways' logs")
    arguments = parser.parse_args()
    first, _, last = (arguments.seeds or str(int(time.time()))).partition(":")
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            if arguments.keep:
                folder = arguments.keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            report = asyncio.run(
                planned_soak(
                    seed,
                    folder,
                    arguments.gateways,
                    arguments.clients,
                    arguments.seconds,
                    arguments.at_a_time,
                    arguments.direct,
                )
            )
        failed += bool(report["lost"] or report["violations"])
        print(json.dumps(report), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
