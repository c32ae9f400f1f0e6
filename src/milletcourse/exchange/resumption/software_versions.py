"""Which software versions may have begun the streams that clients still resume; no input/output."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

MIN_HORIZON_SECONDS = 60.0
"""A version may have begun streams that are resumed as long as this after its last server left."""
MAX_HORIZON_SECONDS = 600.0
HOLD_SECONDS = 0.5
"""No resumable stream begins at a new version for this long while others serve: meanwhile all
gateways learn of it, and those that relay streams of other versions tell where these began."""


class _Sighting(msgspec.Struct):
    first_at: float
    last_at: float


class SoftwareVersions:
    """Software versions of each service, as seen by one gateway.

    Attributes:
        horizon_seconds: For this long after the last sight of a version its streams may be resumed.
    """

    def __init__(
        self, is_listed: Callable[[str, str], bool], on_mixed: Callable[[str], None]
    ) -> None:
        """Start without any version.

        Args:
            is_listed: Whether a server of a service and version is listed now.
            on_mixed: Called with a service when a second version of it has been seen.
        """
        self.horizon_seconds = MIN_HORIZON_SECONDS
        self._is_listed = is_listed
        self._on_mixed = on_mixed
        self._sightings: dict[str, dict[str, _Sighting]] = {}
        self._since: float | None = None
        self._reported: frozenset[str] = frozenset()

    def extend_horizon(self, seconds: float) -> None:
        """Streams may be resumed for this long after they began."""
        self.horizon_seconds = max(self.horizon_seconds, min(seconds, MAX_HORIZON_SECONDS))

    def on_seen(self, service: str, version: str | None, now: float) -> None:
        """A server is listed or has just gone; unknown versions (None) are ignored."""
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
        if len(versions) > 1:
            self._on_mixed(service)

    def on_reported(self, services: Iterable[str]) -> None:
        """Several versions of these services served before this gateway started."""
        self._reported = self._reported.union(services)

    def sole(self, service: str, now: float) -> str | None:
        """The only version that may have begun streams of a service, None when there are several.

        Also None when no server of the service has been seen.
        """
        if self._is_reported(service, now):
            return None
        versions = self._current(service, now)
        return next(iter(versions)) if len(versions) == 1 else None

    def is_mixed(self, service: str, now: float) -> bool:
        """Whether several versions may have begun streams of a service."""
        return self._is_reported(service, now) or len(self._current(service, now)) > 1

    def mixed_services(self, now: float) -> list[str]:
        """Services of which several versions may have begun streams, in order."""
        services = {*self._sightings, *self._reported}
        return sorted(service for service in services if self.is_mixed(service, now))

    def held(self, service: str, now: float) -> set[str]:
        """Versions at which no resumable stream may begin yet, since they are new beside others."""
        versions = self._current(service, now)
        oldest_at = min((sighting.first_at for sighting in versions.values()), default=now)
        return {
            version
            for version, sighting in versions.items()
            if now - sighting.first_at < HOLD_SECONDS <= sighting.first_at - oldest_at
        }

    def has_started_within(self, seconds: float, now: float) -> bool:
        """Whether the first server was seen less than this long ago."""
        return self._since is not None and now - self._since < seconds

    def has_seen_horizon(self, now: float) -> bool:
        """Whether no version that may have begun streams left before this gateway started."""
        return self._since is not None and not self.has_started_within(self.horizon_seconds, now)

    def _is_reported(self, service: str, now: float) -> bool:
        return service in self._reported and not self.has_seen_horizon(now)

    def _current(self, service: str, now: float) -> dict[str, _Sighting]:
        versions = self._sightings.get(service, {})
        for version, sighting in list(versions.items()):
            if now - sighting.last_at < self.horizon_seconds:
                continue
            if self._is_listed(service, version):
                sighting.last_at = now
            else:
                del versions[version]
        return versions
