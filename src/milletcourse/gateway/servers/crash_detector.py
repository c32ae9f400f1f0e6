"""Detects servers that crashed, and the requests that were running there.

A connection that closes during a request may be a failure of that connection only. The gateway
therefore opens another one: after a process has terminated, nothing listens at its address. If
something does, the loss stays unverified for some seconds, since the listener may be a new
incarnation, and the server's entry may still be removed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from milletcourse.exchange.evidence.containment import Containment
from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.evidence.request_identity import RequestFeatures
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.servers.server_links import ServerLinks
from milletcourse.gateway.telemetry.recorder import Recorder

UNVERIFIED_SECONDS = 5.0
"""A loss counts as a crash if the server is found to have terminated within this time. Entries of
terminated servers are removed after three missed heartbeats of 1.2 s, and the watch reports it soon
after."""
RECHECK_SECONDS = 0.5
"""While no gateway can tell whether the server has terminated, it is checked this often."""
MAX_UNVERIFIED_LOSSES = 512
"""Maximum number of unverified losses; beyond it the oldest are dropped."""


class _Loss(msgspec.Struct, frozen=True):
    """A request that was at a server when its connection closed, at either end."""

    features: RequestFeatures
    instance: str
    server: int
    sent_at: float
    lost_at: float


class CrashDetector:
    """Turns lost connections into crash evidence against requests, and looks up their containments.

    Attributes:
        listeners: Called when there is new evidence that may have to be stored.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        links: ServerLinks,
        record: Recorder,
        on_update: Callable[[], None],
    ) -> None:
        """Start without any loss.

        Args:
            evidence: Where crashes of servers are recorded.
            links: Connections to servers.
            record: Reports containments to operators; its clock is used.
            on_update: Called when there is evidence that must be sent to the other gateways.
        """
        self.listeners: list[Callable[[], None]] = []
        self._evidence = evidence
        self._links = links
        self._record = record
        self._now = record.now
        self._notify_gateways = on_update
        self._unverified_losses: list[_Loss] = []
        self._checks: dict[str, asyncio.Task[None]] = {}

    def containment(self, features: Callable[[], RequestFeatures]) -> Containment | None:
        """The containment of a request, None when it may be sent to servers.

        Args:
            features: Computes the features of the request; called only while there is evidence.
        """
        if not self._evidence:
            return None
        return self._evidence.containment(features(), self._now())

    def on_sent(self, features: Callable[[], RequestFeatures]) -> None:
        """A request that is not contained is sent to a server."""
        if not self._evidence:
            return
        self._evidence.on_sent(features(), self._now())
        if self.report_changes():
            self._notify_gateways()

    def on_answer(self, features: RequestFeatures) -> None:
        """A server answered the request completely, so the request does not crash servers."""
        if self._evidence.on_answer(features, self._now()):
            self._on_update()

    def on_failure_answer(self, features: RequestFeatures) -> None:
        """A server answered the request completely with a failure."""
        if self._evidence.on_failure_answer(features, self._now()):
            self._on_update()

    def on_loss(
        self, features: RequestFeatures, instance: Instance, sent_at: float
    ) -> asyncio.Task[None]:
        """A server closed the connection of a request that was sent to it.

        Returns:
            The check of whether the server has terminated.
        """
        self.on_abandoned(features, instance, sent_at)
        check = self._checks.get(instance.name)
        if check is None:
            check = asyncio.get_running_loop().create_task(self._check(instance))
            self._checks[instance.name] = check
        return check

    def on_abandoned(self, features: RequestFeatures, instance: Instance, sent_at: float) -> None:
        """This gateway gave up a request that was sent to a server, which may still run it.

        It counts as evidence if the server is found to have terminated soon after, by whatever
        means; nothing is sent to find that out.
        """
        loss = _Loss(features, instance.name, instance.key, sent_at, self._now())
        self._unverified_losses = [*self._unverified_losses[-MAX_UNVERIFIED_LOSSES + 1 :], loss]

    async def _check(self, instance: Instance) -> None:
        try:
            record = instance.record
            is_refused = await self._links.is_refused(record.address, record.zone)
            while is_refused is None and self._has_unverified_loss(instance.name):
                await asyncio.sleep(RECHECK_SECONDS)
                is_refused = await self._links.is_refused(record.address, record.zone)
            if is_refused:
                self.on_instance_terminated(instance.name)
        finally:
            del self._checks[instance.name]

    def _has_unverified_loss(self, name: str) -> bool:
        return any(loss.instance == name for loss in self._unverified_losses)

    def on_instance_terminated(self, name: str) -> None:
        """An incarnation has terminated: recent losses there count against their requests."""
        confirmed = [loss for loss in self._unverified_losses if loss.instance == name]
        if not confirmed:
            return
        self._unverified_losses = [
            loss for loss in self._unverified_losses if loss.instance != name
        ]
        for loss in confirmed:
            self._evidence.on_crash(loss.features, loss.server, loss.sent_at, loss.lost_at)
        self._on_update()

    def release(self, identity: int) -> None:
        """Release a contained request or prompt part on behalf of an operator."""
        self._evidence.release(identity, self._now())
        self._record.containment_released(identity)
        self._on_update()

    def report_changes(self) -> bool:
        """Report what is held, tried or sent again since the last call; True if there was any."""
        changes = self._evidence.take_changes()
        for change in changes:
            self._record.evidence_change(change)
        return bool(changes)

    def _on_update(self) -> None:
        self.report_changes()
        for listener in self.listeners:
            listener()
        self._notify_gateways()

    def sweep(self) -> None:
        """Drop losses and evidence that have expired."""
        now = self._now()
        self._unverified_losses = [
            loss for loss in self._unverified_losses if now - loss.lost_at < UNVERIFIED_SECONDS
        ]
        self._evidence.records.expire(now)

    def close(self) -> None:
        """Cancel all running checks."""
        for check in list(self._checks.values()):
            check.cancel()
