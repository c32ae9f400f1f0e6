"""What a gateway counts; without a metrics port nothing is kept, and less is imported."""

from __future__ import annotations

from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.gateway.telemetry.unanswered import UnansweredCause


class MetricsSink:
    """Takes what is counted, and keeps none of it; `GatewayMetrics` does."""

    def on_request_finished(self, outcome: str) -> None:
        """A request has its final outcome."""

    def on_unanswered(self, cause: UnansweredCause) -> None:
        """A request that was read ended without a whole answer."""

    def on_attempt(self, result: AttemptResult) -> None:
        """An attempt ended."""

    def on_first_answer(self, seconds: float) -> None:
        """The first byte of an answer went to a client."""

    def on_ejection(self) -> None:
        """A server was ejected."""

    def on_containment(self) -> None:
        """A request was found to end servers."""

    def on_peer_message_refused(self) -> None:
        """A datagram could not be understood."""

    def on_order(self, reply: str) -> None:
        """A server replied to an order, or did not."""

    def on_permit_requested(self, granted: bool) -> None:
        """A unit of a server's limit was asked for."""

    def on_quota_owner_timeout(self) -> None:
        """The gateway that lends a server's limit didn't reply."""

    def on_server_excluded(self, service: str, signal: str) -> None:
        """A request was kept from a server by that server's own word."""

    def on_descriptors_exhausted(self) -> None:
        """A connection couldn't be opened for lack of a descriptor."""

    def on_store_failure(self) -> None:
        """A call to the object store gave nothing."""

    def on_store_restored(self) -> None:
        """The store has come back from an older copy, as one kind of objects shows."""
