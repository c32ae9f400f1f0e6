"""Whether the store's configuration may be trusted after a restore; no input/output.

A store that was restored from an older snapshot may have lost a configuration that it had
acknowledged, and none of its answers shows that: only the operator knows, and must write it again.
Until then a call to the store proves nothing about API keys. Proofs from before the restore stay
valid until they expire.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition

FIRST_ERA = 0
"""A store in this era, or one that reports none, has never been restored."""
OPERATOR_REWRITE_SECONDS = 5.0
"""An operator whose change was lost writes it again within this time after the restore."""
MAX_ERAS_AHEAD = 16
"""Maximum number of announced eras that are kept until they are observed here. A wrong announcement
doesn't displace the right one."""


class EraEvidence(Enum):
    """Why an era is confirmed."""

    WRITTEN = "written"
    """The operator has written the configuration in it."""
    TIME = "time"
    """`OPERATOR_REWRITE_SECONDS` have passed since the era was observed."""
    ANNOUNCED = "told"
    """Another gateway announced it as confirmed."""


OnConfirmed = Callable[[int, EraEvidence], None]
"""Callback for a newly confirmed era, with the reason."""


class ConfirmedEra:
    """Tracks the eras of the store, and which of them is confirmed.

    Attributes:
        latest: The latest era that was observed here and is confirmed.
    """

    def __init__(self, on_confirmed: OnConfirmed) -> None:
        self.latest = UNKNOWN_ERA
        self._on_confirmed = on_confirmed
        self._observed_position = StorePosition(UNKNOWN_ERA, 0)
        self._previous_era_end: StorePosition | None = None
        self._confirmed_from = float("-inf")
        self._announced_ahead: set[int] = set()

    def on_era(self, position: StorePosition, before: StorePosition | None, now: float) -> None:
        """Record that the store was observed in another era than before.

        Args:
            position: Position at which the store was observed.
            before: Latest known position in the previous era, None for the first era.
            now: Monotonic time.
        """
        self._observed_position = position
        self._previous_era_end = before
        self._confirmed_from = now + OPERATOR_REWRITE_SECONDS
        if position.era in self._announced_ahead:
            self._confirm(position.era, EraEvidence.ANNOUNCED)
        self._announced_ahead = {era for era in self._announced_ahead if era > position.era}

    def on_peer_confirmed(self, era: int) -> None:
        """Another gateway announced an era as confirmed, maybe before it was observed here."""
        if era == self._observed_position.era:
            self._confirm(era, EraEvidence.ANNOUNCED)
        elif era > self._observed_position.era and len(self._announced_ahead) < MAX_ERAS_AHEAD:
            self._announced_ahead.add(era)

    def on_configuration(self, position: StorePosition, known: StorePosition | None) -> None:
        """Evaluate the latest change of the configuration that the store reports.

        Args:
            position: Position of that change.
            known: Position of the change known before, None before the first.
        """
        is_later = (
            position.era == self._observed_position.era and position > self._observed_position
        )
        if is_later or self._is_rewritten(position, known):
            self._confirm(position.era, EraEvidence.WRITTEN)

    def _is_rewritten(self, position: StorePosition, known: StorePosition | None) -> bool:
        """Whether the previous era had no change of the configuration at this revision."""
        previous_end = self._previous_era_end
        if previous_end is None or known is None or known.era != previous_end.era:
            return False
        return known < StorePosition(previous_end.era, position.revision) <= previous_end

    def confirms(self, now: float) -> bool:
        """Whether the store's current era is confirmed."""
        era = self._observed_position.era
        if era <= FIRST_ERA:
            return True
        if now >= self._confirmed_from:
            self._confirm(era, EraEvidence.TIME)
        return era == self.latest

    def _confirm(self, era: int, evidence: EraEvidence) -> None:
        if era > max(self.latest, FIRST_ERA):
            self.latest = era
            self._on_confirmed(era, evidence)
