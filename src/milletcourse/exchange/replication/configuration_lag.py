"""Which requests may be decided by a configuration that a newer one is about to replace; no I/O.

A gateway may know that a change is out before it has it: its content is still coming, from the
store or from a reader. The change is due some time after its acknowledgement, which isn't known;
what is known is a moment at which it wasn't out. That is the latest proof without it, or the moment
at which the call was sent that brings it: its predecessor had just come back without the change.
"""

from __future__ import annotations

from enum import Enum

from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.replication.configuration_effect import EffectView

LAG_MARGIN_SECONDS = 0.05
"""Requests are refused this long before the change is due."""


class LagVerdict(Enum):
    """What holds for a request while a change is on its way."""

    UNAFFECTED = "as-before"
    REVOKED = "revoked"
    """Its key is taken away by the change."""
    STALE = "stale"
    """The change may concern it, and is due."""


class ConfigurationLag:
    """Follows one change, or several on top of each other, until all are in force.

    Attributes:
        not_out_at: Latest monotonic time at which no change was out that isn't in force here; None
            while none is out.
    """

    def __init__(self, apply_seconds: float) -> None:
        """No change is out.

        Args:
            apply_seconds: A configuration is due so long after its acknowledgement.
        """
        self.apply_seconds = apply_seconds
        self.not_committed_at: float | None = None
        self._effect: EffectView | None = None

    @property
    def is_behind(self) -> bool:
        """Whether a change is out that isn't in force here."""
        return self.not_committed_at is not None

    @property
    def knows_effect(self) -> bool:
        """Whether it is known what the change concerns."""
        return self._effect is not None

    def on_announced(self, not_committed_at: float, effect: ConfigurationEffect | None) -> None:
        """A change is out.

        Args:
            not_out_at: Monotonic time at which it wasn't out yet.
            effect: All that is out changes this from what is in force here, None when that isn't
                known.
        """
        if self.not_committed_at is None:
            self.not_committed_at = not_committed_at
        try:
            self._effect = EffectView(effect) if effect is not None else None
        except ValueError:
            # What can't be understood may concern everything.
            self._effect = None

    def on_current(self) -> None:
        """All that is known to be out is in force."""
        self.not_committed_at = None
        self._effect = None

    def judge(self, now: float, host: str, path: str, key: str) -> LagVerdict:
        """What holds for a request.

        Args:
            now: Monotonic time.
            host: Value of its Host header.
            path: Its path.
            key: Its key, empty without one.
        """
        if self.not_committed_at is None:
            return LagVerdict.UNAFFECTED
        if key and self._effect is not None and self._effect.revokes(key):
            return LagVerdict.REVOKED
        due_at = self.not_committed_at + self.apply_seconds - LAG_MARGIN_SECONDS
        if now < due_at or not self.may_affect(host, path, key):
            return LagVerdict.UNAFFECTED
        return LagVerdict.STALE

    def may_affect(self, host: str, path: str, key: str) -> bool:
        """Whether the change may treat a request otherwise."""
        if self.not_committed_at is None:
            return False
        return self._effect is None or self._effect.affects(host, path, key)
