"""Failures of servers and of the answers that they give."""

from __future__ import annotations

from milletcourse.errors.failure import Failure, RunState


class StreamIncomplete(Failure, frozen=True):
    """An answer stream could not be completed; what was sent is a correct prefix."""

    code = "stream-incomplete"
    status = 502


class AnswerLost(Failure, frozen=True):
    """Engines were reached but no answer came; the computation may have run."""

    code = "answer-lost"
    status = 502


class AnswerLate(Failure, frozen=True):
    """A server was reached but its answer did not come in the time allowed; it may have run."""

    code = "answer-late"
    status = 504


class ResumeTokenInvalid(Failure, frozen=True):
    """Last-Event-ID is not a token for this request."""

    code = "resume-token-invalid"
    status = 400
    run_state = RunState.NOT_RUN


class ResumeMismatch(Failure, frozen=True):
    """The regenerated answer differs from what the client already has."""

    code = "resume-mismatch"
    status = 409


class BackendUnreachable(Failure, frozen=True):
    """A connection was refused or never made: no byte was sent."""

    code = "backend-unreachable"
    status = 502
    run_state = RunState.NOT_RUN


class BackendLost(Failure, frozen=True):
    """The connection failed after bytes may have been sent."""

    code = "backend-lost"
    status = 502


class BackendRefused(Failure, frozen=True):
    """A back end answered with an error status.

    Attributes:
        backend_status: The HTTP status it answered with.
    """

    code = "backend-refused"
    status = 502
    backend_status: int = 0
