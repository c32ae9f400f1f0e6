"""Permits to send to servers, checked for every request immediately before it is sent.

The check covers all signals of a server: that it is shutting down, that it requested back-off, and
its request limit.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from itertools import count

from milletcourse.exchange.limits.permit_retry_delays import PermitRetryDelays
from milletcourse.exchange.limits.quota_owner import GRANTED, OwnerRole, PermitReply, QuotaOwner
from milletcourse.exchange.limits.quota_owner_selector import QuotaOwnerSelector, SelectedOwner
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.load.signal_record import ServerLimitState, Signal
from milletcourse.exchange.messages.messages import AbortCause
from milletcourse.exchange.messages.peer_messages import MAX_AGE_MS, SignalReport
from milletcourse.exchange.messages.quota_messages import PermitMessage, PermitStep, wire_ms
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink
from milletcourse.runtime.responsive_clock import ResponsiveClock
from milletcourse.runtime.responsive_timer import responsive_timeout

PERMIT_REQUEST_TIMEOUT_SECONDS = 0.15
"""How long a request waits for a quota owner's reply; one in another region replies in less."""
PERMIT_VALIDITY_SECONDS = 1.0
"""A request that is delayed for longer must not be sent, since its permit would add to those of
later requests and exceed the server's limit."""


_SIGNAL_CAUSES = {
    Signal.LEAVING: AbortCause.SERVER_LEAVING,
    Signal.BACKING_OFF: AbortCause.SERVER_BACKING_OFF,
}


@dataclass(frozen=True)
class Permit:
    """Permission to send one request to one server.

    Attributes:
        key: Identity of the server's incarnation.
        valid_until: Monotonic time at which the permit expires.
    """

    key: int
    valid_until: float


SendMessage = Callable[[str, PermitMessage], None]
"""Sends a message to a gateway by name."""
ReportHandler = Callable[[Iterable[SignalReport], bool], None]
"""Handles reports of another gateway; the flag says whether this gateway must forward them."""


