"""What servers got after they had said that they leave, or asked for rest."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

REST_SLACK_SECONDS = 0.5
"""What arrives so soon after a server asked for rest may have been on its way."""
MOST_IN_A_REST = 2
WasDisturbed = Callable[[str, str, float, float], bool]
"""Whether a gateway was killed, stopped or frozen, or its way to a server was cut: their names, and
two monotonic times."""


@dataclass(frozen=True)
class Arrival:
    """A request reaches a server, whatever becomes of it.

    Attributes:
        server: Name and start of the server.
        gateway: Gateway that sent it there.
        at: Monotonic time.
        sent_at: Monotonic time at which its client sent it.
    """

    server: str
    gateway: str
    at: float
    sent_at: float


@dataclass(frozen=True)
class Rest:
    """A server turned a request away, and asked the gateway that sent it for rest."""

    server: str
    gateway: str
    at: float
    seconds: float


@dataclass
class SignalLedger:
    """Arrivals at servers, and what these said."""

    arrivals: list[Arrival] = field(default_factory=list)
    rests: list[Rest] = field(default_factory=list)
    leaving_since: dict[str, float] = field(default_factory=dict)
    """When a server first said that it leaves, to anybody."""
    told_leaving: dict[tuple[str, str], float] = field(default_factory=dict)
    """When a gateway first passed on an answer that said so, by server and gateway."""

    def on_arrival(self, arrival: Arrival) -> None:
        """A request reaches a server."""
        self.arrivals.append(arrival)

    def on_rest(self, rest: Rest) -> None:
        """A server asks a gateway for rest."""
        self.rests.append(rest)

    def on_leaving_answer(self, server: str, at: float) -> None:
        """A server writes an answer that says that it leaves."""
        self.leaving_since.setdefault(server, at)

    def on_passed_on(self, server: str, gateway: str, at: float) -> None:
        """A client has such an answer."""
        self.told_leaving.setdefault((server, gateway), at)

    def late_sends(self, bound: float, was_disturbed: WasDisturbed) -> list[Arrival]:
        """Requests that clients sent too late and that a leaving server got.

        Args:
            bound: Seconds after a gateway passed on the word.
            was_disturbed: Excuses a gateway.
        """
        return [
            item
            for item in self.arrivals
            if item.sent_at > self._told_at(item) + bound
            and not was_disturbed(item.gateway, item.server, self._told_at(item), item.at)
        ]

    def _told_at(self, arrival: Arrival) -> float:
        return self.told_leaving.get((arrival.server, arrival.gateway), math.inf)

    def broken_rests(self, was_disturbed: WasDisturbed) -> list[tuple[Rest, int]]:
        """Rests in which their gateway sent more than two requests, with how many.

        Args:
            was_disturbed: Excuses a gateway.
        """
        times: dict[tuple[str, str], list[float]] = {}
        for item in self.arrivals:
            times.setdefault((item.server, item.gateway), []).append(item.at)
        found = []
        for rest in self.rests:
            end = rest.at + rest.seconds
            begin = rest.at + REST_SLACK_SECONDS
            arrived = times.get((rest.server, rest.gateway), [])
            count = sum(begin < at < end for at in arrived)
            if count <= MOST_IN_A_REST:
                continue
            if not was_disturbed(rest.gateway, rest.server, rest.at, end):
                found.append((rest, count))
        return found

    def figures(self) -> dict[str, int]:
        """What there was to keep to, and how much of it could be seen."""
        after = sum(item.at > self._since(item.server) for item in self.arrivals)
        in_rests = sum(self._is_in_rest(item) for item in self.arrivals) if self.rests else 0
        counted = {
            "leaving": len(self.leaving_since),
            "rests": len(self.rests),
            "sent_to_leaving": after,
            "sent_in_rests": in_rests,
        }
        return {name: count for name, count in counted.items() if count}

    def _since(self, server: str) -> float:
        return self.leaving_since.get(server, math.inf)

    def _is_in_rest(self, arrival: Arrival) -> bool:
        return any(
            rest.server == arrival.server
            and rest.gateway == arrival.gateway
            and rest.at + REST_SLACK_SECONDS < arrival.at < rest.at + rest.seconds
            for rest in self.rests
        )
