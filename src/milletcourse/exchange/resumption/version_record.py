"""The record of software versions in the store, which outlasts all gateways; no input/output.

A gateway that starts after all others have ended learns from it which versions may have begun the
streams that clients resume. All gateways keep one record: each adds what is missing and removes
what has expired. A gateway counts what it finds in the record as seen when it finds it, so that
nothing expires earlier than clients stop to resume streams.
"""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.store_position import UNKNOWN_ERA
from milletcourse.exchange.replication.confirmed_era import FIRST_ERA
from milletcourse.exchange.resumption.software_versions import ServiceVersion, SoftwareVersions

MAX_RECORDED_VERSIONS = 256
"""Further versions are recorded as unknown ones."""


class StoredVersions(msgspec.Struct, frozen=True):
    """The record as it is stored.

    Attributes:
        versions: Versions that may have begun streams that clients still resume, by service.
        has_unknown: Other versions may have begun streams as well.
        era: Era of the store in which it was written. A store that was restored from an older
            snapshot since then may have lost a later record.
    """

    versions: dict[str, list[str]] = {}
    has_unknown: bool = False
    era: int = UNKNOWN_ERA

    @property
    def recorded(self) -> set[ServiceVersion]:
        """Versions of all services."""
        return {
            ServiceVersion(service, version)
            for service, versions in self.versions.items()
            for version in versions
        }


class VersionRecord:
    """Compares the record in the store with the versions that this gateway has seen."""

    def __init__(self, versions: SoftwareVersions) -> None:
        """Start before the record has been read.

        Args:
            versions: Versions that this gateway has seen; gets those that are recorded.
        """
        self._versions = versions
        self._stored: StoredVersions | None = None
        self._era = UNKNOWN_ERA
        self._is_read = False
        self._recorded_in_era: set[ServiceVersion] = set()
        """Versions that have been in the record in the current era."""

    def on_era(self, era: int) -> None:
        """The store was found in another era, and may have lost the latest record."""
        self._era = era
        self._recorded_in_era.clear()

    def on_stored(self, stored: StoredVersions | None, now: float) -> None:
        """The record was read from the store or written to it; None when there is none.

        A version that appears in it has been seen by another gateway, or before this start.
        """
        before = self._stored or StoredVersions()
        self._stored = stored
        if stored is None:
            # Another writer has removed or overwritten it.
            self._recorded_in_era.clear()
            return
        for appeared in sorted(stored.recorded - before.recorded):
            self._versions.on_seen(appeared.service, appeared.version, now)
        self._recorded_in_era |= stored.recorded
        self._on_unknown_changed(before.has_unknown, stored.has_unknown, now)

    def _on_unknown_changed(self, before: bool, after: bool, now: float) -> None:
        """Adopt what the record says of versions that it doesn't name.

        A gateway that has run for long enough knows them all; it has added them to the record
        before it removes the mark.
        """
        if before and not after:
            self._versions.on_all_recorded()
        elif after and not before and not self._versions.has_seen_horizon(now):
            self._versions.on_unknown(now)

    def on_caught_up(self, has_run_before: bool, now: float) -> bool:
        """The record is known as it was after this gateway started.

        Args:
            has_run_before: This gateway was in the list of gateways when it started.
            now: Monotonic time.

        Returns:
            Whether it names all versions that served before.
        """
        if self._stored is None:
            is_complete = not has_run_before and self._era <= FIRST_ERA
        else:
            is_complete = self._stored.era >= self._era
        if not is_complete:
            self._versions.on_unknown(now)
        self._is_read = True
        self._versions.on_record_read()
        return is_complete

    def to_write(self, now: float) -> StoredVersions | None:
        """The record as it should be; None while nothing has to be written."""
        if not self._is_read:
            return None
        stored = self._stored or StoredVersions(era=self._era)
        seen = self._versions.seen(now)
        added = {version for version in seen - stored.recorded if self._is_missing(version)}
        wanted = (stored.recorded & seen) | added
        desired = _bounded(wanted, self._versions.has_unknown(now), self._era)
        return desired if desired != stored else None

    def _is_missing(self, seen: ServiceVersion) -> bool:
        """Whether a version that isn't recorded has to be.

        One that was recorded in this era has been removed by a gateway at which it expired first.
        """
        is_listed = self._versions.is_listed(seen.service, seen.version)
        return is_listed or seen not in self._recorded_in_era


def _bounded(wanted: set[ServiceVersion], has_unknown: bool, era: int) -> StoredVersions:
    versions: dict[str, list[str]] = {}
    for service, version in sorted(wanted)[:MAX_RECORDED_VERSIONS]:
        versions.setdefault(service, []).append(version)
    return StoredVersions(versions, has_unknown or len(wanted) > MAX_RECORDED_VERSIONS, era)
