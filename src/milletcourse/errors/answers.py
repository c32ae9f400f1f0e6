"""Failures of servers and of their answers."""

from __future__ import annotations

from milletcourse.errors.failure import Failure, RunState


class StreamIncomplete(Failure, frozen=True):
    """An answer stream could not be completed; the part already sent is a correct prefix."""

    code = "stream-incomplete"
    status = 502


class AnswerLost(Failure, frozen=True):
    """Engines were reached but returned no answer; the computation may have run."""

    code = "answer-lost"
    status = 502


class AnswerLate(Failure, frozen=True):
    """A server was reached but did not answer within the timeout; the work may have run."""

    code = "answer-late"
    status = 504


class ResumeTokenInvalid(Failure, frozen=True):
    """Last-Event-ID is not a token for this request."""

    code = "resume-token-invalid"
    status = 400
    run_state = RunState.NOT_RUN


class ResumeMismatch(Failure, frozen=True):
    """The regenerated answer differs from the part that the client already received."""

    code = "resume-mismatch"
    status = 409


class BackendUnreachable(Failure, frozen=True):
    """A connection was refused or never established; no byte was sent."""

    code = "backend-unreachable"
    status = 502
    run_state = RunState.NOT_RUN


class BackendLost(Failure, frozen=True):
    """The connection failed after bytes may have been sent."""

    code = "backend-lost"
    status = 502


class BackendRefused(Failure, frozen=True):
    """A backend answered with an error status.

    Attributes:
        backend_status: HTTP status of the backend's answer.
    """

    code = "backend-refused"
    status = 502
    backend_status: int = 0
