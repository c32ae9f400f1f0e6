"""Soaks of skewed connections: `python3 tests/soak/skewed_connections.py [--seeds N:M] [...]`.

New connections are first spread over all gateways. Then most of them go to one gateway, and to
another one once that is out of rotation, while clients open a new connection for each request.
Prints one JSON line per seed; the exit code is 1 if requests that a gateway has read are then
served much less often than before.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from soak.answers import RequestResult
from soak.clients import SHORT_PROMPT, ClientProfile, SoakClient
from soak.gateway_faults import end_series, running_world
from soak.load_balancer import LoadBalancer
from soak.seeds import Report, run_fleet_soak
from soak.world import DEFAULT_GATEWAYS, GatewayProcess, SoakWorld

CLIENTS = 120
KEEP_ALIVE = ClientProfile(
    SHORT_PROMPT, deadline_seconds=3.0, pause_seconds=(0.05, 0.2), close_share=0.05
)
CONNECTION_PER_REQUEST = ClientProfile(
    SHORT_PROMPT, deadline_seconds=3.0, pause_seconds=(0.05, 0.2), close_share=1.0
)
SKEWED_SHARE = 0.9
"""Share of the new connections that go to one gateway."""
DESCRIPTORS = (0, 64)
"""File descriptor limits of the gateways, by seed in turn; 0 for the machine's default."""
EVEN_SECONDS = 6.0
CONTACT_SECONDS = 3.0
"""Time after which a gateway must cope with its connections."""
READY_SECONDS = 30.0
MIN_SERVED_FRACTION = 0.75
"""Minimum served share while connections are skewed, as a fraction of that before."""
MIN_JUDGED = 100
"""Fewer requests say nothing about the served share."""
UNREAD = (
    RequestResult.DISCONNECTED.value,
    RequestResult.NO_ANSWER.value,
    RequestResult.NO_CONNECTION.value,
)
"""Outcomes of requests that no gateway has read, or whose client left."""


class SkewedBalancer(LoadBalancer):
    """Sends most new connections to one gateway while `is_skewed`.

    Attributes:
        is_skewed: Whether one gateway gets most of the new connections.
        connections: New connections by gateway while skewed.
    """

    def __init__(self, gateways: list[GatewayProcess], source: random.Random) -> None:
        super().__init__(gateways, source)
        self.is_skewed = False
        self.connections: Counter[str] = Counter()
        self._preferred = source.choice(gateways)

    def choose(self) -> GatewayProcess:
        """A gateway for a new connection."""
        if not self.is_skewed:
            return super().choose()
        if not self.is_in_rotation(self._preferred):
            self._preferred = super().choose()
        is_other = self._random.random() >= SKEWED_SHARE
        chosen = super().choose() if is_other else self._preferred
        self.connections[chosen.name] += 1
        return chosen

    @property
    def skew(self) -> float:
        """Largest share of the new connections that one gateway got while skewed."""
        return max(self.connections.values(), default=0) / max(self.connections.total(), 1)


class ServedShare:
    """Measures the share of the read requests that are served, from its creation on."""

    def __init__(self, world: SoakWorld) -> None:
        self._outcomes = world.ledger.outcomes
        self._before = dict(self._outcomes)

    def read_requests(self) -> int:
        """Requests that a gateway has read."""
        return sum(self._since(outcome) for outcome in self._outcomes if outcome not in UNREAD)

    def value(self) -> float:
        """The share; 0 without any request."""
        return self._since("200") / max(self.read_requests(), 1)

    def _since(self, outcome: str) -> int:
        return self._outcomes.get(outcome, 0) - self._before.get(outcome, 0)


async def skewed_soak(seed: int, folder: Path, seconds: float, gateways: int) -> Report:
    """Run one seed and return its report."""
    world = SoakWorld(seed, folder, gateways)
    world.descriptors = DESCRIPTORS[seed % len(DESCRIPTORS)]
    async with running_world(world) as background:
        balancer = SkewedBalancer(world.gateways, world.random)
        background.append(asyncio.create_task(balancer.run()))
        await balancer.wait_for_all(READY_SECONDS)
        clients = start_clients(world, balancer, KEEP_ALIVE, first=0)
        await asyncio.sleep(EVEN_SECONDS / 2)
        even = ServedShare(world)
        await asyncio.sleep(EVEN_SECONDS / 2)
        served_before, read_before = even.value(), even.read_requests()
        await end_series(clients)
        balancer.is_skewed = True
        clients = start_clients(world, balancer, CONNECTION_PER_REQUEST, first=CLIENTS)
        await asyncio.sleep(CONTACT_SECONDS)
        skewed = ServedShare(world)
        await asyncio.sleep(seconds)
        served_after, read_after = skewed.value(), skewed.read_requests()
        await end_series(clients)
        check_served(world, served_before, served_after)
        if min(read_before, read_after) < MIN_JUDGED or balancer.skew < SKEWED_SHARE / 2:
            world.ledger.violate("soak", f"{read_before}, {read_after} read; {balancer.skew:.2f}")
        world.check_own_tasks(background)
    return {
        "seed": seed,
        "descriptors": world.descriptors,
        "read": [read_before, read_after],
        "served": [round(served_before, 3), round(served_after, 3)],
        "skew": round(balancer.skew, 3),
        "outcomes": dict(sorted(world.ledger.outcomes.items())),
        "violations": world.ledger.violations[:20],
    }


def start_clients(
    world: SoakWorld, balancer: LoadBalancer, profile: ClientProfile, first: int
) -> list[asyncio.Task[None]]:
    """Start clients that choose their gateways by the load balancer.

    Args:
        world: The world.
        balancer: Chooses the gateway of each connection.
        profile: Behaviour of all clients.
        first: Number of the first client.
    """
    numbers = range(first, first + CLIENTS)
    clients = [
        SoakClient(number, world, world.random, balancer.choose, profile) for number in numbers
    ]
    return [asyncio.create_task(client.run()) for client in clients]


def check_served(world: SoakWorld, before: float, after: float) -> None:
    """Check that the served share has not fallen too far."""
    if after < MIN_SERVED_FRACTION * before:
        world.ledger.violate(
            "skew", f"served {after:.3f} of the read requests, {before:.3f} before"
        )


if __name__ == "__main__":
    sys.exit(run_fleet_soak(__doc__, DEFAULT_GATEWAYS, skewed_soak))
