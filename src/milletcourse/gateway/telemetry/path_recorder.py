"""Log lines and metrics of the paths between this gateway and the servers."""

from __future__ import annotations

from milletcourse.gateway.telemetry.connection_records import SurplusData
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink


class PathRecorder:
    """Reports lost and restored paths, and connections that are relayed for other gateways."""

    def __init__(self, log: EventLog, metrics: MetricsSink) -> None:
        self._log = log
        self._metrics = metrics

    def path_lost(self, address: str, reached_through: str) -> None:
        """A server that doesn't reply here was reached through another gateway."""
        self._log.emit("path-lost", address=address, reached_through=reached_through)

    def path_restored(self, address: str) -> None:
        """A direct connection to the server came up again."""
        self._log.emit("path-restored", address=address)

    def isolation(self, is_isolated: bool, servers: int) -> None:
        """This gateway hears none of the known servers any more, or hears them again."""
        self._log.emit("servers-unreachable" if is_isolated else "servers-reached", servers=servers)

    def surplus_data(self, data: SurplusData) -> None:
        """A server sent data that doesn't name the pending request, or none was pending."""
        self._metrics.on_surplus_data(data.is_taken)
        self._log.emit(
            "surplus-data",
            address=data.address,
            connection=data.connection,
            requests=data.requests,
            pending=data.pending_id,
            answers=data.request_id,
            status=data.status,
            not_executed=data.not_executed,
            after_send=round(data.seconds_after_send, 4),
            taken=data.is_taken,
        )

    def relayed(
        self, request_id: str, sender: str, instance: str, sent: int, received: int, seconds: float
    ) -> None:
        """A connection that was relayed for another gateway has ended.

        Args:
            request_id: Request that it carried.
            sender: The other gateway.
            instance: The server.
            sent: Bytes sent to the server.
            received: Bytes received from it.
            seconds: Duration.
        """
        self._log.emit(
            "connection-relayed",
            request_id=request_id,
            sender=sender,
            instance=instance,
            sent=sent,
            received=received,
            seconds=round(seconds, 3),
        )

    def relay_refused(self, reply: str, sender: str) -> None:
        """Another gateway's request for a connection was not met, or strange bytes arrived."""
        self._metrics.on_relay_reply(reply)
        self._log.emit("relay-refused", reply=reply, sender=sender)

    def relay_opened(self) -> None:
        """A connection for another gateway came up."""
        self._metrics.on_relay_reply("connected")
