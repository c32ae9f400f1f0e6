"""Compiled lookups over one configuration: route by host and path, tenant by key."""

from __future__ import annotations

import xxhash

from milletcourse.exchange.messages.records import (
    ExchangeConfiguration,
    RouteRecord,
    ServiceRecord,
    TenantRecord,
)
from milletcourse.exchange.placement.reuse_scope import ReuseScopes


class _HostRoutes:
    """Routes of one host, by path prefix; prefixes end with a slash."""

    def __init__(self) -> None:
        self._by_prefix: dict[str, RouteRecord] = {}
        self._most_slashes = 0

    def add(self, route: RouteRecord) -> None:
        """Add a route; the first route of a prefix wins."""
        prefix = route.path_prefix
        self._by_prefix.setdefault(prefix, route)
        self._most_slashes = max(self._most_slashes, prefix.count("/"))

    def find(self, path: str) -> RouteRecord | None:
        """The route with the longest prefix of the path."""
        found = self._by_prefix.get("")
        end = 0
        for _ in range(self._most_slashes):
            end = path.find("/", end) + 1
            if not end:
                return found
            found = self._by_prefix.get(path[:end], found)
        return found


class RouteTable:
    """Lookup tables of one configuration; replaced as a whole."""

    def __init__(self, configuration: ExchangeConfiguration) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self.limits = configuration.limits
        self._hosts: dict[str, _HostRoutes] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, _HostRoutes()).add(route)
        self._services = {service.name: service for service in configuration.services}
        self._tenants = {
            key: tenant for tenant in configuration.tenants for key in tenant.keys if key
        }
        self.reuse_scopes = ReuseScopes(configuration.tenants)
        self.requires_keys = bool(configuration.tenants)
        self.cache_stores = sorted(
            (service for service in configuration.services if service.store_address),
            key=lambda store: store.name,
        )

    def find_route(self, host: str, path: str) -> RouteRecord | None:
        """The route with the longest prefix of the path.

        Args:
            host: Value of the Host header.
            path: Path without its query.
        """
        routes = self._hosts.get(host)
        return routes.find(path) if routes is not None else None

    def find_tenant(self, key: str) -> TenantRecord | None:
        """The tenant that has the key."""
        return self._tenants.get(key)

    def service(self, name: str) -> ServiceRecord | None:
        """A service by name."""
        return self._services.get(name)

    def cache_store(self, zone: str, key: bytes) -> ServiceRecord | None:
        """The KV-cache store of a prompt, the same one at all gateways.

        It is a store of the given zone if there is one. Zones without a store are spread over all
        stores by the prompt's key: with a fixed store, its link would carry nearly all traffic.

        Args:
            zone: Zone of the prompt's home.
            key: Key of the prompt's last shared part.
        """
        near = [store for store in self.cache_stores if store.zone == zone]
        stores = near or self.cache_stores
        if len(stores) < 2:
            return stores[0] if stores else None
        return max(stores, key=lambda store: xxhash.xxh64_intdigest(key, _seed(store)))


def _seed(store: ServiceRecord) -> int:
    """Hash seed of a store for rendezvous hashing."""
    return xxhash.xxh32_intdigest(store.name.encode())
