"""Measures how long the server of one attempt has been silent, and tells when that is too long."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from milletcourse.exchange.attempts.silence_timeouts import (
    event_gap_timeout,
    extra_silence_seconds,
    first_event_timeout,
)
from milletcourse.exchange.messages.records import RouteRecord
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.runtime.responsive_timer import ResponsiveTimer


@dataclass(frozen=True)
class Silence:
    """How long a server sent nothing.

    Attributes:
        seconds: Responsive time of this gateway's event loop since the request was sent or the
            latest chunk was handled.
        stall_seconds: Time in the same period during which the event loop was stalled. It is not
            part of `seconds`.
    """

    seconds: float = 0.0
    stall_seconds: float = 0.0


class SilenceWatch:
    """Timer for the silence of one server, in responsive time of the event loop."""

    def __init__(
        self,
        context: GatewayContext,
        route: RouteRecord,
        instance: Instance,
        on_silent: Callable[[], None],
    ) -> None:
        """Watch nothing yet.

        Args:
            context: Shared state of the gateway.
            route: Route of the request, which sets the timeouts.
            instance: The server.
            on_silent: Called when the server was silent for as long as was expected.
        """
        self._context = context
        self._clock = context.responsive_clock
        self._route = route
        self._instance = instance
        self._timer = ResponsiveTimer(self._clock, on_silent)
        self._last_received_at = float("inf")
        """Responsive time at which data was last received from the server."""
        self._stall_seconds_before = 0.0

    def on_received(self) -> None:
        """The request was sent, or data of the server was received."""
        self._last_received_at = self._clock.seconds()
        self._stall_seconds_before = self._clock.stalled_seconds

    def expect_first_event(self, max_seconds: float) -> None:
        """Expect the first event within the route's timeout, or within less."""
        self.expect_within(min(first_event_timeout(self._route), max_seconds))

    def expect_next_event(self) -> None:
        """Expect the next event of a stream within the route's timeout."""
        self.expect_within(event_gap_timeout(self._route))

    def expect_within(self, seconds: float) -> None:
        """Expect data within some time, never if it is infinite."""
        self._timer.expect_within(seconds)

    def close(self) -> None:
        """Expect nothing any more, without a reference to the owner."""
        self._timer.close()

    def silence(self) -> Silence:
        """How long the server has been silent."""
        stalled = self._clock.stalled_seconds - self._stall_seconds_before
        return Silence(self._silent_seconds(), stalled)

    def remaining_seconds(self, has_started: bool) -> float:
        """Further time to wait for a server that has been silent for its usual timeout.

        A silent server that answers other requests gets longer.

        Args:
            has_started: Whether the answer has started.
        """
        route = self._route
        usual = event_gap_timeout(route) if has_started else first_event_timeout(route)
        answers_others = self._context.server_answer_rates.answered_recently(self._instance)
        return extra_silence_seconds(usual, self._silent_seconds(), answers_others)

    def _silent_seconds(self) -> float:
        return self._clock.seconds() - self._last_received_at
