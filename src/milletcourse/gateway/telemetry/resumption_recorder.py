"""Log lines and metrics of streams by software version, and of streams that clients resume."""

from __future__ import annotations

import msgspec

from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink


class EndedResumption(msgspec.Struct, frozen=True):
    """How a client's attempt to resume a stream ended.

    Attributes:
        software: Version that began the stream; empty when it isn't known.
        outcome: How the attempt ended, as in the metric of all requests.
        went_on: Whether events, or the end of the stream, were relayed.
        servers: Number of listed servers of that version.
        ejected: How many of them this gateway has ejected.
        suspected: How many of them several gateways saw fail.
        seconds: Time from the attempt's arrival to its end.
    """

    software: str
    outcome: str
    went_on: bool
    servers: int = 0
    ejected: int = 0
    suspected: int = 0
    seconds: float = 0.0


class ResumptionRecorder:
    """Writes log lines and counts metrics of streams that begin and go on."""

    def __init__(self, log: EventLog, metrics: MetricsSink) -> None:
        self._log = log
        self._metrics = metrics

    def stream_relayed(self, service: str, software_version: str) -> None:
        """The first events of an answer were relayed."""
        self._metrics.on_stream_relayed(service, software_version)

    def stream_resumed(
        self, request_id: str, first_id: str, software_version: str, evidence: str
    ) -> None:
        """It is known at which version a stream goes on that a client resumes.

        Args:
            request_id: Id of the client's attempt.
            first_id: Id of its attempt that got the first event.
            software_version: Version that began the stream.
            evidence: From what that is known.
        """
        self._metrics.on_stream_resumed("known")
        self._log.emit(
            "stream-resumed",
            request_id=request_id,
            resumes=first_id,
            software=software_version,
            evidence=evidence,
        )

    def resumption_refused(self, request_id: str, first_id: str, outcome: str) -> None:
        """It isn't known which version began a stream that a client resumes; arguments as above."""
        self._metrics.on_stream_resumed("unknown")
        self.resumption_ended(request_id, first_id, EndedResumption("", outcome, went_on=False))

    def resumption_ended(self, request_id: str, first_id: str, resumption: EndedResumption) -> None:
        """An attempt to resume a stream has ended; it has a log line of its own.

        Overload suppresses most lines of failures, and the lines of served requests are few.
        """
        self._metrics.on_resumption_ended(resumption.outcome, resumption.went_on)
        self._log.emit(
            "resumption-ended",
            request_id=request_id,
            resumes=first_id,
            **msgspec.to_builtins(resumption),
        )

    def holders_silent(self) -> None:
        """Not all holders of a stream replied in time."""
        self._metrics.on_origin_holders_silent()

    def version_record_incomplete(self) -> None:
        """Software versions may have served before this start that no gateway has recorded."""
        self._log.emit("version-record-incomplete")
