"""Selects the gateways through which a server is reached; no input/output.

Gateways that recently couldn't help are left out for a growing time, and those that did come first
meanwhile: when most of the others are cut off, too, a gateway soon asks only those that reach the
servers. Among equals the load is spread by the number of connections that this gateway already has
through each.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

FIRST_PAUSE_SECONDS = 0.5
"""How long a gateway is left out after it couldn't reach a server."""
MAX_PAUSE_SECONDS = 4.0
"""The pause doubles with each failure in a row up to this."""
ZONE_CROSSING_CONNECTIONS = 4
"""A zone boundary on the way weighs as much as this many open connections: its traffic is slower
and is billed."""


class RelayPeer(msgspec.Struct):
    """Another gateway that may relay connections.

    Attributes:
        name: Its name.
        address: `host:port` at which it takes requests for a relayed connection.
        zone: Its zone.
        connections: Open connections through it.
        failures: Failures in a row.
        has_helped: The latest request for a connection through it succeeded.
        paused_until: Monotonic time until which it isn't asked.
    """

    name: str
    address: str
    zone: str
    connections: int = 0
    failures: int = 0
    has_helped: bool = False
    paused_until: float = float("-inf")


class RelaySelector:
    """The other gateways, and what came of asking them."""

    def __init__(self, own_zone: str, random_source: random.Random) -> None:
        """Start without any other gateway.

        Args:
            own_zone: This gateway's zone.
            random_source: Decides between equals, so that gateways select different ones.
        """
        self._own_zone = own_zone
        self._random = random_source
        self._peers: dict[str, RelayPeer] = {}
        self._failed_at = float("-inf")

    @property
    def peer_count(self) -> int:
        """Number of other gateways that may relay."""
        return len(self._peers)

    def set_peers(self, peers: Iterable[RelayPeer]) -> None:
        """Set the other gateways; what is known of those that stay is kept."""
        before = self._peers
        self._peers = {}
        for peer in peers:
            known = before.get(peer.name)
            if known is not None and known.address == peer.address:
                known.zone = peer.zone
                peer = known
            self._peers[peer.name] = peer

    def candidates(
        self, server_zone: str, count: int, now: float, with_paused: bool = False
    ) -> list[RelayPeer]:
        """The gateways to ask for a connection to a server, the best first.

        Args:
            server_zone: Zone of the server.
            count: Maximum number of gateways.
            now: Monotonic time.
            with_paused: Also return gateways that recently couldn't help, after the others.
        """
        ranked = [
            (self._rank(peer, now), self._cost(peer, server_zone), peer.name, peer)
            for peer in self._peers.values()
            if with_paused or now >= peer.paused_until
        ]
        ranked.sort(key=lambda item: item[:3])
        return [item[3] for item in ranked[:count]]

    def _rank(self, peer: RelayPeer, now: float) -> int:
        """While gateways fail to help, those that did come first, and paused ones last."""
        if now < peer.paused_until:
            return 2
        return int(now - self._failed_at < MAX_PAUSE_SECONDS and not peer.has_helped)

    def _cost(self, peer: RelayPeer, server_zone: str) -> float:
        crossings = (peer.zone != self._own_zone) + (peer.zone != server_zone)
        return peer.connections + ZONE_CROSSING_CONNECTIONS * crossings + self._random.random()

    def on_opened(self, peer: RelayPeer) -> None:
        """A connection through a gateway came up."""
        peer.connections += 1
        peer.failures = 0
        peer.has_helped = True

    def on_closed(self, peer: RelayPeer) -> None:
        """A connection through a gateway was closed."""
        peer.connections -= 1

    def on_failed(self, peer: RelayPeer, now: float) -> None:
        """A gateway couldn't help: leave it out for a while."""
        self._failed_at = now
        peer.has_helped = False
        if now < peer.paused_until:
            # Requests that were sent at the same time fail together.
            return
        pause = min(FIRST_PAUSE_SECONDS * 2**peer.failures, MAX_PAUSE_SECONDS)
        peer.failures += 1
        peer.paused_until = now + pause
