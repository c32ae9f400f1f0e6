"""The entry before a soak's gateways: asks each for readiness, and spreads new connections."""

from __future__ import annotations

import asyncio
import random

from gateway_standin import Client
from soak.world import GatewayProcess

READY_PATH = "/milletcourse/ready"
PROBE_SECONDS = 1.0
MISSES_UNTIL_REMOVED = 2


class LoadBalancer:
    """Knows which gateways get new connections: two misses take one out, an answer brings it in."""

    def __init__(self, gateways: list[GatewayProcess], source: random.Random) -> None:
        self._gateways = gateways
        self._random = source
        self._misses = {gateway.name: MISSES_UNTIL_REMOVED for gateway in gateways}

    def choose(self) -> GatewayProcess:
        """A gateway for a new connection; any of them when fewer than half are in."""
        ready = [gateway for gateway in self._gateways if self.is_in_rotation(gateway)]
        if 2 * len(ready) < len(self._gateways):
            ready = self._gateways
        return self._random.choice(ready)

    def is_in_rotation(self, gateway: GatewayProcess) -> bool:
        """Whether a gateway gets new connections."""
        return self._misses[gateway.name] < MISSES_UNTIL_REMOVED

    async def run(self) -> None:
        """Ask all gateways until cancelled, each at a moment of its own."""
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
