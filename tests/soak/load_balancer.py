"""Load balancer before a soak's gateways: polls readiness and distributes new connections."""

from __future__ import annotations

import asyncio
import random

from gateway_standin import Client
from soak.world import GatewayProcess

READY_PATH = "/milletcourse/ready"
PROBE_SECONDS = 1.0
MISSES_UNTIL_REMOVED = 2


class LoadBalancer:
    """Selects gateways for new connections.

    Two failed readiness probes in a row take a gateway out of rotation; a successful one puts it
    back.
    """

    def __init__(self, gateways: list[GatewayProcess], source: random.Random) -> None:
        self._gateways = gateways
        self._random = source
        self._misses = {gateway.name: MISSES_UNTIL_REMOVED for gateway in gateways}

    def choose(self) -> GatewayProcess:
        """A gateway for a new connection; any gateway if fewer than half are in rotation."""
        ready = [gateway for gateway in self._gateways if self.is_in_rotation(gateway)]
        if 2 * len(ready) < len(self._gateways):
            ready = self._gateways
        return self._random.choice(ready)

    def is_in_rotation(self, gateway: GatewayProcess) -> bool:
        """Whether a gateway receives new connections."""
        return self._misses[gateway.name] < MISSES_UNTIL_REMOVED

    async def wait_for_all(self, timeout_seconds: float) -> None:
        """Wait until all gateways are in rotation; raises `TimeoutError` after the timeout."""
        async with asyncio.timeout(timeout_seconds):
            while not all(self.is_in_rotation(gateway) for gateway in self._gateways):
                await asyncio.sleep(0.05)

    async def run(self) -> None:
        """Probe all gateways until cancelled, each with its own random phase."""
        await asyncio.gather(*(self._watch(gateway) for gateway in self._gateways))

    async def _watch(self, gateway: GatewayProcess) -> None:
        await asyncio.sleep(self._random.uniform(0.0, PROBE_SECONDS))
        while True:
            self._misses[gateway.name] = (
                0 if await self._is_ready(gateway) else self._misses[gateway.name] + 1
            )
            await asyncio.sleep(PROBE_SECONDS)

    @staticmethod
    async def _is_ready(gateway: GatewayProcess) -> bool:
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                client = await Client.connect(gateway.readiness)
                try:
                    client.send(READY_PATH, method="GET", body=b"")
                    got = await client.read_answer()
                finally:
                    client.close()
        except (OSError, TimeoutError):
            return False
        return got is not None and got.status == 200
