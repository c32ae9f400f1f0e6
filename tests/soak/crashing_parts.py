"""Soaks of prompt parts that crash servers: `python3 tests/soak/crashing_parts.py [--seeds A:B]`.

Requests that share one part of their prompt crash each model server that begins to answer them;
they differ in all else, and come through any gateway. Other clients send sound requests with the
same API key and the same first part. Crashes and arrivals are counted at the servers. Prints one
JSON line per seed.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import re
import sys
import time
from collections import Counter
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from gateway_standin import Client
from soak.gateway_faults import disturb_gateways, end_series, running_world
from soak.part_server import CrashAccount, PartServer
from soak.seeds import Report, run_seeds
from soak.server import SoakServer
from soak.world import GatewayProcess, SoakWorld

CONTACT_SECONDS = 3.0
"""A gateway that was disturbed within this time may not know what others have seen."""
FREE_CRASHES = 5
MAX_LATE_ARRIVALS = 3
MIN_SERVED_SHARE = 0.5
"""Of the sound requests, compared with the time before any crash."""
MIN_JUDGED_REQUESTS = 20
SOUND_SECONDS = 3.0
"""Time before the first request that crashes a server."""
DEADLINE_SECONDS = 4.0
FIRST_PARTS = ("f1", "f2")
MIDDLE_PARTS = ("b1", "b2", "b3", "b4", "b5", "b6")
CRASHING_PARTS = ("dead01", "dead02", "dead03")
RARE_COMPANION = "c0ffee"
"""A sound part that only requests with a crashing part have, but for `COMPANION_SHARE`."""
COMPANION_SHARE = 0.02
KINDS = ("single", "stream", "ask")
ASK_ROUTE = {
    "Name": "ask",
    "Host": "site.example",
    "PathPrefix": "/ask/",
    "RouteType": "safe",
    "TimeoutMs": 3000,
    "TargetLatencyMs": 400,
    "MaxAttempts": 2,
    "Service": "engine",
}
"""Answers of the model servers that are no streams."""
MAX_RETRY_AFTER_SECONDS = 1.0
PART_TOKENS = 20


@dataclass(frozen=True)
class PartRun:
    """Parameters of one run.

    Attributes:
        gateways: Number of gateway processes.
        clients: Number of sound clients, each with one request at a time.
        seconds: For how long requests with crashing parts come.
        rate: Such requests a second.
        parts: Number of crashing parts, which come in turn.
        position: Where they stand: `first`, `middle` or `last`, the last that can be shared.
        crash_seconds: Time from the begin of an answer to the crash.
        streams_before: Whether servers send events before they crash.
        companion: Whether a sound part always comes with a crashing one.
        all_callers: Whether these requests have the API keys of all tenants.
        own_crashes: Crashes a second that no request causes.
        kills: Gateways are killed, stopped and suspended in overlapping series.
        max_crashes: Crashes allowed for each part; 0 for no bound.
    """

    gateways: int = 5
    clients: int = 40
    seconds: float = 12.0
    rate: float = 8.0
    parts: int = 1
    position: str = "middle"
    crash_seconds: float = 0.03
    streams_before: bool = False
    companion: bool = False
    all_callers: bool = False
    own_crashes: float = 0.0
    kills: bool = False
    max_crashes: int = 0


@dataclass(frozen=True)
class SoundTry:
    """A sound request: when it was sent, and whether an answer of a server began."""

    at: float
    has_begun: bool


class PartWorld:
    """A soak's processes, servers and clients."""

    def __init__(self, world: SoakWorld, run: PartRun) -> None:
        self.world = world
        self.run = run
        self.account = CrashAccount(streams_before=run.streams_before)
        self.counts: Counter[str] = Counter()
        self.tries: list[SoundTry] = []
        self.companion_tries: list[SoundTry] = []
        self.refused_after: list[float] = []
        self.violations: list[str] = []
        self.sent_through: dict[str, GatewayProcess] = {}
        self.parts_since = float("inf")
        world.new_server = self._new_server
        world.routes = [ASK_ROUTE]

    def _new_server(self, *given: Any) -> SoakServer:
        _, service, *_ = given
        if service != "engine":
            return SoakServer(*given)
        server = PartServer(*given)
        server.account = self.account
        return server

    def engines(self) -> Iterator[PartServer]:
        """The model servers that run now."""
        for server in self.world.servers.values():
            if isinstance(server, PartServer):
                yield server

    async def crash_servers(self) -> None:
        """Crash servers that no request crashes, at the rate of the run."""
        while self.run.own_crashes:
            await asyncio.sleep(self.world.random.expovariate(self.run.own_crashes))
            running = list(self.engines())
            if running:
                self.world.random.choice(running).crash_under("")

    # -- clients --------------------------------------------------------------------------------

    async def run_client(self, client: int) -> None:
        """Send one sound request after the other until the soak ends."""
        source = random.Random(f"{self.world.random.random()}:{client}")
        number = 0
        while not self.world.ended:
            number += 1
            await asyncio.sleep(await self._send_sound(source, f"s-{client}-{number}"))

    async def _send_sound(self, source: random.Random, request_id: str) -> float:
        has_companion = self.run.companion and source.random() < COMPANION_SHARE
        middle = RARE_COMPANION if has_companion else source.choice(MIDDLE_PARTS)
        parts = [source.choice(FIRST_PARTS), middle, f"{source.getrandbits(40):x}"]
        began_at = time.monotonic()
        status, retry_after = await self._send(source, request_id, parts, self._key())
        if status:
            tries = self.companion_tries if has_companion else self.tries
            tries.append(SoundTry(began_at, status == 200))
        return retry_after

    def _key(self) -> str:
        return next(iter(self.world.keys))

    async def send_crashing_requests(self) -> None:
        """Send requests with a crashing part, at the rate of the run, without waiting for them."""
        names = CRASHING_PARTS[: self.run.parts]
        self.account.crash_seconds = dict.fromkeys(names, self.run.crash_seconds)
        self.parts_since = time.monotonic()
        source = random.Random(self.world.random.random())
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < self.parts_since + self.run.seconds:
                part = names[number % len(names)]
                number += 1
                tasks.create_task(self._send_crashing(source, f"x-{number}", part))
                await asyncio.sleep(source.expovariate(self.run.rate))

    async def _send_crashing(self, source: random.Random, request_id: str, part: str) -> None:
        middle = RARE_COMPANION if self.run.companion else source.choice(MIDDLE_PARTS)
        parts = [source.choice(FIRST_PARTS), middle, f"{source.getrandbits(40):x}"]
        place = {"first": 0, "middle": 1, "last": 2}[self.run.position]
        parts.insert(place, part)
        key = source.choice(list(self.world.keys)) if self.run.all_callers else self._key()
        began_at = time.monotonic()
        status, _ = await self._send(source, request_id, parts, key)
        self.counts[f"crashing-{status}"] += 1
        if status == 503:
            self.refused_after.append(time.monotonic() - began_at)

    async def _send(
        self, source: random.Random, request_id: str, parts: list[str], key: str
    ) -> tuple[int, float]:
        """Send a request to a gateway that listens.

        Returns the status, 0 when it was not read, and the seconds until the client comes again.
        """
        started = [gateway for gateway in self.world.gateways if gateway.has_started()]
        if not started:
            return 0, 0.05
        gateway = self.sent_through[request_id] = source.choice(started)
        fields = {
            "Model": "model-1",
            "Token_Usage": f"{PART_TOKENS * len(parts)},8",
            "Prompt_Prefix": ",".join(f"{part}:{PART_TOKENS}" for part in parts),
            "Deadline_Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        path = f"/{source.choice(KINDS)}/"
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 1.0):
                client = await Client.connect(gateway.frontend)
                try:
                    body = request_id.encode()
                    client.send(path, request_id, key=key, body=body, **fields)
                    got = await client.read_answer()
                finally:
                    client.close()
        except OSError:
            return 0, 0.02
        if got is None:
            return 0 if gateway.was_disturbed(0.0, time.monotonic()) else 502, 0.02
        if got.status in (429, 503):
            code = re.search(rb"problem:([a-z-]+)", got.body)
            self.counts[f"refused-{code.group(1).decode() if code else got.status}"] += 1
            retry_after = float(got.headers.get("retry-after", "0.05"))
            return got.status, min(retry_after, MAX_RETRY_AFTER_SECONDS)
        return got.status, 0.01

    # -- judgement ------------------------------------------------------------------------------

    def judge(self) -> Report:
        """Check late arrivals and the share of served sound requests; returns the figures."""
        late = {part: self._late_arrivals(part) for part in self.account.crash_seconds}
        for part, arrivals in late.items():
            if arrivals > MAX_LATE_ARRIVALS:
                self.violations.append(f"late: {arrivals} requests with part {part} reach servers")
        crashes = {part: len(self.account.crash_times(part)) for part in late}
        for part, count in crashes.items():
            if self.run.max_crashes and count > self.run.max_crashes:
                self.violations.append(f"crashes: {count} under part {part}")
        settled_at = self._settled_at()
        before = share(self.tries, 0.0, self.parts_since)
        meanwhile = share(self.tries, self.parts_since, settled_at)
        after = share(self.tries, settled_at, float("inf"))
        if None not in (before, after) and after < MIN_SERVED_SHARE * before:
            self.violations.append(f"sound: {after:.3f} served, {before:.3f} before")
        refused = sorted(self.refused_after)
        return {
            "crashes": crashes,
            "own_crashes": len(self.account.crash_times("")),
            "late": late,
            "sound_before": before,
            "sound_meanwhile": meanwhile,
            "sound_after": after,
            "companion": share(self.companion_tries, settled_at, float("inf")),
            "refused_p99": round(refused[int(len(refused) * 0.99)], 3) if refused else None,
            "counts": dict(sorted(self.counts.items())),
        }

    def _late_arrivals(self, part: str) -> int:
        """Requests that undisturbed gateways sent on later than they may after enough crashes."""
        crashes = self.account.crash_times(part)
        if len(crashes) < FREE_CRASHES:
            return 0
        known_by = crashes[FREE_CRASHES - 1] + CONTACT_SECONDS
        return sum(
            arrival.part == part
            and arrival.at > known_by
            and self.sent_through[arrival.request_id].has_run_undisturbed(
                arrival.at - CONTACT_SECONDS, arrival.at
            )
            for arrival in self.account.arrivals
        )

    def _settled_at(self) -> float:
        """From when on sound requests must be served again."""
        counted = [self.account.crash_times(part) for part in self.account.crash_seconds]
        last = [times[:FREE_CRASHES][-1] for times in counted if times]
        return max(last, default=self.parts_since) + 2 * CONTACT_SECONDS


