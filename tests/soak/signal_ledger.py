"""Requests to servers after they announced that they are draining, or asked for back-off."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

BACK_OFF_SLACK_SECONDS = 0.5
"""Requests that arrive this soon after a back-off request may have been in transit."""
MAX_SENDS_IN_BACK_OFF = 2
WasDisturbed = Callable[[str, str, float, float], bool]
"""Whether a gateway was killed, stopped or suspended, or was partitioned from a server. Arguments:
names of the gateway and the server, and begin and end of an interval in monotonic seconds."""


@dataclass(frozen=True)
class Arrival:
    """A request that reached a server, whether or not it was executed.

    Attributes:
        server: Incarnation of the server.
        gateway: Gateway that forwarded it.
        at: Monotonic time of arrival.
        sent_at: Monotonic time at which its client sent it.
    """

    server: str
    gateway: str
    at: float
    sent_at: float


@dataclass(frozen=True)
class BackOff:
    """A server rejected a request and asked the gateway that sent it to back off."""

    server: str
    gateway: str
    at: float
    seconds: float


@dataclass
class SignalLedger:
    """Arrivals at servers, and the signals that the servers sent."""

    arrivals: list[Arrival] = field(default_factory=list)
    back_offs: list[BackOff] = field(default_factory=list)
    draining_since: dict[str, float] = field(default_factory=dict)
    """Time at which each server first announced that it is draining, to any gateway."""
    draining_relayed_at: dict[tuple[str, str], float] = field(default_factory=dict)
    """Time at which a gateway first relayed such an answer, by server and gateway."""

    def on_arrival(self, arrival: Arrival) -> None:
        """A request reaches a server."""
        self.arrivals.append(arrival)

    def on_back_off(self, back_off: BackOff) -> None:
        """A server asks a gateway to back off."""
        self.back_offs.append(back_off)

    def on_draining_answer(self, server: str, at: float) -> None:
        """A server writes an answer that announces that it is draining."""
        self.draining_since.setdefault(server, at)

    def on_relayed(self, server: str, gateway: str, at: float) -> None:
        """A client received such an answer."""
        self.draining_relayed_at.setdefault((server, gateway), at)

    def late_sends(self, bound: float, was_disturbed: WasDisturbed) -> list[Arrival]:
        """Requests that clients sent after the bound and that a draining server received.

        Args:
            bound: Seconds after the gateway relayed the announcement.
            was_disturbed: Tells whether a gateway is excused.
        """
        return [
            item
            for item in self.arrivals
            if item.sent_at > self._relayed_at(item) + bound
            and not was_disturbed(item.gateway, item.server, self._relayed_at(item), item.at)
        ]

    def _relayed_at(self, arrival: Arrival) -> float:
        return self.draining_relayed_at.get((arrival.server, arrival.gateway), math.inf)

    def violated_back_offs(self, was_disturbed: WasDisturbed) -> list[tuple[BackOff, int]]:
        """Back-offs during which their gateway sent more than two requests, and how many.

        Args:
            was_disturbed: Tells whether a gateway is excused.
        """
        times: dict[tuple[str, str], list[float]] = {}
        for item in self.arrivals:
            times.setdefault((item.server, item.gateway), []).append(item.at)
        found = []
        for back_off in self.back_offs:
            end = back_off.at + back_off.seconds
            begin = back_off.at + BACK_OFF_SLACK_SECONDS
            arrived = times.get((back_off.server, back_off.gateway), [])
            count = sum(begin < at < end for at in arrived)
            if count <= MAX_SENDS_IN_BACK_OFF:
                continue
            if not was_disturbed(back_off.gateway, back_off.server, back_off.at, end):
                found.append((back_off, count))
        return found

    def figures(self) -> dict[str, int]:
        """Counts of signals, and of requests that arrived after them."""
        after = sum(item.at > self._since(item.server) for item in self.arrivals)
        in_back_offs = (
            sum(self._is_in_back_off(item) for item in self.arrivals) if self.back_offs else 0
        )
        counted = {
            "leaving": len(self.draining_since),
            "rests": len(self.back_offs),
            "sent_to_leaving": after,
            "sent_in_rests": in_back_offs,
        }
        return {name: count for name, count in counted.items() if count}

    def _since(self, server: str) -> float:
        return self.draining_since.get(server, math.inf)

    def _is_in_back_off(self, arrival: Arrival) -> bool:
        return any(
            back_off.server == arrival.server
            and back_off.gateway == arrival.gateway
            and back_off.at + BACK_OFF_SLACK_SECONDS < arrival.at < back_off.at + back_off.seconds
            for back_off in self.back_offs
        )
