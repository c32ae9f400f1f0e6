"""The slot leases that one gateway holds, and its reports of them; no input/output."""

from __future__ import annotations

from collections.abc import Mapping

from milletcourse.exchange.messages.slot_messages import (
    MAX_REPORTED_LEASES,
    MAX_SLOTS,
    EndedLease,
    HeldLeases,
    LeaseEnd,
)

ABORTED_SECONDS = 0.1
"""A server notices this much later that a request was aborted, and frees its slot."""


class LeaseBook:
    """Leases by server, from the request for one until its request has ended."""

    def __init__(self, first_number: int) -> None:
        """Start without any lease.

        Args:
            first_number: Above all numbers of an earlier process of this gateway, so that owners
                don't take its leases for current ones.
        """
        self.latest_number = first_number - 1
        self._held: dict[int, set[int]] = {}
        self._aborted: list[tuple[float, int, int]] = []
        self._reported: set[int] = set()

    def next_number(self) -> int:
        """A number that no other request for a permit has."""
        self.latest_number += 1
        return self.latest_number

    def open(self, key: int, number: int) -> None:
        """Record a lease that is about to be requested."""
        self._held.setdefault(key, set()).add(number)

    def holds(self, key: int, number: int) -> bool:
        """Whether a lease is held or requested."""
        return number in self._held.get(key, ())

    def count(self, key: int) -> int:
        """Number of leases at a server that are held or requested."""
        return len(self._held.get(key, ()))

    def end(self, key: int, number: int) -> bool:
        """Record the end of a lease; returns False when it had ended before."""
        numbers = self._held.get(key)
        if numbers is None or number not in numbers:
            return False
        numbers.discard(number)
        if not numbers:
            del self._held[key]
        return True

    def on_aborted(self, key: int, number: int, now: float) -> None:
        """Record a lease whose request this gateway aborted; it ends shortly after."""
        self._aborted.append((now + ABORTED_SECONDS, key, number))

    def take_due(self, now: float) -> list[EndedLease]:
        """End the leases of aborted requests whose slots have been freed by now."""
        due = [item for item in self._aborted if now >= item[0]]
        self._aborted = [item for item in self._aborted if now < item[0]]
        return [
            EndedLease(key, number, LeaseEnd.ENDED)
            for _, key, number in due
            if self.end(key, number)
        ]

    def report(self, key: int, requests: int) -> HeldLeases:
        """The leases at one server.

        Args:
            key: Key of the server's incarnation.
            requests: Number of this gateway's requests there, leased or not.
        """
        numbers = sorted(self._held.get(key, ()))[:MAX_REPORTED_LEASES]
        return HeldLeases(key, numbers, min(max(requests - len(numbers), 0), MAX_SLOTS))

    def due_reports(self, requests: Mapping[int, int]) -> list[HeldLeases]:
        """What is to be reported now: all leases, and once that there are none any more.

        Args:
            requests: This gateway's requests at each server whose slots are leased.
        """
        keys = sorted({*requests, *self._held, *self._reported})
        reports = [self.report(key, requests.get(key, 0)) for key in keys]
        reported = {item.key for item in reports if item.numbers or item.unleased}
        due = [item for item in reports if item.key in reported or item.key in self._reported]
        self._reported = reported
        return due
