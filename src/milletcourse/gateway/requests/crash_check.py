"""Checks why a server closed the connection of a request."""

from __future__ import annotations

import asyncio

from milletcourse.exchange.messages.answer_end import LossCause
from milletcourse.exchange.messages.messages import AbortCause, AttemptResult
from milletcourse.gateway.requests.attempt_health import CLOSED_BY_SERVER
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.requests.server_attempt import ServerAttempt
from milletcourse.gateway.servers.crash_detector import CrashDetector

MAX_CRASH_CHECK_SECONDS = 0.05
"""How long a request that may be retried waits for the check of whether its server crashed. Nothing
listens at a crashed server's port, and the refused connection shows that within a round trip."""


class CrashCheck:
    """Records whether one request crashes servers, and counts losses against servers or paths."""

    def __init__(self, detector: CrashDetector, job: ExchangeJob) -> None:
        self._detector = detector
        self._job = job

    async def on_attempt_end(
        self, server_attempt: ServerAttempt, result: AttemptResult, may_retry: bool
    ) -> None:
        """Record the evidence of an attempt: an answer against a crash, a crashed server for it.

        Args:
            server_attempt: The attempt.
            result: How it ended.
            may_retry: The request may be sent to another server; it waits for the check then.
        """
        if result is AttemptResult.ANSWERED:
            self._detector.on_answer(self._job.features)
            return
        if result is AttemptResult.FAILED:
            self._detector.on_failure_answer(self._job.features)
            return
        check = self.on_attempt_lost(server_attempt, result)
        if check is not None and may_retry:
            # Without the result of this check, the request might crash one more server.
            await asyncio.wait((check,), timeout=MAX_CRASH_CHECK_SECONDS)

    def on_attempt_lost(
        self, server_attempt: ServerAttempt, result: AttemptResult
    ) -> asyncio.Task[None] | None:
        """Start the check if the server closed the connection, and note one that was given up.

        Its result counts against the server or the path to it.
        """
        attempt = server_attempt.attempt
        has_left = attempt.abort_cause is AbortCause.CLIENT_DISCONNECTED
        if has_left and attempt.loss is LossCause.ABORTED:
            self._detector.on_abandoned(
                self._job.features, server_attempt.instance, attempt.sent_at
            )
            return None
        if attempt.loss not in CLOSED_BY_SERVER:
            return None
        check = self._detector.on_loss(self._job.features, server_attempt.instance, attempt.sent_at)
        check.add_done_callback(lambda _: attempt.health.on_path_checked(result))
        return check
