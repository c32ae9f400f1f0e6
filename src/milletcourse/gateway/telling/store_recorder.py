"""Log lines and figures of the object store's history: its eras, and who is behind or ahead."""

from __future__ import annotations

from milletcourse.gateway.telling.event_log import EventLog
from milletcourse.gateway.telling.figures import Figures


class StoreRecorder:
    """Writes a line when the store comes back from an older copy, and when histories differ."""

    def __init__(self, log: EventLog, figures: Figures) -> None:
        self._log = log
        self._figures = figures
        self._told_unreadable = False
        self._kinds_ahead: set[str] = set()

    def era(self, before: int | None, era: int) -> None:
        """An answer of the store named a later era.

        Args:
            before: The latest era until now, None before the first answer.
            era: Its era.
        """
        self._log.emit("store-era", before=before, era=era)

    def era_unreadable(self) -> None:
        """The era of an answer can't be understood; told once."""
        if not self._told_unreadable:
            self._told_unreadable = True
            self._log.emit("store-era-unreadable")

    def list_outdated(self, kind: str, listed: int, known: int) -> None:
        """A list of a kind was thrown away, since a later state is known.

        Args:
            kind: Kind of the objects.
            listed: Revision of the list.
            known: Revision up to which the kind is known.
        """
        self._log.emit("store-list-outdated", kind=kind, listed=listed, known=known)

    def follower_position(self, kind: str, asked: int, known: int) -> None:
        """A follower asks with the revision that it knows; a line when it is later than ours.

        Args:
            kind: Kind of the objects.
            asked: Revision that the follower knows.
            known: Revision that is known here.
        """
        if asked <= known:
            self._kinds_ahead.discard(kind)
        elif kind not in self._kinds_ahead:
            self._kinds_ahead.add(kind)
            self._log.emit("follower-ahead", kind=kind, asked=asked, known=known)
