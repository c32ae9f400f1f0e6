"""Servers that fail when they have to reject too many requests; events in, decisions out, no I/O.

Such servers announce in their answers how many rejections a second they bear, from all gateways
together. Gateways then send a server only as many requests at once as it works on, so that none
waits there, and refuse the others themselves. What others have sent is known with a delay, so that
only a quarter of a server's slots is given out by that knowledge; each gateway may always use its equal
share of all of them. A rejection shows that too much was sent, and is reported to the others as a
full server.
"""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.records import ServiceRecord
from milletcourse.exchange.servers.instance_table import Instance

FULL_SECONDS = 0.3
"""A server that rejected a request gets no more for this long, in which the others learn of it."""
FREE_SLOT_SHARE = 0.25
"""Share of a server's slots that any gateway may use while they seem to be free."""


class _Announcement(msgspec.Struct, frozen=True):
    """What the latest answer of a service said.

    Attributes:
        per_second: Rejections a second that its servers bear, None for no limit.
        sent_at: Monotonic time of the request's send.
    """

    per_second: float | None
    sent_at: float


class _FullServer(msgspec.Struct, frozen=True):
    """A server that rejected a request.

    Attributes:
        until: Monotonic time until which it counts as full.
        requests: Requests that it works on at least.
    """

    until: float
    requests: int


class RejectionLimits:
    """Which services announce a limit of rejections, and which of their servers are full."""

    def __init__(self) -> None:
        self._announcements: dict[str, _Announcement] = {}
        self._full: dict[int, _FullServer] = {}

    def on_answer(self, service: str, per_second: float | None, sent_at: float) -> bool:
        """Record what an answer of a service says; returns whether that is a change.

        Args:
            service: The service.
            per_second: Announced limit, None without one.
            sent_at: Monotonic time of the request's send; earlier ones are outdated.
        """
        known = self._announcements.get(service)
        if per_second is None and known is None:
            return False
        if known is not None and sent_at < known.sent_at:
            return False
        self._announcements[service] = _Announcement(per_second, sent_at)
        return per_second != (known.per_second if known is not None else None)

    def on_rejected(self, service: ServiceRecord, instance: Instance, now: float) -> bool:
        """Record that a server rejected a request; returns whether it counts as full now."""
        if not self.applies(service):
            return False
        requests = max(slots_of(service, instance), 1)
        self._full[instance.key] = _FullServer(now + FULL_SECONDS, requests)
        return True

    def applies(self, service: ServiceRecord) -> bool:
        """Whether a service announces a limit."""
        known = self._announcements.get(service.name)
        return known is not None and known.per_second is not None

    def admits(
        self,
        service: ServiceRecord,
        instance: Instance,
        other_requests: int,
        gateways: int,
        now: float,
    ) -> bool:
        """Whether a server has a free slot for a request, as far as it is known.

        Args:
            service: Its service, which announces a limit.
            instance: The server.
            other_requests: Requests that the other gateways report there.
            gateways: Number of gateways that share it.
            now: Monotonic time.
        """
        if self.reported_requests(instance.key, now):
            return False
        slots = slots_of(service, instance)
        requests = instance.in_flight + other_requests
        if not slots or requests < FREE_SLOT_SHARE * slots:
            return True
        return requests < slots and instance.in_flight < max(slots // gateways, 1)

    def reported_requests(self, key: int, now: float) -> int:
        """Requests to report at a server in addition to this gateway's own; 0 if it isn't full."""
        full = self._full.get(key)
        if full is None:
            return 0
        if now >= full.until:
            del self._full[key]
            return 0
        return full.requests


def slots_of(service: ServiceRecord, instance: Instance) -> int:
    """Requests that a server works on at once; 0 when neither it nor its service says so."""
    return instance.record.slots or service.slots
