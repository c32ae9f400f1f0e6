"""Failures of a request at the edge, in policy and in admission."""

from __future__ import annotations

from dataclasses import dataclass

from milletcourse.errors.failure import Failure, RunState


@dataclass(frozen=True, slots=True)
class InternalError(Failure):
    """A defect of the router itself."""


@dataclass(frozen=True, slots=True)
class MalformedRequest(Failure):
    """The request body or its fields can't be read."""

    code = "malformed-request"
    status = 400
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class Unauthenticated(Failure):
    """No tenant has the presented key."""

    code = "unauthenticated"
    status = 401
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class NoMatchingWorkload(Failure):
    """Closed by default: no workload matches the request."""

    code = "no-matching-workload"
    status = 403
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class NotFound(Failure):
    """The named thing does not exist."""

    code = "not-found"
    status = 404
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class UnknownModel(Failure):
    """No model object has the name."""

    code = "unknown-model"
    status = 404
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class RequestTimeout(Failure):
    """The caller sent its body too slowly."""

    code = "request-timeout"
    status = 408
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class BodyTooLarge(Failure):
    """The body is over the limit."""

    code = "body-too-large"
    status = 413
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class HeadersTooLarge(Failure):
    """The header fields are over the limit."""

    code = "headers-too-large"
    status = 431
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class TenantLimitExceeded(Failure):
    """The tenant's prompt-token limit is spent."""

    code = "tenant-limit-exceeded"
    status = 429
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class Overloaded(Failure):
    """The permitted engines can't take the request now."""

    code = "overloaded"
    status = 503
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class DeadlineUnreachable(Failure):
    """The answer can't start within the workload's deadline."""

    code = "deadline-unreachable"
    status = 503
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class NoEngineAvailable(Failure):
    """Policy permits engines, but none of them is live and serving."""

    code = "no-engine-available"
    status = 503
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class ConfigurationStale(Failure):
    """The router can't prove that its configuration is in force; regulated work is refused."""

    code = "configuration-stale"
    status = 503
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class NotReady(Failure):
    """The router has no configuration yet."""

    code = "not-ready"
    status = 503
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class Draining(Failure):
    """The process is stopping and takes no new work."""

    code = "draining"
    status = 503
    run_state = RunState.NOT_RUN
