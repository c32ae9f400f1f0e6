"""Sums of entries by key from which entries can be subtracted again; no input/output."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar


class _Summable(Protocol):
    """An entry that several senders report for the same key, and that can be summed."""

    @property
    def key(self) -> int:
        """Key of the entry's subject."""
        ...

    @property
    def is_zero(self) -> bool:
        """Whether the entry is zero and can be dropped."""
        ...

    def plus(self: EntryT, other: EntryT, /) -> EntryT:
        """The sum with another entry of the same key."""
        ...

    def minus(self: EntryT, other: EntryT, /) -> EntryT:
        """The sum without one of its parts."""
        ...


EntryT = TypeVar("EntryT", bound=_Summable)


class KeyedSums(Generic[EntryT]):
    """Sums by key, updated on each change because they are read more often than they change."""

    def __init__(self) -> None:
        self._sums: dict[int, EntryT] = {}

    def add(self, entries: Iterable[EntryT]) -> None:
        """Adds entries to the sums."""
        for entry in entries:
            known = self._sums.get(entry.key)
            self._sums[entry.key] = entry if known is None else known.plus(entry)

    def subtract(self, entries: Iterable[EntryT]) -> None:
        """Subtracts entries that were added before."""
        for entry in entries:
            known = self._sums.get(entry.key)
            if known is None:
                # Only zero entries remained in the sum, so it has been dropped.
                continue
            left = known.minus(entry)
            if left.is_zero:
                del self._sums[entry.key]
            else:
                self._sums[entry.key] = left

    def get(self, key: int) -> EntryT | None:
        """The sum for one key, None when there is no entry."""
        return self._sums.get(key)

    def all(self) -> list[EntryT]:
        """The sums for all keys."""
        return list(self._sums.values())

    def sorted_by_key(self) -> list[EntryT]:
        """The sums for all keys, sorted by key."""
        return [self._sums[key] for key in sorted(self._sums)]


def sum_by_key(*parts: Iterable[EntryT]) -> list[EntryT]:
    """Sums several lists of entries by key; the result is sorted by key."""
    sums: KeyedSums[EntryT] = KeyedSums()
    for part in parts:
        sums.add(part)
    return sums.sorted_by_key()
