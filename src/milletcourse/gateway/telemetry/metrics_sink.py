"""Receives the metrics events of a gateway.

Without a metrics port the no-op sink is used, and the metrics module is not imported.
"""

from __future__ import annotations

from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.gateway.telemetry.unanswered import UnansweredCause


class MetricsSink:
    """No-op sink that discards all events; `GatewayMetrics` counts them."""

    def on_request_finished(self, outcome: str) -> None:
        """A request reached its final outcome."""

    def on_unanswered(self, cause: UnansweredCause) -> None:
        """A request that was read ended without a complete answer."""

    def on_attempt(self, result: AttemptResult) -> None:
        """An attempt ended."""

    def on_first_answer(self, seconds: float) -> None:
        """The first byte of an answer was sent to a client, `seconds` after its request."""

    def on_ejection(self) -> None:
        """A server was ejected as an outlier."""

    def on_containment(self) -> None:
        """A request was contained, since it crashes servers."""

    def on_peer_message_refused(self) -> None:
        """A datagram was rejected as malformed."""

    def on_order(self, reply: str) -> None:
        """A weight order ended with a server's reply, or without one."""

    def on_permit_requested(self, granted: bool) -> None:
        """A permit of a server's quota was granted or denied."""

    def on_quota_owner_timeout(self) -> None:
        """The owner of a server's quota did not reply to a permit request."""

    def on_server_excluded(self, service: str, signal: str) -> None:
        """A server was excluded for a request since it is shutting down or backing off."""

    def on_descriptors_exhausted(self) -> None:
        """A connection could not be opened: the process has no free file descriptor."""

    def on_stream_relayed(self, service: str, software_version: str) -> None:
        """The first events of an answer of a server were relayed."""

    def on_stream_resumed(self, outcome: str) -> None:
        """A client resumes a stream: `known` or `unknown` tells whether the version is known."""

    def on_resumption_ended(self, outcome: str, went_on: bool) -> None:
        """An attempt to resume a stream has ended; `went_on`: whether events were relayed."""

    def on_origin_holders_silent(self) -> None:
        """Not all gateways that keep the origin of a stream replied in time."""

    def on_relay_asked(self, reply: str) -> None:
        """Another gateway replied to a request for a connection to a server."""

    def on_relay_reply(self, reply: str) -> None:
        """A request of another gateway for a connection to a server was replied to."""

    def on_surplus_data(self, is_taken: bool) -> None:
        """A server sent data that doesn't name the pending request."""

    def on_store_failure(self) -> None:
        """A call to the object store failed."""

    def on_store_restored(self) -> None:
        """One kind of objects shows that the store was restored from an older snapshot."""
