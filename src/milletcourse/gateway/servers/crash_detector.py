"""Finds out whether a server ended while it had requests, and under which requests it did.

A connection that closes in the middle of a request may be a defect of one connection only. So the
server is asked for another one: where a process has ended, nothing listens. Where something does,
the loss stays in doubt for a while: it may be another incarnation, and the entry may still go.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from milletcourse.exchange.evidence.crash_evidence import Containment, CrashEvidence
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.gateway.telling.recorder import Recorder

UNVERIFIED_SECONDS = 5.0
"""A loss counts if its server turns out to have ended within this time: entries of servers that
ended go after three heartbeats of 1.2 s, and the watch tells of it soon after."""
MAX_UNVERIFIED_LOSSES = 512
"""Losses in doubt; beyond them the oldest are dropped."""


class _Loss(msgspec.Struct, frozen=True):
    """A request that was at a server when its connection closed."""

    identity: int
    instance: str
    server: int
    sent_at: float
    lost_at: float


class CrashDetector:
    """Turns lost connections into evidence against requests, and says what is contained.

    Attributes:
        listeners: Called when there is evidence that may have to be kept.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        pool: ConnectionPool,
        record: Recorder,
        on_update: Callable[[], None],
    ) -> None:
        """No loss yet.

        Args:
            evidence: Where ends of servers are noted.
            pool: Connections to servers.
            record: Where containments are told to operators; its clock counts.
            on_news: Called when there is evidence that the other gateways should hear of.
        """
        self.listeners: list[Callable[[], None]] = []
        self._evidence = evidence
        self._pool = pool
        self._record = record
        self._now = record.now
        self._notify_gateways = on_update
        self._unverified_losses: list[_Loss] = []
        self._checks: dict[str, asyncio.Task[None]] = {}

    def containment(self, identity: Callable[[], int]) -> Containment | None:
        """Why a request may not be sent to servers, None when it may.

        Args:
            identity: Works the identity of the request out; only done while there is evidence.
        """
        if not self._evidence:
            return None
        return self._evidence.containment(identity(), self._now())

    def on_answer(self, identity: int) -> None:
        """A server answered a request in whole, so the request doesn't end servers."""
        if self._evidence.on_answer(identity, self._now()):
            self._on_update()

    def on_loss(self, identity: int, instance: Instance, sent_at: float) -> asyncio.Task[None]:
        """A server closed the connection of a request that was sent to it.

        Returns:
            The check of whether the server has ended.
        """
        loss = _Loss(identity, instance.name, instance.key, sent_at, self._now())
        self._unverified_losses = [*self._unverified_losses[-MAX_UNVERIFIED_LOSSES + 1 :], loss]
        check = self._checks.get(instance.name)
        if check is None:
            check = asyncio.get_running_loop().create_task(self._check(instance))
            self._checks[instance.name] = check
        return check

    async def _check(self, instance: Instance) -> None:
        try:
            if await self._pool.is_refused(instance.record.address):
                self.on_instance_terminated(instance.name)
        finally:
            del self._checks[instance.name]

    def on_instance_terminated(self, name: str) -> None:
        """An incarnation has ended: what was lost there lately counts against its requests."""
        ended = [loss for loss in self._unverified_losses if loss.instance == name]
        if not ended:
            return
        self._unverified_losses = [
            loss for loss in self._unverified_losses if loss.instance != name
        ]
        for loss in ended:
            self._evidence.on_end(loss.identity, loss.server, loss.sent_at, loss.lost_at)
        self._on_update()

    def release(self, identity: int) -> None:
        """An operator wants a contained request sent again."""
        self._evidence.release(identity, self._now())
        self._record.released(identity)
        self._on_update()

    def report_contained(self) -> None:
        """Say which requests aren't sent to servers any more, since the last call."""
        for containment in self._evidence.take_newly_contained(self._now()):
            self._record.contained(containment)

    def _on_update(self) -> None:
        self.report_contained()
        for listener in self.listeners:
            listener()
        self._notify_gateways()

    def sweep(self) -> None:
        """Forget what is too old."""
        now = self._now()
        self._unverified_losses = [
            loss for loss in self._unverified_losses if now - loss.lost_at < UNVERIFIED_SECONDS
        ]
        self._evidence.expire(now)

    def close(self) -> None:
        """End all checks."""
        for check in list(self._checks.values()):
            check.cancel()
