"""Whether the configuration in the store may be believed after a return; no input/output.

A store that comes back from an older copy may have lost a configuration that it had acknowledged,
and none of its answers shows that: only the operator knows, and writes it again. Until then a call
to the store proves nothing about keys. Proofs from before the return hold until they are too old.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from milletcourse.exchange.messages.store_place import UNKNOWN_ERA, StorePlace

FIRST_ERA = 0
"""A store in this era, or one that tells none, has never come back."""
OPERATOR_REWRITE_SECONDS = 5.0
"""An operator who has lost something writes it again within this time of the return."""
MAX_ERAS_AHEAD = 16
"""Eras that were told and not found here yet; a wrong one doesn't keep out the right one."""


class EraEvidence(Enum):
    """Why an era is confirmed."""

    WRITTEN = "written"
    """The operator has written in it."""
    TIME = "time"
    """The operator had the time to write."""
    ANNOUNCED = "told"
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
        self._observed_at = StorePlace(UNKNOWN_ERA, 0)
        self._previous_end: StorePlace | None = None
        self._confirmed_from = float("-inf")
        self._announced_ahead: set[int] = set()

    def on_era(self, position: StorePlace, before: StorePlace | None, now: float) -> None:
        """The store was found in another era than before.

        Args:
            place: State in which it was found.
            before: Latest known state of the era that has ended, None for the first era.
            now: Monotonic time.
        """
        self._observed_at = position
        self._previous_end = before
        self._confirmed_from = now + OPERATOR_REWRITE_SECONDS
        if position.era in self._announced_ahead:
            self._confirm(position.era, EraEvidence.ANNOUNCED)
        self._announced_ahead = {era for era in self._announced_ahead if era > position.era}

    def on_peer_confirmed(self, era: int) -> None:
        """Another gateway knows this era to be confirmed, maybe before it was found here."""
        if era == self._observed_at.era:
            self._confirm(era, EraEvidence.ANNOUNCED)
        elif era > self._observed_at.era and len(self._announced_ahead) < MAX_ERAS_AHEAD:
            self._announced_ahead.add(era)

    def on_configuration(self, position: StorePlace, known: StorePlace | None) -> None:
        """The configuration's last change, as the store shows it.

        Args:
            place: Its place.
            known: Place of the change that was known before, None before the first.
        """
        is_later = position.era == self._observed_at.era and position > self._observed_at
        if is_later or self._is_rewritten(position, known):
            self._confirm(position.era, EraEvidence.WRITTEN)

    def _is_rewritten(self, position: StorePlace, known: StorePlace | None) -> bool:
        """Whether the ended era had no change of the configuration at this revision."""
        ended_at = self._previous_end
        if ended_at is None or known is None or known.era != ended_at.era:
            return False
        return known < StorePlace(ended_at.era, position.revision) <= ended_at

    def confirms(self, now: float) -> bool:
        """Whether the store's present era is confirmed."""
        era = self._observed_at.era
        if era <= FIRST_ERA:
            return True
        if now >= self._confirmed_from:
            self._confirm(era, EraEvidence.TIME)
        return era == self.latest

    def _confirm(self, era: int, evidence: EraEvidence) -> None:
        if era > max(self.latest, FIRST_ERA):
            self.latest = era
            self._on_confirmed(era, evidence)
