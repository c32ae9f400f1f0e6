"""Compares the objects that a gateway has cached with those in the object store, for operators."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.object_store import ObjectStoreClient, StoredObject, StoreError


class KindComparison(msgspec.Struct, frozen=True):
    """One kind of objects, at this gateway and in the store.

    Attributes:
        kind: Kind of the objects.
        era: Era of the store position known here, None before the first list.
        revision: Revision of that position.
        proved_seconds_ago: Age of the latest proof that there were no later changes; None when
            there is none.
        objects: Objects in the store.
        missing: Names that only the store has.
        extra: Names that only this gateway has.
        different: Names whose content differs.
        problem: Why the store couldn't be read; empty when it could.
    """

    kind: str
    era: int | None
    revision: int | None
    proved_seconds_ago: float | None
    objects: int = 0
    missing: list[str] = []
    extra: list[str] = []
    different: list[str] = []
    problem: str = ""

    @property
    def is_equal(self) -> bool:
        """Whether the store was read, and holds the same objects."""
        return not (self.missing or self.extra or self.different or self.problem)


class StoreState(msgspec.Struct, frozen=True):
    """A gateway's view of the store.

    Attributes:
        gateway: Its name.
        configuration: Version in force, None before the first one.
        reads_store: It reads the store itself.
        followed_reader: Gateway that it follows instead; empty when there is none.
        kinds: All kinds of objects that it follows.
    """

    gateway: str
    configuration: int | None
    reads_store: bool
    followed_reader: str
    kinds: list[KindComparison]


async def compare_kinds(
    store: ObjectStoreClient, mirrors: Sequence[KindMirror], now: float
) -> list[KindComparison]:
    """Read each kind from the store, and compare it with the cache.

    A change that is being replicated shows as a difference, so one comparison proves nothing.
    """
    return [await _compare(store, mirror, now) for mirror in mirrors]


async def _compare(store: ObjectStoreClient, mirror: KindMirror, now: float) -> KindComparison:
    position = mirror.position
    known = KindComparison(
        mirror.kind,
        position.era if position is not None else None,
        position.revision if position is not None else None,
        round(now - mirror.proved_at, 3) if position is not None else None,
    )
    try:
        listed, _, _ = await store.list_all(mirror.kind)
    except StoreError as error:
        return msgspec.structs.replace(known, problem=str(error))
    return _with_differences(known, mirror.specs(), listed)


def _with_differences(
    known: KindComparison, here: dict[str, bytes], listed: list[StoredObject]
) -> KindComparison:
    there = {stored.name: stored.spec for stored in listed}
    return msgspec.structs.replace(
        known,
        objects=len(there),
        missing=sorted(name for name in there if name not in here),
        extra=sorted(name for name in here if name not in there),
        different=sorted(name for name in there if name in here and there[name] != here[name]),
    )
