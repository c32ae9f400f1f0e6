"""Smooth weighted round-robin: exact shares over time, without bursts to one service."""

from __future__ import annotations

import random

from milletcourse.exchange.messages.records import RouteRecord, WeightedService


class _RouteShares:
    def __init__(self, backends: tuple[WeightedService, ...], random_source: random.Random) -> None:
        self.backends = backends
        self._total = sum(backend.weight for backend in backends)
        # Gateways start at random points of the cycle, so that requests for services with small
        # weights are spread evenly over time.
        offset = random_source.random()
        self._credit = [backend.weight * offset for backend in backends]

    def next_service(self) -> str:
        for index, backend in enumerate(self.backends):
            self._credit[index] += backend.weight
        best = max(range(len(self.backends)), key=self._credit.__getitem__)
        self._credit[best] -= self._total
        return self.backends[best].service


class WeightedChoice:
    """Chooses the service of each request of a route."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._shares: dict[str, _RouteShares] = {}

    def choose(self, route: RouteRecord) -> str:
        """Returns the service for the next request of the route."""
        if len(route.backends) == 1:
            return route.backends[0].service
        shares = self._shares.get(route.name)
        if shares is None or shares.backends != route.backends:
            shares = self._shares[route.name] = _RouteShares(route.backends, self._random)
        return shares.next_service()
