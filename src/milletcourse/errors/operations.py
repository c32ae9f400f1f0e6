"""Failures of writes with at-most-once execution."""

from __future__ import annotations

import msgspec

from milletcourse.errors.failure import Failure, RunState


class InvalidIdempotencyKey(Failure, frozen=True):
    """Idempotency-Key is not a UUIDv7."""

    code = "invalid-idempotency-key"
    status = 400
    run_state = RunState.NOT_RUN


class IdempotencyKeyReused(Failure, frozen=True):
    """The key was already claimed for another body; the first claim remains valid."""

    code = "idempotency-key-reused"
    status = 422
    run_state = RunState.NOT_RUN


class IdempotencyKeyFromFuture(Failure, frozen=True):
    """The time in the key is ahead of this router's clock by more than the skew bound.

    The run state is unknown, since a router with a faster clock may have accepted the key.
    """

    code = "idempotency-key-from-future"
    status = 400


class OperationKeyTooOld(Failure, frozen=True):
    """The replicas no longer know whether an earlier attempt ran."""

    code = "operation-key-too-old"
    status = 409


class OperationInProgress(Failure, frozen=True):
    """Another router holds the claim and has not recorded an outcome."""

    code = "operation-in-progress"
    status = 409


class OperationUnknown(Failure, frozen=True):
    """The write was sent but no answer was received; it may or may not have taken effect."""

    code = "operation-unknown"
    status = 504


class OperationNotRun(Failure, frozen=True):
    """The write was provably never sent."""

    code = "operation-not-run"
    status = 503
    run_state = RunState.NOT_RUN


class OperationNotSent(Failure, frozen=True):
    """This attempt was refused before it was sent, but the caller supplied its key.

    The run state is unknown, since another attempt with the same key may have run elsewhere.

    Attributes:
        cause: The failure with which this attempt was refused.
    """

    code = "operation-not-sent"
    status = 503
    cause: Failure = msgspec.field(default_factory=Failure)

    @property
    def http_status(self) -> int:
        """HTTP status of the cause."""
        return self.cause.http_status


class NoQuorum(Failure, frozen=True):
    """Too few replicas of the key answered; this attempt sent nothing.

    The run state is unknown since an earlier attempt with the same key may have run.
    """

    code = "no-quorum"
    status = 503
