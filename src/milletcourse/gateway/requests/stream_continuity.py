"""Keeps a stream at servers of the software version that began it."""

from __future__ import annotations

from collections.abc import Iterable

from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.state.stream_resumption import ResumePoint
from milletcourse.gateway.telemetry.resumption_recorder import EndedResumption


class StreamContinuity:
    """The software version at which one request's stream begins or goes on.

    What servers of two software versions write doesn't fit together, and servers don't check who
    began a stream.

    Attributes:
        has_begun: Whether events of the stream were relayed, for this request or an earlier try.
    """

    def __init__(
        self, context: GatewayContext, job: ExchangeJob, resume_point: ResumePoint | None
    ) -> None:
        """Start before the first event of the answer.

        Args:
            context: Shared state of the gateway.
            job: The request.
            resume_point: Where a stream goes on that the client resumes, None for a new one.
        """
        self._context = context
        self._job = job
        self._is_resumption = resume_point is not None
        self.has_begun = self._is_resumption
        self._is_relayed = False
        self._software_version: str | None = None
        self._first_id = job.request.request_id
        if resume_point is not None:
            self._software_version = resume_point.software_version
            self._first_id = job.request.resumes or job.request.request_id

    @property
    def required_version(self) -> str | None:
        """Version of the servers that may continue the stream; None for a new one."""
        return self._software_version

    def on_events(self, software_version: str | None) -> None:
        """Whole events of a server are about to be relayed.

        Args:
            software_version: Version of the server's software, None when it isn't known.
        """
        if self._is_relayed:
            return
        self._is_relayed = True
        if not self.has_begun:
            self.has_begun = True
            self._software_version = software_version
        if self._software_version is not None:
            self._announce(self._software_version)

    def _announce(self, software_version: str) -> None:
        job = self._job
        self._context.stream_resumption.on_relayed(
            job.tenant.name if job.tenant is not None else "",
            self._first_id,
            job.service.name,
            software_version,
            job.client_deadline_at,
        )

    def on_end(self, outcome: str, has_gone_on: bool) -> None:
        """The request has ended; an attempt to resume a stream is recorded.

        Args:
            outcome: How it ended, as in the metric of all requests.
            has_gone_on: Whether events, or the end of the stream, were relayed.
        """
        if not self._is_resumption:
            return
        context = self._context
        now = context.now()
        candidates = context.selector.candidates
        servers = context.instances.of_service(self._job.service.name).values()
        permitted = [instance for instance in servers if self.permits(instance)]
        resumption = EndedResumption(
            software=self._software_version or "",
            outcome=outcome,
            went_on=has_gone_on,
            servers=len(permitted),
            ejected=sum(instance.health.is_ejected(now) for instance in permitted),
            suspected=sum(candidates.is_suspected(instance, now) for instance in permitted),
            seconds=round(now - self._job.request.received_at, 3),
        )
        context.record.resumption.resumption_ended(
            self._job.request.request_id, self._first_id, resumption
        )

    def permits(self, instance: Instance) -> bool:
        """Whether the request may be sent to a server."""
        if not self.has_begun:
            return True
        version = self._software_version
        return version is not None and instance.record.software_version == version

    def still_permits(self, instance: Instance) -> bool:
        """The same, if the server hasn't restarted with other software since it was selected."""
        current = self._context.instances.get(instance.name)
        return self.permits(current if current is not None else instance)

    def excluded(self, instances: Iterable[Instance]) -> set[str]:
        """Names of the servers that it may not be sent to."""
        if not self.has_begun:
            return set()
        return {instance.name for instance in instances if not self.permits(instance)}

    def held(self, instances: Iterable[Instance]) -> dict[str, float]:
        """Servers at which a resumable stream may not begin yet, and the seconds until it may."""
        if self.has_begun or not self._job.route.resumable:
            return {}
        versions = self._context.stream_resumption.versions
        held = versions.held(self._job.service.name, self._context.now())
        return {
            instance.name: held[instance.record.software_version]
            for instance in instances
            if instance.record.software_version in held
        }
