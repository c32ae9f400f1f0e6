"""Log lines and figures of the object store's history: its eras, and who is behind or ahead."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.exchange.replication.confirmed_era import EraEvidence
from milletcourse.gateway.telemetry.aborted_call import AbortedCall
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink

MAX_NAMES = 8
"""Of objects that differ after a return, its line names no more."""


class StoreRestore(msgspec.Struct, frozen=True):
    """The store has come back from an older copy, as seen in one kind of objects.

    Attributes:
        kind: Kind of the objects.
        before: State up to which they were known.
        after: State that was found.
        missing: Names of objects that were known and aren't there.
        changed: Names of objects whose content is another one than was known.
    """

    kind: str
    before: StorePosition
    after: StorePosition
    missing: list[str]
    changed: list[str]


class StoreRecorder:
    """Writes a line when the store comes back from an older copy, and when histories differ."""

    def __init__(self, log: EventLog, metrics: MetricsSink) -> None:
        self._log = log
        self._metrics = metrics
        self._has_logged_unreadable_era = False
        self._logged_outdated_era: dict[str, int] = {}
        self._kinds_ahead: set[str] = set()

    def era(self, before: int | None, era: int) -> None:
        """An answer of the store named a later era.

        Args:
            before: The latest era until now, None before the first answer.
            era: Its era.
        """
        self._log.emit("store-era", before=before, era=era)

    def era_confirmed(self, era: int, evidence: EraEvidence) -> None:
        """The configuration in the store may be believed again.

        Args:
            era: The store's era.
            evidence: Why.
        """
        self._log.emit("store-era-confirmed", era=era, evidence=evidence.value)

    def store_restored(self, store_return: StoreRestore) -> None:
        """The store has come back from an older copy, as one kind of objects shows."""
        self._metrics.on_store_restored()
        self._log.emit(
            "store-returned",
            kind=store_return.kind,
            before=_position_fields(store_return.before),
            after=_position_fields(store_return.after),
            missing=len(store_return.missing),
            changed=len(store_return.changed),
            names=[*store_return.missing, *store_return.changed][:MAX_NAMES],
        )

    def entry_rewritten(self, position: StorePosition) -> None:
        """This gateway's own entry, which the store had lost, is there again."""
        self._log.emit("entry-written-again", place=_position_fields(position))

    def call_aborted(self, call: AbortedCall) -> None:
        """The answer to a call began, and did not become whole."""
        self._log.emit(
            "call-given-up",
            address=call.address,
            target=call.target,
            received_bytes=call.received_bytes,
            seconds=round(call.seconds, 3),
        )

    def configuration_lost(self, version: int, in_force: int) -> None:
        """Another gateway has a configuration in force that the store has lost.

        Args:
            version: Its version.
            in_force: Version in force here.
        """
        self._log.emit("configuration-lost", version=version, in_force=in_force)

    def configuration_announced(self, knows_effect: bool) -> None:
        """A newer configuration is out, and on its way here.

        Args:
            knows_effect: It is known which requests it concerns.
        """
        self._log.emit("configuration-announced", knows_effect=knows_effect)

    def content_differs(self, kind: str, reader: str, problem: str) -> None:
        """A content that a reader told gives something else than it announced.

        Args:
            kind: Kind of the object.
            reader: Name of the reader.
            problem: What is wrong with it.
        """
        self._log.emit("content-differs", kind=kind, reader=reader, problem=problem)

    def era_unreadable(self) -> None:
        """The era of an answer is missing, or can't be understood; told once."""
        if not self._has_logged_unreadable_era:
            self._has_logged_unreadable_era = True
            self._log.emit("store-era-unreadable")

    def answer_outdated(self, kind: str, era: int, known: int) -> None:
        """An answer is of a former era than one before it; told once a kind and era.

        Args:
            kind: Kind of the objects.
            era: Era of the answer.
            known: The latest era.
        """
        if self._logged_outdated_era.get(kind) != known:
            self._logged_outdated_era[kind] = known
            self._log.emit("store-answer-outdated", kind=kind, era=era, known=known)

    def configuration_outdated(self, found: int, known: int) -> None:
        """The store holds an older configuration than is in force here.

        Args:
            found: Version in the store.
            known: Version in force.
        """
        self._log.emit("configuration-outdated", found=found, known=known)

    def list_outdated(self, kind: str, listed: StorePosition, known: StorePosition) -> None:
        """A list of a kind was thrown away, since a later state is known.

        Args:
            kind: Kind of the objects.
            listed: State that the list shows.
            known: State up to which the kind is known.
        """
        self._log.emit(
            "store-list-outdated",
            kind=kind,
            listed=_position_fields(listed),
            known=_position_fields(known),
        )

    def follower_position(self, kind: str, asked: StorePosition, known: StorePosition) -> None:
        """A follower asks with the state that it knows; a line when it is later than ours.

        Args:
            kind: Kind of the objects.
            asked: State up to which the follower knows them.
            known: State up to which they are known here.
        """
        if asked <= known:
            self._kinds_ahead.discard(kind)
        elif kind not in self._kinds_ahead:
            self._kinds_ahead.add(kind)
            self._log.emit(
                "follower-ahead",
                kind=kind,
                asked=_position_fields(asked),
                known=_position_fields(known),
            )


def _position_fields(position: StorePosition) -> dict[str, int]:
    return msgspec.structs.asdict(position)
