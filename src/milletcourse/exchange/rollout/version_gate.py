"""Which weight versions may still run, and which a server is due to take; no input/output.

A version is named at some moment and must be the only one that runs soon after. Until then an
older one may be used, which lets versions that are named in quick succession be rolled out once.
"""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.records import ModelTarget
from milletcourse.exchange.rollout.rollout_timing import GRACE_SECONDS, ReleaseCadence

USE_MARGIN_SECONDS = 1.0
"""An older version gets no new work this long before its bound."""
START_MARGIN_SECONDS = 0.2
"""Work that waits at a server is taken back this long before the bound of the server's version."""
UNKNOWN_AGE_USE_SECONDS = 2.5
"""A gateway that starts can't know when a version was named; it lets older ones run this long,
less than the time after which a started machine is held to the bound."""


class _Release(msgspec.Struct):
    version: int
    released_at: float


class VersionGate:
    """Named versions of each model with the time at which this process learnt of them."""

    def __init__(self, bound_seconds: float) -> None:
        self.bound_seconds = bound_seconds
        self._releases: dict[str, list[_Release]] = {}
        self._cadences: dict[str, ReleaseCadence] = {}

    def on_target(self, target: ModelTarget, now: float, just_started: bool = False) -> bool:
        """A version was named; True when it is newer than all before it."""
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
        """The newest named version."""
        releases = self._releases.get(model)
        return releases[-1].version if releases else None

    def bound_of(self, model: str, version: int) -> float | None:
        """Time at which a version may not start work any more, None while it is the newest."""
        for release in self._releases.get(model, ()):
            if release.version > version:
                return release.released_at + self.bound_seconds
        return None

    def superseded_at(self, model: str, version: int) -> float | None:
        """When a version newer than this one was named first, None while it is the newest."""
        bound = self.bound_of(model, version)
        return None if bound is None else bound - self.bound_seconds

    def is_superseded(self, model: str, version: int, now: float) -> bool:
        """Whether a version was superseded for longer than the grace time."""
        superseded_at = self.superseded_at(model, version)
        return superseded_at is not None and now - superseded_at > GRACE_SECONDS

    def seconds_to_next(self, model: str, now: float) -> float:
        """Expected time until a model's next version is named."""
        cadence = self._cadences.get(model)
        return 0.0 if cadence is None else cadence.seconds_to_next(now, self.bound_seconds)

    def permits(self, model: str, version: int, now: float) -> bool:
        """Whether new work may go to a server that has this version."""
        bound = self.bound_of(model, version)
        return bound is None or now < bound - USE_MARGIN_SECONDS

    def start_by(self, model: str, version: int) -> float:
        """Time by which work on a version must have started; infinite while it is the newest."""
        bound = self.bound_of(model, version)
        return float("inf") if bound is None else bound - START_MARGIN_SECONDS

    def forget_before(self, now: float) -> None:
        """Drop versions that were superseded long ago; the first newer one keeps the bound."""
        for releases in self._releases.values():
            while len(releases) > 2 and releases[1].released_at + self.bound_seconds < now:
                del releases[0]
