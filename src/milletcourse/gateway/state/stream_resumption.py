"""Finds out at which software version a stream may go on that a client resumes.

A gateway that begins a stream while servers of several software versions serve tells it to the
holders of the stream before it relays the first event, and asks them when a client resumes a stream
that it doesn't know itself. While a single version serves, no message is sent: it alone can have
begun any stream. What isn't known is never guessed.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from milletcourse.exchange.messages.origin_messages import (
    MAX_REPORTS,
    OriginMessage,
    OriginReport,
    OriginStep,
    SendMessage,
)
from milletcourse.exchange.resumption.origin_holders import OriginHolders
from milletcourse.exchange.resumption.origin_record import OriginRecord
from milletcourse.exchange.resumption.origin_reports import read_report, write_report
from milletcourse.exchange.resumption.software_versions import (
    MAX_HORIZON_SECONDS,
    ServiceVersion,
    SoftwareVersions,
)
from milletcourse.exchange.resumption.stream_origins import StreamOrigin, StreamOrigins, stream_key
from milletcourse.gateway.state.origin_question import OriginQuestion, OriginQuestions
from milletcourse.gateway.state.version_announcer import VersionAnnouncer
from milletcourse.gateway.telemetry.resumption_recorder import ResumptionRecorder
from milletcourse.runtime.responsive_clock import ResponsiveClock
from milletcourse.runtime.responsive_timer import responsive_timeout

RESTORE_TIMEOUT_SECONDS = 0.15
"""How long a request waits after a start for the records in the store."""
JOIN_SECONDS = 5.0
"""A gateway asks for the origins that it has to hold only this long after its start; what begins
later it is told."""
RETURN_SECONDS = 2.0
"""A client that resumes a stream just before its deadline may be served a little later."""


class OriginEvidence(Enum):
    """From what a gateway knows which software version began a stream."""

    OWN_RECORD = "own-record"
    """It relayed the stream itself, or keeps its origin."""
    HOLDER = "holder"
    """A holder of the stream replied with its origin."""
    SOLE_VERSION = "sole-version"
    """No other version has been seen for longer than clients resume streams."""
    SOLE_SINCE_START = "sole-since-start"
    """No other version has been seen since this gateway started, and none was recorded before."""


class ResumePoint(msgspec.Struct, frozen=True):
    """Where a stream may go on.

    Attributes:
        service: Service that began it.
        software_version: Version of the servers that may continue it.
        evidence: From what that is known.
    """

    service: str
    software_version: str
    evidence: OriginEvidence


class StreamResumption:
    """Origins of streams as known to this gateway and to the holders among the others.

    Attributes:
        versions: Software versions that may have begun streams.
        announcer: Makes new versions known to all gateways.
        holders: Which gateways keep the origin of a stream.
        origin_record: The streams that this gateway records in the store.
        send: Sends messages; messages sent before it is set are lost.
        on_new_version: Called when another version of a service has been seen, which has to be
            stored for gateways that start after all others have stopped.
    """

    def __init__(
        self,
        own_name: str,
        is_view_current: Callable[[], bool],
        view_seconds: float,
        is_listed: Callable[[str, str], bool],
        clock: ResponsiveClock,
        now: Callable[[], float],
        record: ResumptionRecorder,
    ) -> None:
        """Start without any stream.

        Args:
            own_name: Name of this gateway.
            is_view_current: Whether this gateway has recently been in contact with the store, so
                that it knows all servers that have been serving for a while.
            view_seconds: Age up to which the view of any gateway counts as current.
            is_listed: Whether a server of a service and software version is listed now.
            clock: Responsive time of the event loop, used for the timeout of holders.
            now: Monotonic time.
            record: Counts streams by version.
        """
        self.versions = SoftwareVersions(is_listed, self._on_new_version, view_seconds)
        self.holders = OriginHolders(own_name)
        self.send: SendMessage = lambda name, message: None
        self.on_new_version: Callable[[], None] = lambda: None
        self._own_name = own_name
        self._is_view_current = is_view_current
        self._clock = clock
        self._now = now
        self._record = record
        self.origin_record = OriginRecord()
        self._restored: asyncio.Event | None = None
        """Set once the records in the store have been read; None while that isn't needed."""
        self._origins = StreamOrigins()
        self._has_joined = False
        self.announcer = VersionAnnouncer(own_name, self.versions, self.holders, self._send, now)
        self._questions = OriginQuestions(own_name, self.holders, self._send, clock, record)

    def _send(self, name: str, message: OriginMessage) -> None:
        """For the parts of this class, which are created before `send` is set."""
        self.send(name, message)

    # -- streams that begin or go on here -------------------------------------------------------

    def on_relayed(
        self, tenant: str, first_id: str, service: str, version: str, expires_at: float
    ) -> None:
        """The first whole events of an answer are about to be relayed.

        Args:
            tenant: Name of the tenant; empty on public routes.
            first_id: Id of the client's attempt that gets, or got, the first event of the stream.
            service: Service of the server.
            version: Version of the server's software.
            expires_at: Monotonic time at which the client stops waiting.
        """
        now = self._now()
        kept_seconds = min(expires_at + RETURN_SECONDS - now, MAX_HORIZON_SECONDS)
        self.versions.extend_horizon(kept_seconds)
        origin = StreamOrigin(service, version, now + kept_seconds, is_own=True)
        key = stream_key(tenant, first_id)
        self._origins.record(key, origin, now)
        self._record.stream_relayed(service, version)
        if self.versions.is_mixed(service, now):
            self._tell({key: origin})
            self._record_origin(key)

    def _on_new_version(self, seen: ServiceVersion) -> None:
        """Announce a version, and tell the streams that began while there was nothing to tell."""
        now = self._now()
        service = seen.service
        self.announcer.on_new_version(seen)
        if self.versions.is_mixed(service, now):
            told = dict(self._origins.own_of_service(service, now))
            self._tell(told)
            for key in told:
                self._record_origin(key)
            self._join()
        self.on_new_version()

    def _record_origin(self, key: int) -> None:
        """Have a stream recorded in the store if this gateway is to do it."""
        origin = self._origins.find(key, self._now())
        if origin is not None and self.holders.is_recorder(key):
            self.origin_record.add(key, origin)

    def set_peers(self, others: list[str]) -> None:
        """Replace the list of the other gateways."""
        self.holders.set_peers(others)
        self._join()

    def _join(self) -> None:
        """After a start, ask the others once for the origins that this gateway has to hold."""
        now = self._now()
        is_needed = self.versions.has_started_within(JOIN_SECONDS, now)
        if self._has_joined or not is_needed or not self.versions.mixed_services(now):
            return
        for name in self.holders.peers:
            self._has_joined = True
            self.send(name, OriginMessage(OriginStep.JOIN, self._own_name))

    def _tell(self, origins: dict[int, StreamOrigin]) -> None:
        now = self._now()
        reports: dict[str, list[OriginReport]] = defaultdict(list)
        for key, origin in origins.items():
            report = write_report(key, origin, now)
            if report is not None:
                for name in self.holders.receivers(key):
                    reports[name].append(report)
        for name, told in reports.items():
            self._send_reports(name, told)

    def _send_reports(self, name: str, reports: list[OriginReport]) -> None:
        for start in range(0, len(reports), MAX_REPORTS):
            batch = reports[start : start + MAX_REPORTS]
            self.send(name, OriginMessage(OriginStep.TELL, self._own_name, batch))

    # -- streams that clients resume ------------------------------------------------------------

    async def resolve(
        self, tenant: str, first_id: str, services: Sequence[str]
    ) -> ResumePoint | None:
        """Where a stream may go on; None when that isn't known.

        Args:
            tenant: Name of the tenant; empty on public routes.
            first_id: Id of the client's attempt that got its first event; empty for unknown.
            services: Services that may continue it, the preferred one first.
        """
        key = stream_key(tenant, first_id)
        await self._until_restored()
        origin = self._origins.find(key, self._now()) if first_id else None
        evidence = OriginEvidence.OWN_RECORD
        sole_versions = self.versions.sole_versions(services, self._now())
        is_certain = len(sole_versions) == len(services) and self._knows_all_versions()
        version = sole_versions.get(services[0])
        may_help = bool(first_id) or version is not None
        question: OriginQuestion | None = None
        if origin is None and may_help and not is_certain:
            question = await self._questions.ask(key, services)
            origin, evidence = question.origin, OriginEvidence.HOLDER
        if origin is not None and origin.service in services:
            return _resume_point(origin.service, origin.software_version, evidence)
        if version is None or is_certain:
            return _resume_point(services[0], version, OriginEvidence.SOLE_VERSION)
        is_confirmed = question is not None and self._is_confirmed(question, services[0], version)
        confirmed_version = version if is_confirmed else None
        return _resume_point(services[0], confirmed_version, OriginEvidence.SOLE_SINCE_START)

    async def _until_restored(self) -> None:
        """After a start, wait a little for the records in the store."""
        if self._restored is None or self._restored.is_set():
            return
        try:
            async with responsive_timeout(self._clock, RESTORE_TIMEOUT_SECONDS):
                await self._restored.wait()
        except TimeoutError:
            # Without the records the stream may be refused, and its client retries.
            return

    def _is_confirmed(self, question: OriginQuestion, service: str, version: str) -> bool:
        """Whether the only version seen here may be taken for the one that began a stream.

        Nobody knows the stream. A gateway with a current view needs no majority: if it has started
        too recently to have seen earlier versions, it has read in the store which ones served.
        """
        if self.holders.is_alone:
            return True
        if question.is_contradicted(service, version):
            return False
        return self._is_view_current() or question.has_majority()

    def _knows_all_versions(self) -> bool:
        """Whether no version can have begun streams without being known to this gateway."""
        return self._is_view_current() and self.versions.has_seen_horizon(self._now())

    # -- messages -------------------------------------------------------------------------------

    def on_message(self, message: OriginMessage) -> None:
        """Handle origins that another gateway tells, its question, or its reply to one."""
        if message.step is OriginStep.TELL:
            for report in message.reports:
                self._on_told(report)
        elif message.step is OriginStep.ASK:
            self._on_asked(message)
        elif message.step is OriginStep.JOIN:
            self._on_joined(message.sender)
        elif message.step is OriginStep.SEEN:
            self.announcer.on_seen(message)
        elif message.step is OriginStep.KNOWN:
            self.announcer.on_known(message)
        else:
            self._questions.on_reply(message, self._now())

    def _on_told(self, report: OriginReport) -> None:
        now = self._now()
        self._origins.record(report.key, read_report(report, now), now)
        self._record_origin(report.key)
        # The sender may have seen a version that isn't listed here yet.
        self.versions.on_seen(report.service, report.software_version, now)

    def _on_joined(self, name: str) -> None:
        """Tell a gateway that has just started the origins that it has to hold."""
        now = self._now()
        reports = [
            write_report(key, origin, now)
            for key, origin in self._origins.unexpired(now)
            if name in self.holders.of_stream(key)
        ]
        self._send_reports(name, [report for report in reports if report is not None])

    def _on_asked(self, message: OriginMessage) -> None:
        now = self._now()
        origin = self._origins.find(message.key, now)
        report = write_report(message.key, origin, now) if origin is not None else None
        self.send(
            message.sender,
            OriginMessage(
                OriginStep.REPLY,
                self._own_name,
                [report] if report is not None else [],
                message.key,
                message.request_number,
                self.versions.sole_versions(message.services, now),
            ),
        )

    # -- records in the store -------------------------------------------------------------------

    def begin_restore(self) -> bool:
        """Whether the records in the store have to be read, after a start among several versions.

        Requests that depend on them wait for `end_restore`.
        """
        now = self._now()
        if not self.versions.mixed_services(now) and not self.versions.has_unknown(now):
            return False
        self._restored = asyncio.Event()
        return True

    def on_restored(self, key: int, origin: StreamOrigin, is_recorded_here: bool) -> None:
        """A recorded stream was read.

        Args:
            key: Its key.
            origin: Where it began.
            is_recorded_here: Whether this gateway writes the record that names it.
        """
        self._origins.record(key, origin, self._now())
        if is_recorded_here:
            self.origin_record.add_stored(key, origin)

    def end_restore(self) -> None:
        """All records were read."""
        if self._restored is not None:
            self._restored.set()

    def sweep(self) -> None:
        """Drop expired state."""
        self._origins.drop_expired(self._now())


def _resume_point(
    service: str, version: str | None, evidence: OriginEvidence
) -> ResumePoint | None:
    return ResumePoint(service, version, evidence) if version is not None else None
