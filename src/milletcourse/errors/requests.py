"""Failures of a request at the edge, in policy and in admission."""

from __future__ import annotations

from milletcourse.errors.failure import Failure, RunState


class InternalError(Failure, frozen=True):
    """A defect of the router itself."""


class MalformedRequest(Failure, frozen=True):
    """The request body or its fields can't be read."""

    code = "malformed-request"
    status = 400
    run_state = RunState.NOT_RUN


class Unauthenticated(Failure, frozen=True):
    """No tenant has the presented key."""

    code = "unauthenticated"
    status = 401
    run_state = RunState.NOT_RUN


class NoMatchingWorkload(Failure, frozen=True):
    """Closed by default: no workload matches the request."""

    code = "no-matching-workload"
    status = 403
    run_state = RunState.NOT_RUN


class NotFound(Failure, frozen=True):
    """The named thing does not exist."""

    code = "not-found"
    status = 404
    run_state = RunState.NOT_RUN


class UnknownModel(Failure, frozen=True):
    """No model object has the name."""

    code = "unknown-model"
    status = 404
    run_state = RunState.NOT_RUN


class RequestTimeout(Failure, frozen=True):
    """The caller sent its body too slowly."""

    code = "request-timeout"
    status = 408
    run_state = RunState.NOT_RUN


class BodyTooLarge(Failure, frozen=True):
    """The body is over the limit."""

    code = "body-too-large"
    status = 413
    run_state = RunState.NOT_RUN


class HeadersTooLarge(Failure, frozen=True):
    """The header fields are over the limit."""

    code = "headers-too-large"
    status = 431
    run_state = RunState.NOT_RUN


class TenantLimitExceeded(Failure, frozen=True):
    """The tenant's prompt-token limit is spent."""

    code = "tenant-limit-exceeded"
    status = 429
    run_state = RunState.NOT_RUN


class GatewayExhausted(Failure, frozen=True):
    """The gateway itself has no means to pass the request on; another one may."""

    code = "gateway-exhausted"
    status = 503
    run_state = RunState.NOT_RUN


class ServersAtLimit(Failure, frozen=True):
    """All servers that may take it limit their requests, and have got what they take."""

    code = "servers-at-limit"
    status = 503
    run_state = RunState.NOT_RUN


class ServersResting(Failure, frozen=True):
    """All servers that may take it asked this gateway for rest, or are about to end."""

    code = "servers-resting"
    status = 503
    run_state = RunState.NOT_RUN


class ServersLeaving(Failure, frozen=True):
    """All servers that may take it said that they are about to end."""

    code = "servers-leaving"
    status = 503
    run_state = RunState.NOT_RUN


class RequestContained(Failure, frozen=True):
    """Servers ended under this request, one after the other, so it isn't sent to another one."""

    code = "request-contained"
    status = 503
    run_state = RunState.NOT_RUN


class Overloaded(Failure, frozen=True):
    """The permitted engines can't take the request now."""

    code = "overloaded"
    status = 503
    run_state = RunState.NOT_RUN


class DeadlineUnreachable(Failure, frozen=True):
    """The answer can't start within the workload's deadline."""

    code = "deadline-unreachable"
    status = 503
    run_state = RunState.NOT_RUN


class NoEngineAvailable(Failure, frozen=True):
    """Policy permits engines, but none of them is live and serving."""

    code = "no-engine-available"
    status = 503
    run_state = RunState.NOT_RUN


class ConfigurationStale(Failure, frozen=True):
    """The router can't prove that its configuration is in force; regulated work is refused."""

    code = "configuration-stale"
    status = 503
    run_state = RunState.NOT_RUN


class NotReady(Failure, frozen=True):
    """The router has no configuration yet."""

    code = "not-ready"
    status = 503
    run_state = RunState.NOT_RUN


class Draining(Failure, frozen=True):
    """The process is stopping and takes no new work."""

    code = "draining"
    status = 503
    run_state = RunState.NOT_RUN
