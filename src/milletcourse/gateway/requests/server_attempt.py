"""A request at one server, and what the log says of it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.requests.attempt import Attempt
from milletcourse.gateway.telling.recorder import FailedAttempt, VisitedServer


@dataclass
class ServerAttempt:
    """A request at one server.

    Attributes:
        instance: The server.
        attempt: The attempt there.
        task: Runs the attempt; None when whoever opened it does.
    """

    instance: Instance
    attempt: Attempt
    task: asyncio.Task[AttemptResult] | None = None

    async def result(self) -> AttemptResult:
        """How the attempt ends."""
        return await (self.task if self.task is not None else self.attempt.run())

    @property
    def abort_cause(self) -> str | None:
        """Why this gateway gave the attempt up, None when it didn't."""
        return self.attempt.abort_cause.value if self.attempt.abort_cause is not None else None

    def stream_record(self, result: AttemptResult, seconds: float) -> VisitedServer:
        """What a cut stream's line tells of it.

        Args:
            result: How the attempt ended.
            seconds: From the request to that end.
        """
        silence = self.attempt.silence
        return VisitedServer(
            self.instance.name,
            result,
            self.abort_cause,
            round(seconds, 3),
            round(silence.seconds, 3),
            round(silence.stall_seconds, 3),
        )

    def failed(self, result: AttemptResult, identity: int) -> FailedAttempt:
        """What the line of an attempt without an answer tells.

        Args:
            result: How the attempt ended.
            identity: Identity of the request's content.
        """
        loss = self.attempt.loss
        return FailedAttempt(
            self.instance.name,
            self.instance.record.address,
            result,
            loss.value if loss is not None else None,
            self.abort_cause,
            identity,
        )
