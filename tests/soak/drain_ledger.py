"""What servers got after the store had acknowledged that they leave, or that they are gone."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from soak.signal_ledger import Arrival, WasDisturbed

PROPAGATION_SECONDS = 0.5
"""A gateway that runs undisturbed knows by now what the store has acknowledged."""
UNVERIFIED_SECONDS = 3.0
"""After a return an entry may have lapsed with the store, and its server be back in it: one that
goes without a word in this time counts as gone at its end."""


@dataclass
class DrainLedger:
    """When the store acknowledged servers' leaving; in monotonic seconds.

    An acknowledgement that the store loses before gateways could know it counts from the return, at
    which it is given again.
    """

    draining_since: dict[str, float] = field(default_factory=dict)
    _unpropagated: set[str] = field(default_factory=set)
    """Servers whose word the store took while it was away, or is about to lose unheard."""
    is_unavailable: bool = False
    _restored_at: float = -math.inf
    restores: list[float] = field(default_factory=list)
    _removed: set[str] = field(default_factory=set)
    _unverified: set[str] = field(default_factory=set)

    def is_removed(self, server: str) -> bool:
        """Whether a server's entry went before the server did."""
        return server in self._removed

    def on_draining(self, server: str, now: float, is_removed: bool) -> None:
        """A server's entry says that it leaves, or went."""
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
        """The store answers nobody from now on."""
        self.is_unavailable = True
        self._unpropagated |= {
            server
            for server, since in self.draining_since.items()
            if now - since < PROPAGATION_SECONDS
        }

    def on_restored(self, now: float) -> None:
        """The store has come back; what was lost is written again."""
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
        """Requests that clients sent too late and that such a server got.

        Args:
            arrivals: What reached servers.
            bound: Seconds after the acknowledgement.
            was_disturbed: Excuses a gateway.
        """
        # Callers that test crashes don't say through which gateway they came.
        attributed = (item for item in arrivals if item.gateway)
        return [item for item in attributed if self._is_late(item, bound, was_disturbed)]

    def _deadline(self, arrival: Arrival, since: float, bound: float) -> float:
        """When gateways must have left a server."""
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
