"""Log lines and metrics of the object store's history: eras, restores, stale or newer positions."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.exchange.replication.confirmed_era import EraEvidence
from milletcourse.gateway.telemetry.aborted_call import AbortedCall
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink

MAX_NAMES = 8
"""Limit of the objects that the log line of a restore names."""


class StoreRestore(msgspec.Struct, frozen=True):
    """A restore of the store from an older snapshot, as seen in one kind of objects.

    Attributes:
        kind: Kind of the objects.
        before: Position up to which they were known.
        after: Position after the restore.
        missing: Names of known objects that the store has lost.
        changed: Names of objects whose content differs from the known one.
    """

    kind: str
    before: StorePosition
    after: StorePosition
    missing: list[str]
    changed: list[str]


class ReuseScopeChange(msgspec.Struct, frozen=True):
    """The scope in which tenants share prompt state has changed with the set of isolated tenants.

    Attributes:
        version: Version of the configuration that changed it.
        isolated: Names of the tenants that are isolated from now on.
        no_longer_isolated: Names of the tenants that were isolated, and share now or are removed.
        models: Models whose cached parts are left behind.
        cold_parts: Parts that this gateway has recently sent, and assumed to be cached.
    """

    version: int
    isolated: list[str]
    no_longer_isolated: list[str]
    models: list[str]
    cold_parts: int


class StoreRecorder:
    """Logs restores of the store from an older snapshot, and differences between histories."""

    def __init__(self, log: EventLog, metrics: MetricsSink) -> None:
        self._log = log
        self._metrics = metrics
        self._has_logged_unreadable_era = False
        self._logged_outdated_era: dict[str, int] = {}
        self._kinds_ahead: set[str] = set()

    def era(self, before: int | None, era: int) -> None:
        """An answer of the store contained a later era.

        Args:
            before: The latest era until now, None before the first answer.
            era: The new era.
        """
        self._log.emit("store-era", before=before, era=era)

    def era_confirmed(self, era: int, evidence: EraEvidence) -> None:
        """The configuration in the store is confirmed after a restore.

        Args:
            era: The store's era.
            evidence: Evidence that confirms it.
        """
        self._log.emit("store-era-confirmed", era=era, evidence=evidence.value)

    def store_restored(self, store_restore: StoreRestore) -> None:
        """One kind of objects shows that the store was restored from an older snapshot."""
        self._metrics.on_store_restored()
        self._log.emit(
            "store-returned",
            kind=store_restore.kind,
            before=_position_fields(store_restore.before),
            after=_position_fields(store_restore.after),
            missing=len(store_restore.missing),
            changed=len(store_restore.changed),
            names=[*store_restore.missing, *store_restore.changed][:MAX_NAMES],
        )

    def entry_rewritten(self, position: StorePosition) -> None:
        """This gateway's own entry, which the store had lost in a restore, is stored again."""
        self._log.emit("entry-written-again", place=_position_fields(position))

    def call_aborted(self, call: AbortedCall) -> None:
        """A call was aborted after its answer had started."""
        self._log.emit(
            "call-given-up",
            address=call.address,
            target=call.target,
            received_bytes=call.received_bytes,
            seconds=round(call.seconds, 3),
        )

    def configuration_lost(self, version: int, in_force: int) -> None:
        """Another gateway has a configuration in force that the store lost in a restore.

        Args:
            version: Version of that configuration.
            in_force: Version in force here.
        """
        self._log.emit("configuration-lost", version=version, in_force=in_force)

    def reuse_scope_changed(self, change: ReuseScopeChange) -> None:
        """Tenants that share prompt state go on in another scope, without what they have made."""
        self._log.emit(
            "reuse-scope-changed",
            version=change.version,
            isolated=change.isolated[:MAX_NAMES],
            no_longer_isolated=change.no_longer_isolated[:MAX_NAMES],
            models=change.models[:MAX_NAMES],
            cold_parts=change.cold_parts,
        )

    def configuration_announced(self, knows_effect: bool) -> None:
        """A newer configuration was announced, and has not been received yet.

        Args:
            knows_effect: Whether it is known which requests it affects.
        """
        self._log.emit("configuration-announced", knows_effect=knows_effect)

    def content_differs(self, kind: str, reader: str, problem: str) -> None:
        """A content received from a reader differs from what the reader announced.

        Args:
            kind: Kind of the object.
            reader: Name of the reader.
            problem: Problem that was found.
        """
        self._log.emit("content-differs", kind=kind, reader=reader, problem=problem)

    def era_unreadable(self) -> None:
        """The era of an answer is missing or malformed; logged once."""
        if not self._has_logged_unreadable_era:
            self._has_logged_unreadable_era = True
            self._log.emit("store-era-unreadable")

    def answer_outdated(self, kind: str, era: int, known: int) -> None:
        """An answer has an older era than a previous one; logged once per kind and latest era.

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
        """A list of a kind was discarded, since a later position is known.

        Args:
            kind: Kind of the objects.
            listed: Position of the list.
            known: Position up to which the kind is known.
        """
        self._log.emit(
            "store-list-outdated",
            kind=kind,
            listed=_position_fields(listed),
            known=_position_fields(known),
        )

    def follower_position(self, kind: str, follower: StorePosition, known: StorePosition) -> None:
        """A follower polls with its position; logged once per kind while it is ahead of ours.

        Args:
            kind: Kind of the objects.
            follower: Position up to which the follower knows them.
            known: Position up to which they are known here.
        """
        if follower <= known:
            self._kinds_ahead.discard(kind)
        elif kind not in self._kinds_ahead:
            self._kinds_ahead.add(kind)
            self._log.emit(
                "follower-ahead",
                kind=kind,
                asked=_position_fields(follower),
                known=_position_fields(known),
            )


def _position_fields(position: StorePosition) -> dict[str, int]:
    return msgspec.structs.asdict(position)
