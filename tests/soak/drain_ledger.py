"""What servers got after the store had acknowledged that they leave, or that they are gone."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from soak.signal_ledger import Arrival, WasDisturbed

KNOWN_SECONDS = 0.5
"""A gateway that runs undisturbed knows by now what the store has acknowledged."""
DOUBT_SECONDS = 3.0
"""After a return an entry may have lapsed with the store, and its server be back in it: one that
goes without a word in this time counts as gone at its end."""


@dataclass
class EntryLedger:
    """When the store acknowledged servers' leaving; in monotonic seconds.

    An acknowledgement that the store loses before gateways could know it counts from the return, at
    which it is given again.
    """

    leaving_since: dict[str, float] = field(default_factory=dict)
    _unknown: set[str] = field(default_factory=set)
    """Servers whose word the store took while it was away, or is about to lose unheard."""
    is_away: bool = False
    _returned_at: float = -math.inf
    returns: list[float] = field(default_factory=list)
    _gone: set[str] = field(default_factory=set)
    _in_doubt: set[str] = field(default_factory=set)

    def is_gone(self, server: str) -> bool:
        """Whether a server's entry went before the server did."""
        return server in self._gone

    def on_leaving(self, server: str, now: float, is_gone: bool) -> None:
        """A server's entry says that it leaves, or went."""
        if is_gone:
            self._gone.add(server)
        if server in self.leaving_since:
            return
        self.leaving_since[server] = now
        if is_gone and now < self._returned_at + DOUBT_SECONDS:
            self._in_doubt.add(server)
        if self.is_away:
            self._unknown.add(server)

    def on_away(self, now: float) -> None:
        """The store answers nobody from now on."""
        self.is_away = True
        self._unknown |= {
            server for server, since in self.leaving_since.items() if now - since < KNOWN_SECONDS
        }

    def on_return(self, now: float) -> None:
        """The store has come back; what was lost is written again."""
        self.is_away = False
        self._returned_at = now
        self.returns.append(now)
        for server in self._unknown:
            self.leaving_since[server] = now
            if server in self._gone:
                self._in_doubt.add(server)
        self._unknown.clear()

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
        told = (item for item in arrivals if item.gateway)
        return [item for item in told if self._is_late(item, bound, was_disturbed)]

    def _until(self, arrival: Arrival, since: float, bound: float) -> float:
        """When gateways must have left a server."""
        if arrival.server.partition("@")[0] not in self._in_doubt:
            return since + bound
        doubts = [at + DOUBT_SECONDS for at in self.returns if at <= since + DOUBT_SECONDS]
        return max(since + bound, *doubts)

    def _is_late(self, arrival: Arrival, bound: float, was_disturbed: WasDisturbed) -> bool:
        since = self.leaving_since.get(arrival.server.partition("@")[0])
        if since is None or arrival.sent_at <= self._until(arrival, since, bound):
            return False
        return not was_disturbed(arrival.gateway, arrival.server, since, arrival.at)
