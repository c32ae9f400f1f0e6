"""Failures of a request at the edge, in policy and in admission."""

from __future__ import annotations

from milletcourse.errors.failure import Failure, RunState


class InternalError(Failure, frozen=True):
    """A defect in the router itself."""


class MalformedRequest(Failure, frozen=True):
    """The request body or its fields can't be parsed."""

    code = "malformed-request"
    status = 400
    run_state = RunState.NOT_RUN


class Unauthenticated(Failure, frozen=True):
    """The presented API key belongs to no tenant."""

    code = "unauthenticated"
    status = 401
    run_state = RunState.NOT_RUN


class NoMatchingWorkload(Failure, frozen=True):
    """No workload matches the request, which is denied by default."""

    code = "no-matching-workload"
    status = 403
    run_state = RunState.NOT_RUN


class NotFound(Failure, frozen=True):
    """The requested object or path does not exist."""

    code = "not-found"
    status = 404
    run_state = RunState.NOT_RUN


class UnknownModel(Failure, frozen=True):
    """No model object has the requested name."""

    code = "unknown-model"
    status = 404
    run_state = RunState.NOT_RUN


class RequestTimeout(Failure, frozen=True):
    """The caller sent its body too slowly."""

    code = "request-timeout"
    status = 408
    run_state = RunState.NOT_RUN


class BodyTooLarge(Failure, frozen=True):
    """The request body exceeds the size limit."""

    code = "body-too-large"
    status = 413
    run_state = RunState.NOT_RUN


class HeadersTooLarge(Failure, frozen=True):
    """The header fields exceed the size limit."""

    code = "headers-too-large"
    status = 431
    run_state = RunState.NOT_RUN


class TenantLimitExceeded(Failure, frozen=True):
    """The prompt-token limit of the tenant is exhausted."""

    code = "tenant-limit-exceeded"
    status = 429
    run_state = RunState.NOT_RUN


class GatewayExhausted(Failure, frozen=True):
    """The gateway lacks local resources to forward the request; another gateway may have them."""

    code = "gateway-exhausted"
    status = 503
    run_state = RunState.NOT_RUN


class ServersUnreachable(Failure, frozen=True):
    """Neither this gateway nor another one reaches a server that may run the request."""

    code = "servers-unreachable"
    status = 503
    run_state = RunState.NOT_RUN


class StreamNotResumable(Failure, frozen=True):
    """No server may continue a stream, or it isn't known which software version began it."""

    code = "stream-not-resumable"
    status = 503
    run_state = RunState.NOT_RUN


class ServersAtLimit(Failure, frozen=True):
    """All eligible servers have a request limit, and the limit of each is used up."""

    code = "servers-at-limit"
    status = 503
    run_state = RunState.NOT_RUN


class ServersBackingOff(Failure, frozen=True):
    """All eligible servers requested back-off from this gateway or are shutting down."""

    code = "servers-resting"
    status = 503
    run_state = RunState.NOT_RUN


class ServersFull(Failure, frozen=True):
    """All slots of servers that must not be made to reject requests are in use."""

    code = "servers-full"
    status = 503
    run_state = RunState.NOT_RUN


class ServersLeaving(Failure, frozen=True):
    """All eligible servers announced that they are shutting down."""

    code = "servers-leaving"
    status = 503
    run_state = RunState.NOT_RUN


class RequestContained(Failure, frozen=True):
    """Several servers in turn crashed while serving this request; it is not sent to another one."""

    code = "request-contained"
    status = 503
    run_state = RunState.NOT_RUN


class Overloaded(Failure, frozen=True):
    """The permitted engines have no capacity for the request at present."""

    code = "overloaded"
    status = 503
    run_state = RunState.NOT_RUN


class DeadlineUnreachable(Failure, frozen=True):
    """The answer can't start before the workload's deadline."""

    code = "deadline-unreachable"
    status = 503
    run_state = RunState.NOT_RUN


class NoEngineAvailable(Failure, frozen=True):
    """Policy permits engines, but none of them is live and serving."""

    code = "no-engine-available"
    status = 503
    run_state = RunState.NOT_RUN


class ConfigurationStale(Failure, frozen=True):
    """The router can't prove that its configuration is current; regulated work is refused."""

    code = "configuration-stale"
    status = 503
    run_state = RunState.NOT_RUN


class NotReady(Failure, frozen=True):
    """The router has not loaded a configuration yet."""

    code = "not-ready"
    status = 503
    run_state = RunState.NOT_RUN


class Draining(Failure, frozen=True):
    """The process is shutting down and accepts no new work."""

    code = "draining"
    status = 503
    run_state = RunState.NOT_RUN
