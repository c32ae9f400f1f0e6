"""Whether the configuration in the store may be believed after a return; no input/output.

A store that comes back from an older copy may have lost a configuration that it had acknowledged,
and none of its answers shows that: only the operator knows, and writes it again. Until then a call
to the store proves nothing about keys. Proofs from before the return hold until they are too old.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition

FIRST_ERA = 0
"""A store in this era, or one that tells none, has never come back."""
WRITTEN_AGAIN_SECONDS = 5.0
"""An operator who has lost something writes it again within this time of the return."""
MAX_TOLD_AHEAD = 16
"""Eras that were told and not found here yet; a wrong one doesn't keep out the right one."""


class EraEvidence(Enum):
    """Why an era is confirmed."""

    WRITTEN = "written"
    """The operator has written in it."""
    TIME = "time"
    """The operator had the time to write."""
    TOLD = "told"
    """Another gateway knows it to be confirmed."""


OnConfirmed = Callable[[int, EraEvidence], None]
"""Told of an era that is confirmed now, and why."""


class ConfirmedEra:
    """Follows the eras of the store, and which of them is confirmed.

    Attributes:
        latest: The latest era that was found here and is confirmed.
    """

    def __init__(self, on_confirmed: OnConfirmed) -> None:
        self.latest = UNKNOWN_ERA
        self._on_confirmed = on_confirmed
        self._found_at = StorePosition(UNKNOWN_ERA, 0)
        self._ended_at: StorePosition | None = None
        self._confirmed_from = float("-inf")
        self._told_ahead: set[int] = set()

    def on_era(self, place: StorePosition, before: StorePosition | None, now: float) -> None:
        """The store was found in another era than before.

        Args:
            place: State in which it was found.
            before: Latest known state of the era that has ended, None for the first era.
            now: Monotonic time.
        """
        self._found_at = place
        self._ended_at = before
        self._confirmed_from = now + WRITTEN_AGAIN_SECONDS
        if place.era in self._told_ahead:
            self._confirm(place.era, EraEvidence.TOLD)
        self._told_ahead = {era for era in self._told_ahead if era > place.era}

    def on_told(self, era: int) -> None:
        """Another gateway knows this era to be confirmed, maybe before it was found here."""
        if era == self._found_at.era:
            self._confirm(era, EraEvidence.TOLD)
        elif era > self._found_at.era and len(self._told_ahead) < MAX_TOLD_AHEAD:
            self._told_ahead.add(era)

    def on_configuration(self, place: StorePosition, known: StorePosition | None) -> None:
        """The configuration's last change, as the store shows it.

        Args:
            place: Its place.
            known: Place of the change that was known before, None before the first.
        """
        is_later = place.era == self._found_at.era and place > self._found_at
        if is_later or self._is_rewritten(place, known):
            self._confirm(place.era, EraEvidence.WRITTEN)

    def _is_rewritten(self, place: StorePosition, known: StorePosition | None) -> bool:
        """Whether the ended era had no change of the configuration at this revision."""
        ended_at = self._ended_at
        if ended_at is None or known is None or known.era != ended_at.era:
            return False
        return known < StorePosition(ended_at.era, place.revision) <= ended_at

    def confirms(self, now: float) -> bool:
        """Whether the store's present era is confirmed."""
        era = self._found_at.era
        if era <= FIRST_ERA:
            return True
        if now >= self._confirmed_from:
            self._confirm(era, EraEvidence.TIME)
        return era == self.latest

    def _confirm(self, era: int, evidence: EraEvidence) -> None:
        if era > max(self.latest, FIRST_ERA):
            self.latest = era
            self._on_confirmed(era, evidence)
