"""Which software versions may have begun the streams that clients still resume; no input/output."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

MIN_HORIZON_SECONDS = 60.0
"""A version may have begun streams that are resumed as long as this after its last server left."""
MAX_HORIZON_SECONDS = 600.0
START_SECONDS = 0.5
"""Versions that a gateway sees within this time of the first one served before it started."""


class ServiceVersion(NamedTuple):
    """A version of the software of a service's servers."""

    service: str
    version: str


class _Sighting(msgspec.Struct):
    first_at: float
    last_at: float
    is_known_to_all: bool = False


class SoftwareVersions:
    """Software versions of each service, as seen by one gateway.

    A gateway that has just started hasn't seen the versions that began the streams which clients
    resume now. It learns them from the record in the store, and takes no version for the only one
    before it has read that record.

    Attributes:
        hold_seconds: No resumable stream begins at a new version for this long, unless all other
            gateways know it: one of them may still take an older version for the only one.
        horizon_seconds: For this long after the last sight of a version its streams may be resumed.
        is_listed: Whether a server of a service and version is listed now.
    """

    def __init__(
        self,
        is_listed: Callable[[str, str], bool],
        on_new: Callable[[ServiceVersion], None],
        hold_seconds: float,
    ) -> None:
        """Start without any version.

        Args:
            is_listed: Whether a server of a service and version is listed now.
            on_new: Called when another version of a service has been seen.
            hold_seconds: See above.
        """
        self.hold_seconds = hold_seconds
        self.horizon_seconds = MIN_HORIZON_SECONDS
        self.is_listed = is_listed
        self._on_new = on_new
        self._sightings: dict[str, dict[str, _Sighting]] = {}
        self._since: float | None = None
        self._is_record_read = False
        self._unknown_at = float("-inf")

    def extend_horizon(self, seconds: float) -> None:
        """Streams may be resumed for this long after they began."""
        self.horizon_seconds = max(self.horizon_seconds, min(seconds, MAX_HORIZON_SECONDS))

    def on_seen(self, service: str, version: str | None, now: float) -> None:
        """A server is listed, has just gone or is recorded; None for an unknown version."""
        if version is None:
            return
        if self._since is None:
            self._since = now
        versions = self._sightings.setdefault(service, {})
        sighting = versions.get(version)
        if sighting is not None:
            sighting.last_at = now
            return
        versions[version] = _Sighting(now, now)
        self._on_new(ServiceVersion(service, version))

    def on_record_read(self) -> None:
        """The versions that served before this gateway started have been seen in the record."""
        self._is_record_read = True

    def on_unknown(self, now: float) -> None:
        """Versions that nobody has recorded may have begun streams until now."""
        self._unknown_at = now

    def on_all_recorded(self) -> None:
        """A gateway that knows all versions has recorded them."""
        self._unknown_at = float("-inf")

    def sole(self, service: str, now: float) -> str | None:
        """The only version that may have begun streams of a service.

        None when there are several, when none has been seen, or when it isn't known.
        """
        versions = self._current(service, now)
        if len(versions) != 1 or self._may_have_missed(now):
            return None
        return next(iter(versions))

    def sole_versions(self, services: Iterable[str], now: float) -> dict[str, str]:
        """The same by service, without those that have no such version."""
        versions = {service: self.sole(service, now) for service in services}
        return {service: version for service, version in versions.items() if version is not None}

    def is_mixed(self, service: str, now: float) -> bool:
        """Whether several versions may have begun streams of a service."""
        return len(self._current(service, now)) > 1 or self._may_have_missed(now)

    def mixed_services(self, now: float) -> list[str]:
        """Services of which several versions have been seen, in order."""
        return sorted(item for item in self._sightings if len(self._current(item, now)) > 1)

    def seen(self, now: float) -> set[ServiceVersion]:
        """Versions of all services that may have begun streams, without unknown ones."""
        return {
            ServiceVersion(service, version)
            for service in list(self._sightings)
            for version in self._current(service, now)
        }

    def has_unknown(self, now: float) -> bool:
        """Whether versions that nobody has recorded may have begun streams."""
        return now - self._unknown_at < self.horizon_seconds

    def on_known_to_all(self, seen: ServiceVersion) -> None:
        """All other gateways know a version, and take no other one for the only one."""
        sighting = self._sightings.get(seen.service, {}).get(seen.version)
        if sighting is not None:
            sighting.is_known_to_all = True

    def held(self, service: str, now: float) -> dict[str, float]:
        """Versions at which no resumable stream may begin yet, and the time until it may.

        They are new beside others.
        """
        versions = self._current(service, now)
        oldest_at = min((sighting.first_at for sighting in versions.values()), default=now)
        return {
            version: sighting.first_at + self.hold_seconds - now
            for version, sighting in versions.items()
            if sighting.first_at - oldest_at >= START_SECONDS
            and not sighting.is_known_to_all
            and now < sighting.first_at + self.hold_seconds
        }

    def has_started_within(self, seconds: float, now: float) -> bool:
        """Whether the first server was seen less than this long ago, or not yet."""
        return self._since is None or now - self._since < seconds

    def has_seen_horizon(self, now: float) -> bool:
        """Whether no version that may have begun streams left before this gateway started."""
        return not self.has_started_within(self.horizon_seconds, now)

    def _may_have_missed(self, now: float) -> bool:
        is_unread = not self._is_record_read and not self.has_seen_horizon(now)
        return is_unread or self.has_unknown(now)

    def _current(self, service: str, now: float) -> dict[str, _Sighting]:
        versions = self._sightings.get(service, {})
        for version, sighting in list(versions.items()):
            if now - sighting.last_at < self.horizon_seconds:
                continue
            if self.is_listed(service, version):
                sighting.last_at = now
            else:
                del versions[version]
        return versions
