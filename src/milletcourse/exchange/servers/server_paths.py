"""Which servers this gateway reaches itself; events in, decisions out, no input/output.

Whether a connection comes up depends on the pair of gateway and server. A failure is one of the
path when another gateway reaches the server in the same moment, and it concerns all paths of this
gateway when servers of all services fail to answer and none has been heard since. Only what is left
is a failure of the server.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

ISOLATION_SERVERS = 2
"""This gateway counts as isolated when at least so many servers don't answer."""
UNCONFIRMED_SECONDS = 2.0
"""A failure that no other gateway's success explains is forgotten after this time."""
PROBE_INTERVAL_SECONDS = 0.25
"""Minimum interval of direct attempts at paths that are lost or in doubt, all paths together."""


class LostPath(msgspec.Struct):
    """A server whose direct connection failed.

    Attributes:
        failed_at: Monotonic time at which the latest failed attempt began.
        is_refused: The latest attempt was refused or reset rather than left without reply.
        is_confirmed: Another gateway reached the server since.
        probed_at: Monotonic time of the latest probe.
    """

    failed_at: float
    is_refused: bool = False
    is_confirmed: bool = False
    probed_at: float = float("-inf")


class ServerPaths:
    """Keeps the paths that failed, and whether this gateway is cut off from all servers.

    Attributes:
        heard_at: Monotonic time at which any server was last heard over a direct connection.
        silent_at: Monotonic time at which the latest attempt began that failed on a lost path, or
            whose request wasn't acknowledged. Connections on which nothing has arrived since may be
            dead.
    """

    def __init__(self) -> None:
        self.heard_at = float("-inf")
        self.silent_at = float("-inf")
        self._heard_by_service: dict[str, float] = {}
        self._lost: dict[str, LostPath] = {}
        self._services: Mapping[str, str] = {}
        self._was_isolated = False
        self._probed_at = float("-inf")
        self._probes = 0

    def set_services(self, services: Mapping[str, str]) -> None:
        """Set the known servers.

        Args:
            services: Service of the server at each address.
        """
        self._services = services
        for address in [item for item in self._lost if item not in services]:
            del self._lost[address]

    # -- events ---------------------------------------------------------------------------------

    def on_heard(self, service: str, now: float) -> None:
        """A server of a service sent data over a direct connection."""
        self.heard_at = now
        self._heard_by_service[service] = now

    def on_connected(self, address: str, now: float) -> None:
        """A direct connection to a server came up."""
        if self.is_isolated:
            # The failures had a common cause: each path is tried again when it is next used.
            self._drop_unconfirmed()
            for lost in self._lost.values():
                lost.probed_at = float("-inf")
            self._probed_at = float("-inf")
        self._lost.pop(address, None)
        self.on_heard(self._services.get(address, ""), now)

    def on_failed(self, address: str, began_at: float, is_refused: bool = False) -> None:
        """A direct connection didn't come up, or doesn't work.

        Args:
            address: The server.
            began_at: Monotonic time at which the attempt began.
            is_refused: The connection was refused or reset rather than left without reply.
        """
        lost = self._lost.get(address)
        if lost is None:
            lost = self._lost[address] = LostPath(began_at)
        lost.failed_at = max(lost.failed_at, began_at)
        lost.is_refused = is_refused

    def on_unacknowledged(self, sent_at: float) -> None:
        """A server hasn't acknowledged a request that was sent at this time."""
        self.silent_at = max(self.silent_at, sent_at)

    def on_reached_by_other(self, address: str) -> None:
        """Another gateway reached a server whose direct connection failed here."""
        lost = self._lost.get(address)
        if lost is not None:
            lost.is_confirmed = True
            self.silent_at = max(self.silent_at, lost.failed_at)

    # -- queries --------------------------------------------------------------------------------

    @property
    def is_isolated(self) -> bool:
        """Whether no server has been heard since servers of every service failed to answer."""
        if len(self._lost) < ISOLATION_SERVERS:
            return False
        unheard = self._unheard()
        return len(unheard) >= ISOLATION_SERVERS and not self._unaffected(unheard)

    def is_lost(self, address: str) -> bool:
        """Whether a direct connection to a server is not worth waiting for."""
        if not self._lost:
            return False
        lost = self._lost.get(address)
        return (lost is not None and lost.is_confirmed) or self.is_isolated

    def is_refused(self, address: str) -> bool:
        """Whether the latest direct attempt at a server was refused or reset."""
        lost = self._lost.get(address)
        return lost is not None and lost.is_refused

    def is_path_proven(self, address: str, began_at: float) -> bool:
        """Whether another server was heard since, so that a failure is the server's own.

        All servers of a service may be behind the same broken link, so that only one of the same
        service proves the path to work, unless the server is alone in it.

        Args:
            address: The server.
            began_at: Monotonic time at which the failed attempt began.
        """
        if not self._same_service(address):
            return self.heard_at > began_at
        service = self._services[address]
        return self._heard_by_service.get(service, float("-inf")) > began_at

    def _same_service(self, address: str) -> list[str]:
        """The other servers of a server's service."""
        service = self._services.get(address)
        return [
            other
            for other, its_service in self._services.items()
            if its_service == service and other != address
        ]

    def lost_addresses(self) -> list[str]:
        """Servers that other gateways reach and this one doesn't."""
        return [address for address, lost in self._lost.items() if lost.is_confirmed]

    def take_isolation_change(self) -> bool | None:
        """Whether this gateway is isolated, if that changed since the last call; else None."""
        if self.is_isolated == self._was_isolated:
            return None
        self._was_isolated = self.is_isolated
        return self._was_isolated

    def _unheard(self) -> list[str]:
        """Servers that failed since any server was heard."""
        return [address for address, lost in self._lost.items() if lost.failed_at > self.heard_at]

    def _unaffected(self, unheard: list[str]) -> list[str]:
        """Servers of the services of which none failed since any server was heard."""
        failed = {self._services.get(address) for address in unheard}
        return [address for address, service in self._services.items() if service not in failed]

    # -- probes ---------------------------------------------------------------------------------

    @property
    def needs_probes(self) -> bool:
        """Whether any path has failed."""
        return bool(self._lost)

    def may_try(self, address: str, now: float) -> bool:
        """Whether a request for a lost path may also try it directly; counts as a probe."""
        lost = self._lost.get(address)
        is_due = lost is not None and now - lost.probed_at >= PROBE_INTERVAL_SECONDS
        if not is_due or now - self._probed_at < PROBE_INTERVAL_SECONDS:
            return False
        self._note_probe(address, now)
        return True

    def other_server(self, address: str, now: float) -> str | None:
        """A server whose connection would prove the path to another one; counts as a probe.

        None when there is none, or a probe has just been made.
        """
        if self.is_isolated or now - self._probed_at < PROBE_INTERVAL_SECONDS:
            return None
        candidates = self._same_service(address) or [
            item for item in self._services if item != address
        ]
        others = [item for item in candidates if item not in self._lost]
        chosen = self._rotate(others)
        if chosen is not None:
            self._note_probe(chosen, now)
        return chosen

    def next_probe(self, now: float) -> str | None:
        """The path to probe now, None when there is none."""
        self._forget_unconfirmed(now)
        if now - self._probed_at < PROBE_INTERVAL_SECONDS:
            return None
        address = self._choose_probe()
        if address is not None:
            self._note_probe(address, now)
        return address

    def _choose_probe(self) -> str | None:
        unheard = self._unheard()
        unaffected = self._unaffected(unheard) if unheard else []
        if unaffected:
            # Tells a lost service from an isolated gateway.
            return self._rotate(unaffected)
        if self.is_isolated:
            # Any server will do, and those that failed may really be down.
            return self._rotate(list(self._services))
        due = [
            (lost.probed_at, address) for address, lost in self._lost.items() if lost.is_confirmed
        ]
        return min(due)[1] if due else None

    def _rotate(self, addresses: list[str]) -> str | None:
        self._probes += 1
        return sorted(addresses)[self._probes % len(addresses)] if addresses else None

    def _note_probe(self, address: str, now: float) -> None:
        self._probed_at = now
        lost = self._lost.get(address)
        if lost is not None:
            lost.probed_at = now

    def _forget_unconfirmed(self, now: float) -> None:
        """Forget failures that neither others nor an isolation explain any more."""
        if self.is_isolated:
            return
        for address, lost in list(self._lost.items()):
            if not lost.is_confirmed and now - lost.failed_at >= UNCONFIRMED_SECONDS:
                del self._lost[address]

    def _drop_unconfirmed(self) -> None:
        self._lost = {address: lost for address, lost in self._lost.items() if lost.is_confirmed}
