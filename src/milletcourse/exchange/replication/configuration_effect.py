"""Which requests a configuration change affects, in a few bytes per route; no input/output.

The effect is announced before the content, so that a gateway that waits for the content can
distinguish affected requests from unaffected ones.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator

import msgspec
import xxhash

from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.messages.records import ExchangeConfiguration, RouteRecord, TenantRecord

MAX_ENTRIES = 16384
"""An effect on more routes or keys isn't announced: all requests then count as affected."""
MAX_STEPS = 16
_DIGEST_BYTES = 4


class _Step(msgspec.Struct, frozen=True):
    """The replacement of one configuration by the next.

    Attributes:
        before: Version of the replaced configuration.
        effect: What the replacement changed, None when it isn't announced.
        not_committed_at: Monotonic time at which the new one wasn't committed yet, None when no
            such time is known.
    """

    before: int
    effect: ConfigurationEffect | None
    not_committed_at: float | None


class EffectHistory:
    """Effects of the latest configuration changes of one gateway, in order."""

    def __init__(self) -> None:
        self._steps: deque[_Step] = deque(maxlen=MAX_STEPS)

    def record(
        self,
        before: ExchangeConfiguration,
        after: ExchangeConfiguration,
        not_committed_at: float | None,
    ) -> None:
        """Record that a configuration has replaced another one.

        Args:
            before: The replaced configuration.
            after: The configuration now applied.
            not_committed_at: Monotonic time at which `after` wasn't committed yet, None when no
                such time is known.
        """
        self._steps.append(_Step(before.version, effect_of(before, after), not_committed_at))

    def since(self, version: int) -> ConfigurationEffect | None:
        """Combined effect of the changes since a version; None when it isn't known."""
        found: list[ConfigurationEffect] = []
        for step in self._steps:
            if step.before < version:
                continue
            if step.effect is None or (not found and step.before != version):
                return None
            found.append(step.effect)
        return _merged(found) if found else None

    def not_committed_at(self, version: int) -> float | None:
        """Time at which the successor of a version wasn't committed yet; None when unknown."""
        return next((step.not_committed_at for step in self._steps if step.before == version), None)


def effect_of(
    before: ExchangeConfiguration, after: ExchangeConfiguration
) -> ConfigurationEffect | None:
    """Effect of replacing one configuration by another.

    None when it exceeds `MAX_ENTRIES`, or when only one of the two has tenants.
    """
    routes = _changed(_only_in(before, after), _only_in(after, before))
    tenants_before, tenants_after = _by_key(before.tenants), _by_key(after.tenants)
    revoked = [key_digest(key) for key in tenants_before if key not in tenants_after]
    keys = [
        key_digest(key)
        for key, tenant in tenants_after.items()
        if key not in tenants_before or not _serves_alike(tenants_before[key], tenant)
    ]
    if bool(before.tenants) != bool(after.tenants):
        return None
    if max(len(routes), len(revoked), len(keys)) > MAX_ENTRIES:
        return None
    return ConfigurationEffect(_packed(routes), _packed(revoked), _packed(keys))


class EffectView:
    """A decoded effect that answers queries about requests."""

    def __init__(self, effect: ConfigurationEffect) -> None:
        """Decode an effect.

        Raises:
            ValueError: The bytes are not a list of digests.
        """
        self._routes = frozenset(_unpacked(effect.routes))
        self._revoked = frozenset(_unpacked(effect.revoked))
        self._keys = frozenset(_unpacked(effect.keys))

    def revokes(self, key: str) -> bool:
        """Whether the change revokes an API key."""
        return bool(self._revoked) and key_digest(key) in self._revoked

    def affects(self, host: str, path: str, key: str) -> bool:
        """Whether the change may alter how a request is treated."""
        if self._keys and key_digest(key) in self._keys:
            return True
        return bool(self._routes) and any(
            route_digest(host, prefix) in self._routes for prefix in _prefixes(path)
        )


def route_digest(host: str, path_prefix: str) -> int:
    """Short digest that identifies a route by its host and path prefix."""
    return xxhash.xxh32_intdigest(f"{host}\n{path_prefix}".encode())


def key_digest(key: str) -> int:
    """Short digest that identifies an API key."""
    return xxhash.xxh32_intdigest(key.encode())


def _prefixes(path: str) -> Iterator[str]:
    end = path.find("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.find("/", end + 1)


def _only_in(one: ExchangeConfiguration, other: ExchangeConfiguration) -> dict[int, RouteRecord]:
    """Routes by digest whose record objects the other configuration doesn't share."""
    shared = set(map(id, other.routes))
    return {
        route_digest(route.host, route.path_prefix): route
        for route in one.routes
        if id(route) not in shared
    }


def _changed(before: dict[int, RouteRecord], after: dict[int, RouteRecord]) -> list[int]:
    removed = [place for place in before if place not in after]
    return removed + [place for place, route in after.items() if before.get(place) != route]


def _by_key(tenants: Iterable[TenantRecord]) -> dict[str, TenantRecord]:
    return {key: tenant for tenant in tenants for key in tenant.keys if key}


def _serves_alike(before: TenantRecord, after: TenantRecord) -> bool:
    """Whether a tenant's requests are treated alike; changes of its key list don't count."""
    return msgspec.structs.replace(before, keys=()) == msgspec.structs.replace(after, keys=())


def _merged(effects: list[ConfigurationEffect]) -> ConfigurationEffect:
    """Union of the effects; a key that was revoked and then added counts as both."""
    return ConfigurationEffect(
        b"".join(effect.routes for effect in effects),
        b"".join(effect.revoked for effect in effects),
        b"".join(effect.keys for effect in effects),
    )


def _packed(digests: Iterable[int]) -> bytes:
    return b"".join(value.to_bytes(_DIGEST_BYTES, "big") for value in sorted(set(digests)))


def _unpacked(data: bytes) -> list[int]:
    if len(data) % _DIGEST_BYTES or len(data) > MAX_STEPS * MAX_ENTRIES * _DIGEST_BYTES:
        raise ValueError("not a list of digests")
    return [
        int.from_bytes(data[begin : begin + _DIGEST_BYTES], "big")
        for begin in range(0, len(data), _DIGEST_BYTES)
    ]
