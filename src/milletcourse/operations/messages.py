"""Messages between the coordinator of an operation and the replicas of its key."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class ClaimStep(IntEnum):
    """Step that a coordinator requests from a replica."""

    PREPARE = 1
    DISPATCHING = 2
    OUTCOME = 3


class ClaimVerdict(IntEnum):
    """Verdict of a replica on a step.

    ACCEPTED: the step is recorded.
    HELD: a higher ballot, or a recent claim of another coordinator, holds the key.
    DISPATCHED: another ballot has recorded that it may have sent the write.
    FINISHED: the outcome is attached.
    BODY_DIFFERS: the key was claimed with another body.
    TOO_OLD: the key is older than the claims this replica is certain to know.
    FROM_FUTURE: the time in the key is ahead of this replica's clock.
    NOT_REPLICA: this router is not a replica of the key in its configuration.
    """

    ACCEPTED = 1
    HELD = 2
    DISPATCHED = 3
    FINISHED = 4
    BODY_DIFFERS = 5
    TOO_OLD = 6
    FROM_FUTURE = 7
    NOT_REPLICA = 8


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Orders the coordinators of one key; the coordinator name breaks ties.

    Attributes:
        number: Wall milliseconds at which the coordinator started the attempt.
        coordinator: Name and incarnation of the router.
    """

    number: int
    coordinator: str


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """The recorded outcome of an operation.

    Attributes:
        ran: False when the write was provably never sent.
        status: HTTP status of the application's answer.
        content_type: Its content type.
        body: Its body.
    """

    ran: bool
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """One step for one key.

    Attributes:
        step: The requested step.
        record: Scoped digest of the key.
        mint_seconds: Wall time encoded in the key.
        ballot: The coordinator's ballot.
        body_digest: Digest of the write's method, path, content type and body.
        outcome: Present with the OUTCOME step.
    """

    step: ClaimStep
    record: bytes
    mint_seconds: float
    ballot: Ballot
    body_digest: bytes
    outcome: StoredOutcome | None = None


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """A replica's reply to one step.

    Attributes:
        verdict: See `ClaimVerdict`.
        holder: Ballot that holds the key, when another one does.
        outcome: Present with FINISHED.
    """

    verdict: ClaimVerdict
    holder: Ballot | None = None
    outcome: StoredOutcome | None = None