def share(tries: list[SoundTry], begin: float, end: float) -> float | None:
    """Share of the tries in an interval that began; None if they are too few."""
    judged = [item.has_begun for item in tries if begin <= item.at < end]
    return round(sum(judged) / len(judged), 3) if len(judged) >= MIN_JUDGED_REQUESTS else None


async def part_soak(seed: int, folder: Path, run: PartRun) -> Report:
    """Run one seed and return its report."""
    world = SoakWorld(seed, folder, run.gateways)
    fleet = PartWorld(world, run)
    async with running_world(world) as background:
        clients = [asyncio.create_task(fleet.run_client(number)) for number in range(run.clients)]
        await asyncio.sleep(SOUND_SECONDS)
        series = [asyncio.create_task(fleet.crash_servers())]
        if run.kills:
            series.append(asyncio.create_task(disturb_gateways(world)))
        if run.parts:
            await fleet.send_crashing_requests()
        else:
            fleet.parts_since = time.monotonic()
            await asyncio.sleep(run.seconds)
        await end_series(series)
        world.check_own_tasks([*background, *clients])
        figures = fleet.judge()
    return {
        "seed": seed,
        **figures,
        "own_absence": round(world.clock.stalled_seconds, 2),
        "starts": sum(gateway.starts for gateway in world.gateways),
        "violations": [*fleet.violations[:10], *world.ledger.violations[:5]],
    }


