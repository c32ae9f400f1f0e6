"""An attempt together with its server, and the records of it for the log."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.requests.attempt import Attempt
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.telemetry.request_records import (
    AnsweredAttempt,
    FailedAttempt,
    VisitedServer,
)


@dataclass
class ServerAttempt:
    """An attempt at one server.

    Attributes:
        instance: The server.
        attempt: The attempt at that server.
        task: The task that runs the attempt; None when `result` runs it.
    """

    instance: Instance
    attempt: Attempt
    task: asyncio.Task[AttemptResult] | None = None

    async def result(self) -> AttemptResult:
        """Wait for the result of the attempt, and run it unless a task does."""
        return await (self.task if self.task is not None else self.attempt.run())

    @property
    def abort_cause(self) -> str | None:
        """Why this gateway aborted the attempt, None when it did not."""
        return self.attempt.abort_cause.value if self.attempt.abort_cause is not None else None

    def stream_record(self, result: AttemptResult, seconds: float) -> VisitedServer:
        """The record of this attempt for the log line of a truncated stream.

        Args:
            result: Result of the attempt.
            seconds: Time from the request to that result.
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

    def answer_record(self) -> AnsweredAttempt:
        """The record of this attempt for the log line of a served request."""
        return AnsweredAttempt(
            self.instance.name,
            self.instance.record.software_version,
            self.attempt.through,
            self.attempt.answer_end,
            self.attempt.cache_salt,
            self.attempt.connection_use,
        )

    def failure_record(
        self, result: AttemptResult, job: ExchangeJob, answers_others: bool
    ) -> FailedAttempt:
        """The record of this attempt for the log line of a failed attempt.

        Args:
            result: Result of the attempt.
            job: The request.
            answers_others: Whether the server has recently answered requests of any gateway.
        """
        loss = self.attempt.loss
        return FailedAttempt(
            self.instance.name,
            self.instance.record.software_version,
            self.instance.record.address,
            result,
            loss.value if loss is not None else None,
            self.attempt.answer_end,
            self.abort_cause,
            job.features,
            self.attempt.connect_seconds,
            self.attempt.through,
            answers_others,
            self.attempt.connection_use,
        )
