"""Requests to servers after the store acknowledged that they are draining or removed."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from soak.signal_ledger import Arrival, WasDisturbed

PROPAGATION_SECONDS = 0.5
"""Time within which an undisturbed gateway learns of a change that the store acknowledged."""
UNVERIFIED_SECONDS = 3.0
"""After a restore, a missing entry may only have been lost, and its server may rewrite it. An entry
removed within this time without having been marked as draining counts as removed at its end."""


@dataclass
class EntryLedger:
    """Times at which the store acknowledged that servers drain; in monotonic seconds.

    An acknowledgement that the store loses before gateways can learn of it counts from the restore,
    when it is written again.
    """

    draining_since: dict[str, float] = field(default_factory=dict)
    _unpropagated: set[str] = field(default_factory=set)
    """Servers whose draining was recorded while the store was unavailable, or too shortly before
    for gateways to learn of it."""
    is_unavailable: bool = False
    _restored_at: float = -math.inf
    restores: list[float] = field(default_factory=list)
    _removed: set[str] = field(default_factory=set)
    _unverified: set[str] = field(default_factory=set)

    def is_removed(self, server: str) -> bool:
        """Whether a server's entry was removed before the server terminated."""
        return server in self._removed

    def on_draining(self, server: str, now: float, is_removed: bool) -> None:
        """A server's entry is marked as draining, or removed."""
        if is_removed:
            self._removed.add(server)
        if server in self.draining_since:
            return
        self.draining_since[server] = now
        if is_removed and now < self._restored_at + UNVERIFIED_SECONDS:
            self._unverified.add(server)
        if self.is_unavailable:
            self._unpropagated.add(server)

    def on_unavailable(self, now: float) -> None:
        """The store becomes unavailable."""
        self.is_unavailable = True
        self._unpropagated |= {
            server
            for server, since in self.draining_since.items()
            if now - since < PROPAGATION_SECONDS
        }

    def on_restored(self, now: float) -> None:
        """The store has been restored, and lost objects have been rewritten."""
        self.is_unavailable = False
        self._restored_at = now
        self.restores.append(now)
        for server in self._unpropagated:
            self.draining_since[server] = now
            if server in self._removed:
                self._unverified.add(server)
        self._unpropagated.clear()

    def late(
        self, arrivals: Iterable[Arrival], bound: float, was_disturbed: WasDisturbed
    ) -> list[Arrival]:
        """Requests that clients sent after the bound and that a draining server received.

        Args:
            arrivals: Requests that reached servers.
            bound: Seconds after the acknowledgement.
            was_disturbed: Tells whether a gateway is excused.
        """
        # Clients that test crashes do not record their gateway.
        attributed = (item for item in arrivals if item.gateway)
        return [item for item in attributed if self._is_late(item, bound, was_disturbed)]

    def _deadline(self, arrival: Arrival, since: float, bound: float) -> float:
        """Time by which gateways must have stopped sending to a server."""
        if arrival.server.partition("@")[0] not in self._unverified:
            return since + bound
        verified_at = [
            at + UNVERIFIED_SECONDS for at in self.restores if at <= since + UNVERIFIED_SECONDS
        ]
        return max(since + bound, *verified_at)

    def _is_late(self, arrival: Arrival, bound: float, was_disturbed: WasDisturbed) -> bool:
        since = self.draining_since.get(arrival.server.partition("@")[0])
        if since is None or arrival.sent_at <= self._deadline(arrival, since, bound):
            return False
        return not was_disturbed(arrival.gateway, arrival.server, since, arrival.at)