def main() -> int:
    """Run all seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="", help="FIRST:LAST; default: one new seed")
    parser.add_argument("--seconds", type=float, default=12.0, help="duration per seed")
    parser.add_argument("--gateways", type=int, default=5, help="processes")
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--rate", type=float, default=8.0, help="crashing requests a second")
    parser.add_argument("--parts", type=int, default=1, help="crashing parts, in turn")
    parser.add_argument("--position", choices=("first", "middle", "last"), default="middle")
    parser.add_argument("--crash-after", type=float, default=0.03, help="seconds")
    parser.add_argument("--streams-before", action="store_true", help="events before a crash")
    parser.add_argument("--companion", action="store_true", help="a sound part always beside it")
    parser.add_argument("--all-callers", action="store_true", help="with the keys of all tenants")
    parser.add_argument("--own-crashes", type=float, default=0.0, help="without a cause, a second")
    parser.add_argument("--kills", action="store_true", help="kill, stop and suspend gateways")
    parser.add_argument("--max-crashes", type=int, default=0, help="allowed for each part")
    parser.add_argument("--keep", type=Path, help="folder in which to keep the gateways' logs")
    arguments = parser.parse_args()
    run = PartRun(
        arguments.gateways,
        arguments.clients,
        arguments.seconds,
        arguments.rate,
        arguments.parts,
        arguments.position,
        arguments.crash_after,
        arguments.streams_before,
        arguments.companion,
        arguments.all_callers,
        arguments.own_crashes,
        arguments.kills,
        arguments.max_crashes,
    )

    def run_seed(seed: int, folder: Path) -> Coroutine[Any, Any, Report]:
        return part_soak(seed, folder, run)

    return run_seeds(arguments.seeds, arguments.keep, run_seed)


if __name__ == "__main__":
    sys.exit(main())
