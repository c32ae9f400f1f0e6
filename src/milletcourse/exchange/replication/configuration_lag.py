"""Which requests the active configuration may still serve while a newer one is pending; no I/O.

A gateway may know that a change is committed before it has its content, which is still being
transferred from the store or from a reader. The change must be applied within a bound after its
acknowledgement. The time of the acknowledgement is unknown; known is a time at which the change was
not yet committed: the latest proof without it, or the send time of the call that returns it, since
the call before had just returned without the change.
"""

from __future__ import annotations

from enum import Enum

from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.replication.configuration_effect import EffectView

LAG_MARGIN_SECONDS = 0.05
"""Affected requests are refused from this long before the change must be applied."""


class LagVerdict(Enum):
    """How a request is treated while a change is pending."""

    UNAFFECTED = "as-before"
    REVOKED = "revoked"
    """The change revokes the key of the request."""
    STALE = "stale"
    """The change may affect the request, and must be applied by now."""


class ConfigurationLag:
    """Tracks one or several pending changes until all of them are applied.

    Attributes:
        not_committed_at: Latest monotonic time at which no change was committed that isn't applied
            here; None while no change is pending.
    """

    def __init__(self, apply_seconds: float) -> None:
        """Start without a pending change.

        Args:
            apply_seconds: Time after its acknowledgement within which a change must be applied.
        """
        self.apply_seconds = apply_seconds
        self.not_committed_at: float | None = None
        self._effect: EffectView | None = None

    @property
    def is_behind(self) -> bool:
        """Whether a committed change isn't applied here yet."""
        return self.not_committed_at is not None

    @property
    def knows_effect(self) -> bool:
        """Whether it is known which requests the change affects."""
        return self._effect is not None

    def on_announced(self, not_committed_at: float, effect: ConfigurationEffect | None) -> None:
        """Record that a change is committed and not applied here yet.

        Args:
            not_committed_at: Monotonic time at which it wasn't committed yet.
            effect: Difference between the applied configuration and all pending changes together,
                None when it isn't known.
        """
        if self.not_committed_at is None:
            self.not_committed_at = not_committed_at
        try:
            self._effect = EffectView(effect) if effect is not None else None
        except ValueError:
            # An effect that can't be decoded counts as affecting all requests.
            self._effect = None

    def on_current(self) -> None:
        """Record that all known changes are applied."""
        self.not_committed_at = None
        self._effect = None

    def judge(self, now: float, host: str, path: str, key: str) -> LagVerdict:
        """Decide how a request is treated.

        Args:
            now: Monotonic time.
            host: Value of its Host header.
            path: Its path.
            key: Its API key, empty without one.
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
        """Whether the pending change may alter how a request is treated."""
        if self.not_committed_at is None:
            return False
        return self._effect is None or self._effect.affects(host, path, key)