class ServerPermits:
    """Requests a permit from the quota owner of a server for each send, and grants permits.

    For the servers whose quota it owns, this gateway grants permits to all gateways.

    Attributes:
        owner_selector: Which gateway owns the quota of which server.
        retry_delays: Servers whose quota owner recently had no permit left.
        send: Sends messages; messages sent before it is set are lost.
    """

    def __init__(
        self,
        own_name: str,
        signals: ServerSignals,
        retry_delays: PermitRetryDelays,
        on_reports: ReportHandler,
        random_source: random.Random,
        clock: ResponsiveClock,
        now: Callable[[], float],
        members: Callable[[], int],
        metrics: MetricsSink,
    ) -> None:
        """Start without any permit requested or granted.

        Args:
            own_name: Name of this gateway.
            signals: Signals of servers: limits, shutdowns and requested back-off.
            retry_delays: Servers for which no permits are requested at present.
            on_reports: Handles the server limits that requesters report.
            random_source: Spreads requests for permits in time.
            clock: Responsive time of the event loop, used for timeouts of quota owners.
            now: Monotonic time.
            members: Number of known gateways.
            metrics: Counts permit requests.
        """
        self.owner_selector = QuotaOwnerSelector(own_name)
        self.retry_delays = retry_delays
        self.send: SendMessage = lambda name, message: None
        self._own_name = own_name
        self._signals = signals
        self._on_reports = on_reports
        self._quota_owner = QuotaOwner(random_source)
        self._clock = clock
        self._now = now
        self._members = members
        self._metrics = metrics
        self._request_numbers = count(1)
        self._pending_replies: dict[tuple[str, int], asyncio.Future[PermitMessage]] = {}
        """Awaited replies by quota owner and request number."""

    # -- sends ----------------------------------------------------------------------------------

    async def take(self, instance: Instance, rank: int) -> Permit | None:
        """A permit to send a request to a server; None when its quota is used up.

        Args:
            instance: The server.
            rank: Rank of the request, 0 for the most urgent.
        """
        key = instance.key
        per_second = self._signals.send_rate(key)
        if per_second is None:
            return self.without_limit(instance)
        reply = await self._request_permit(key, per_second, rank)
        self._metrics.on_permit_requested(reply.granted)
        if reply.granted:
            return Permit(key, self._now() + PERMIT_VALIDITY_SECONDS)
        self.retry_delays.on_denied(key, reply, per_second, self._now())
        return None

    def without_limit(self, instance: Instance) -> Permit:
        """A permit that is valid as long as the server has no limit."""
        return Permit(instance.key, float("-inf"))

    def blocking_cause(self, permit: Permit, instance: Instance) -> AbortCause | None:
        """Why a request may not be sent now, None when it may; checked immediately before the send.

        While the connection was being established, a signal of the server may have arrived, or the
        permit may have expired.
        """
        signal = self._signals.signal(instance.key, self._now())
        if signal is not None:
            return _SIGNAL_CAUSES[signal]
        if self._signals.per_second(instance.key) is None:
            return None
        is_valid = permit.key == instance.key and self._now() < permit.valid_until
        return None if is_valid else AbortCause.SERVER_LIMIT

    def is_limited(self, instance: Instance) -> bool:
        """Whether a server has a request limit in force."""
        return self._signals.per_second(instance.key) is not None

    def state(self, instance: Instance) -> ServerLimitState | None:
        """The known state of a server's limit, None when it has none."""
        per_second = self._signals.per_second(instance.key)
        if per_second is None:
            return None
        now = self._now()
        owner = self.owner_selector.select(instance.key, now)
        age_seconds = round(self._signals.limit_age(instance.key, now), 3)
        return ServerLimitState(
            instance.name, per_second, age_seconds, owner.name, owner.role.value
        )

    def retry_seconds(self, instances: Iterable[Instance], now: float) -> float | None:
        """Seconds after which a refused caller may be served by one of these servers.

        None when none of them was left out for its limit.

        Args:
            instances: The servers.
            now: Monotonic time at which they were left out.
        """
        return self.retry_delays.retry_after_seconds([instance.key for instance in instances], now)

    async def _request_permit(self, key: int, per_second: float, rank: int) -> PermitReply:
        chosen = self.owner_selector.select(key, self._now())
        if chosen.name == self._own_name:
            return self._grant(key, per_second, chosen.role, self._own_name, rank)
        reply = await self._request_from_owner(chosen, key, rank)
        if reply is not None:
            self.owner_selector.on_reply(chosen.name)
            return reply
        self.owner_selector.on_no_reply(chosen.name, self._now())
        self._metrics.on_quota_owner_timeout()
        # Only the next request tries another quota owner: this one has waited long enough.
        return PermitReply(False)

    async def _request_from_owner(
        self, chosen: SelectedOwner, key: int, rank: int
    ) -> PermitReply | None:
        request_number = next(self._request_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[chosen.name, request_number] = future
        self.send(
            chosen.name,
            PermitMessage(
                PermitStep.ASK,
                self._own_name,
                key,
                request_number,
                self._signals.per_second(key),
                min(round(self._signals.limit_age(key, self._now()) * 1000.0), MAX_AGE_MS),
                rank,
            ),
        )
        try:
            async with responsive_timeout(self._clock, PERMIT_REQUEST_TIMEOUT_SECONDS):
                message = await future
        except TimeoutError:
            return None
        finally:
            del self._pending_replies[chosen.name, request_number]
        if message.step is PermitStep.GRANT:
            return GRANTED
        return PermitReply(
            False,
            message.permit_wait_ms / 1000.0,
            message.retry_after_ms / 1000.0,
            message.requesters,
        )

    # -- messages -------------------------------------------------------------------------------

    def on_message(self, message: PermitMessage) -> None:
        """Handle another gateway's request for a permit, or its reply to one."""
        if message.step is PermitStep.ASK:
            self._on_request(message)
            return
        waiting = self._pending_replies.get((message.sender, message.request_number))
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    def _on_request(self, request: PermitMessage) -> None:
        if request.per_second is not None:
            self._on_reports(
                [SignalReport(request.key, request.per_second, request.limit_age_ms)], False
            )
        per_second = self._signals.send_rate(request.key)
        reply = GRANTED
        if per_second is not None:
            role = self.owner_selector.own_role(request.key)
            reply = self._grant(request.key, per_second, role, request.sender, request.priority)
        self.send(
            request.sender,
            PermitMessage(
                PermitStep.GRANT if reply.granted else PermitStep.DENY,
                self._own_name,
                request.key,
                request.request_number,
                permit_wait_ms=wire_ms(reply.permit_seconds),
                retry_after_ms=wire_ms(reply.retry_seconds),
                requesters=reply.requesters,
            ),
        )

    def _grant(
        self, key: int, per_second: float, role: OwnerRole, requester: str, rank: int
    ) -> PermitReply:
        return self._quota_owner.request_permit(
            key, per_second, role, self._members(), requester, rank, self._now()
        )

    def sweep(self, servers: Callable[[], Collection[int]]) -> None:
        """Drop expired state.

        Args:
            servers: Returns the identities of the existing server incarnations.
        """
        now = self._now()
        self._quota_owner.drop_idle(now)
        self._signals.expire(now, servers)
        self.retry_delays.expire(now)
