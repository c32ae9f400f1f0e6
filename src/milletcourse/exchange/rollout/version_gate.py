"""Which weight versions may still run, and which one a server has to load; no input/output.

Within a bounded time after its release, a version must be the only one that runs. Until then older
versions may be used, so that versions released in quick succession need only one rollout.
"""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.records import ModelTarget
from milletcourse.exchange.rollout.rollout_timing import GRACE_SECONDS, ReleaseCadence

USE_MARGIN_SECONDS = 1.0
"""An older version gets no new work from this long before its deadline."""
START_MARGIN_SECONDS = 0.2
"""Work queued at a server is withdrawn this long before the deadline of the server's version."""
UNKNOWN_AGE_USE_SECONDS = 2.5
"""A starting gateway can't know when a version was released, so it lets older ones run for this
long, which is less than the time after which a started machine has to meet the deadline."""


class _Release(msgspec.Struct):
    version: int
    released_at: float


class VersionGate:
    """Released versions of each model with the time at which this process learned of them."""

    def __init__(self, bound_seconds: float) -> None:
        self.bound_seconds = bound_seconds
        self._releases: dict[str, list[_Release]] = {}
        self._cadences: dict[str, ReleaseCadence] = {}

    def on_target(self, target: ModelTarget, now: float, just_started: bool = False) -> bool:
        """Records a released version; returns True when it is newer than all earlier ones."""
        releases = self._releases.setdefault(target.model, [])
        if releases and releases[-1].version >= target.version:
            return False
        at = now
        if just_started:
            at = now - self.bound_seconds + USE_MARGIN_SECONDS + UNKNOWN_AGE_USE_SECONDS
        releases.append(_Release(target.version, at))
        if not just_started:
            self._cadences.setdefault(target.model, ReleaseCadence()).on_release(now)
        return True

    def newest(self, model: str) -> int | None:
        """The latest released version of a model, None before the first."""
        releases = self._releases.get(model)
        return releases[-1].version if releases else None

    def deadline_of(self, model: str, version: int) -> float | None:
        """Deadline after which a version may not start work, None while it is the latest."""
        for release in self._releases.get(model, ()):
            if release.version > version:
                return release.released_at + self.bound_seconds
        return None

    def superseded_at(self, model: str, version: int) -> float | None:
        """Time of the first release after a version, None while it is the latest."""
        deadline = self.deadline_of(model, version)
        return None if deadline is None else deadline - self.bound_seconds

    def is_superseded(self, model: str, version: int, now: float) -> bool:
        """Whether a version has been superseded for longer than the grace time."""
        superseded_at = self.superseded_at(model, version)
        return superseded_at is not None and now - superseded_at > GRACE_SECONDS

    def seconds_to_next(self, model: str, now: float) -> float:
        """Expected time until a model's next version is released."""
        cadence = self._cadences.get(model)
        return 0.0 if cadence is None else cadence.seconds_to_next(now, self.bound_seconds)

    def permits(self, model: str, version: int, now: float) -> bool:
        """Whether new work may be sent to a server that has this version."""
        deadline = self.deadline_of(model, version)
        return deadline is None or now < deadline - USE_MARGIN_SECONDS

    def start_by(self, model: str, version: int) -> float:
        """Time by which work on a version must have started; infinite while it is the latest."""
        deadline = self.deadline_of(model, version)
        return float("inf") if deadline is None else deadline - START_MARGIN_SECONDS

    def forget_before(self, now: float) -> None:
        """Drops versions superseded long ago, except the first newer one, which sets a deadline."""
        for releases in self._releases.values():
            while len(releases) > 2 and releases[1].released_at + self.bound_seconds < now:
                del releases[0]
