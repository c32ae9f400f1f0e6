"""The planned stop of this gateway, and who has to know how far it is."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.attempts.planned_stop import PlannedStop, StopPhase
from milletcourse.exchange.messages.records import RouteRecord


class GatewayStop:
    """State of the stop; nothing has begun at first.

    Attributes:
        listeners: Called repeatedly while the stop ends what is unfinished.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Start without a stop.

        Args:
            now: Monotonic seconds.
        """
        self.listeners: set[Callable[[PlannedStop], None]] = set()
        self._now = now
        self._plan: PlannedStop | None = None

    def begin(self, plan: PlannedStop) -> None:
        """The stop has begun."""
        self._plan = plan

    def notify(self) -> None:
        """Call every listener with the stop as it is planned."""
        if self._plan is not None:
            for listener in list(self.listeners):
                listener(self._plan)

    @property
    def has_begun(self) -> bool:
        """Whether the gateway stops."""
        return self._plan is not None

    @property
    def refuses_requests(self) -> bool:
        """Whether new requests are refused."""
        return self._plan is not None and self._plan.phase(self._now()) is not StopPhase.DRAINING

    def may_send(self, has_begun: bool, route: RouteRecord, deadline_at: float) -> bool:
        """Whether a request may be sent to a server now.

        Args:
            has_begun: It is a stream that has begun, which always goes on.
            route: Route of the request.
            deadline_at: Monotonic time of its deadline.
        """
        if self._plan is None or has_begun:
            return True
        now = self._now()
        return self._plan.may_begin(route, deadline_at - now, now)
