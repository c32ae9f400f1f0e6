"""Codec of claim requests and replies."""

from __future__ import annotations

from typing import Any

from construct import (
    Byte,
    Bytes,
    Flag,
    Float64b,
    GreedyBytes,
    If,
    Int16ub,
    Int32ub,
    Int64ub,
    PascalString,
    Prefixed,
    Struct,
    this,
)

from milletcourse.errors import FailureError, WireError
from milletcourse.operations.keys import RECORD_KEY_BYTES
from milletcourse.operations.messages import (
    Ballot,
    ClaimReply,
    ClaimRequest,
    ClaimStep,
    ClaimVerdict,
    StoredOutcome,
)
from milletcourse.wire.decoding import DECODE_ERRORS

BODY_DIGEST_BYTES = 16

_BALLOT = Struct("number" / Int64ub, "coordinator" / PascalString(Byte, "utf8"))
_OUTCOME = Struct(
    "ran" / Flag,
    "status" / Int16ub,
    "content_type" / PascalString(Byte, "utf8"),
    "body" / Prefixed(Int32ub, GreedyBytes),
)
_REQUEST = Struct(
    "step" / Byte,
    "record" / Bytes(RECORD_KEY_BYTES),
    "mint_seconds" / Float64b,
    "ballot" / _BALLOT,
    "body_digest" / Bytes(BODY_DIGEST_BYTES),
    "has_outcome" / Flag,
    "outcome" / If(this.has_outcome, _OUTCOME),
)
_REPLY = Struct(
    "verdict" / Byte,
    "has_holder" / Flag,
    "holder" / If(this.has_holder, _BALLOT),
    "has_outcome" / Flag,
    "outcome" / If(this.has_outcome, _OUTCOME),
)


def _ballot_fields(ballot: Ballot) -> dict[str, Any]:
    return {"number": ballot.number, "coordinator": ballot.coordinator}


def _outcome_fields(outcome: StoredOutcome | None) -> dict[str, Any] | None:
    if outcome is None:
        return None
    return {
        "ran": outcome.ran,
        "status": outcome.status,
        "content_type": outcome.content_type,
        "body": outcome.body,
    }


def _outcome(parsed: Any) -> StoredOutcome | None:
    if parsed is None:
        return None
    return StoredOutcome(parsed.ran, parsed.status, parsed.content_type, parsed.body)


def encode_claim(request: ClaimRequest) -> bytes:
    """Encode a request."""
    return bytes(
        _REQUEST.build(
            {
                "step": int(request.step),
                "record": request.record,
                "mint_seconds": request.mint_seconds,
                "ballot": _ballot_fields(request.ballot),
                "body_digest": request.body_digest,
                "has_outcome": request.outcome is not None,
                "outcome": _outcome_fields(request.outcome),
            }
        )
    )


def decode_claim(body: bytes) -> ClaimRequest:
    """Parse a request; raises `FailureError` with `WireError`."""
    try:
        parsed = _REQUEST.parse(body)
        return ClaimRequest(
            ClaimStep(parsed.step),
            parsed.record,
            parsed.mint_seconds,
            Ballot(parsed.ballot.number, parsed.ballot.coordinator),
            parsed.body_digest,
            _outcome(parsed.outcome),
        )
    except DECODE_ERRORS as error:
        raise FailureError(WireError(str(error)[:200])) from error


def encode_claim_reply(reply: ClaimReply) -> bytes:
    """Encode a reply."""
    return bytes(
        _REPLY.build(
            {
                "verdict": int(reply.verdict),
                "has_holder": reply.holder is not None,
                "holder": _ballot_fields(reply.holder) if reply.holder else None,
                "has_outcome": reply.outcome is not None,
                "outcome": _outcome_fields(reply.outcome),
            }
        )
    )


def decode_claim_reply(body: bytes) -> ClaimReply:
    """Parse a reply; raises `FailureError` with `WireError`."""
    try:
        parsed = _REPLY.parse(body)
        holder = None
        if parsed.holder is not None:
            holder = Ballot(parsed.holder.number, parsed.holder.coordinator)
        return ClaimReply(ClaimVerdict(parsed.verdict), holder, _outcome(parsed.outcome))
    except DECODE_ERRORS as error:
        raise FailureError(WireError(str(error)[:200])) from error
