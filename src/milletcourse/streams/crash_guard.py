"""Prevents a request that crashes engines from crashing one engine after another.

The evidence and the containment rule are those of the gateways; each router keeps its own evidence.
"""

from __future__ import annotations

from milletcourse.backends.engine_client import EngineClient
from milletcourse.errors import BackendUnreachable, FailureError
from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.evidence.request_identity import RequestFeatures, request_identity
from milletcourse.exchange.messages.peer_messages import short_key
from milletcourse.runtime.clock import Clock
from milletcourse.streams.attempt_planner import Attempt, InferenceRequest


class CrashGuard:
    """Crash evidence about the requests of one router."""

    def __init__(self, engines: EngineClient, clock: Clock) -> None:
        self._engines = engines
        self._clock = clock
        self.evidence = CrashEvidence()

    def check(self, request: InferenceRequest) -> None:
        """Raises FailureError with `RequestContained` if the request is contained."""
        if not self.evidence:
            return
        containment = self.evidence.containment(_features(request), self._clock.monotonic())
        if containment is not None:
            raise FailureError(containment.failure())

    def on_answer(self, request: InferenceRequest) -> None:
        """An engine completed the answer."""
        self.evidence.on_answer(_features(request), self._clock.monotonic())

    async def on_lost(self, request: InferenceRequest, attempt: Attempt) -> None:
        """The connection broke; this counts as a crash if the engine is now unreachable."""
        lost_at = self._clock.monotonic()
        try:
            await self._engines.feed(attempt.address, 0)
        except FailureError as error:
            if isinstance(error.failure, BackendUnreachable):
                server = short_key(f"{attempt.engine}\0{attempt.incarnation}\0{attempt.sent_at}")
                self.evidence.on_crash(_features(request), server, attempt.sent_at, lost_at)
                self.evidence.records.expire(lost_at)


def _features(request: InferenceRequest) -> RequestFeatures:
    facts = request.facts
    body = f"{request.max_tokens}\0{request.prompt}".encode()
    return RequestFeatures(request_identity("", facts.model.encode(), facts.tenant, body))
