"""Sums of entries by key that can be taken back one by one; no input/output."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar


class _Summable(Protocol):
    """What several senders tell of the same subject, so that it adds up."""

    @property
    def key(self) -> int:
        """Identity of the subject."""
        ...

    @property
    def is_zero(self) -> bool:
        """Whether it may as well be left out."""
        ...

    def plus(self: EntryT, other: EntryT, /) -> EntryT:
        """The sum with another entry of the same subject."""
        ...

    def minus(self: EntryT, other: EntryT, /) -> EntryT:
        """The sum without one of its parts."""
        ...


EntryT = TypeVar("EntryT", bound=_Summable)


class KeyedSums(Generic[EntryT]):
    """Sums of entries, kept up to date, since they are read more often than they change."""

    def __init__(self) -> None:
        self._sums: dict[int, EntryT] = {}

    def add(self, entries: Iterable[EntryT]) -> None:
        """Count entries in."""
        for entry in entries:
            known = self._sums.get(entry.key)
            self._sums[entry.key] = entry if known is None else known.plus(entry)

    def subtract(self, entries: Iterable[EntryT]) -> None:
        """Count entries out that were counted in before."""
        for entry in entries:
            known = self._sums.get(entry.key)
            if known is None:
                # Entries of nothing were left of the sum, and it has been dropped.
                continue
            left = known.minus(entry)
            if left.is_zero:
                del self._sums[entry.key]
            else:
                self._sums[entry.key] = left

    def get(self, key: int) -> EntryT | None:
        """The sum for one subject, None when nobody told of it."""
        return self._sums.get(key)

    def all(self) -> list[EntryT]:
        """The sums of all subjects."""
        return list(self._sums.values())

    def sorted_by_key(self) -> list[EntryT]:
        """The same in the order of their keys."""
        return [self._sums[key] for key in sorted(self._sums)]


def sum_by_key(*parts: Iterable[EntryT]) -> list[EntryT]:
    """The sum of several lists, in the order of their keys."""
    sums: KeyedSums[EntryT] = KeyedSums()
    for part in parts:
        sums.add(part)
    return sums.sorted_by_key()
