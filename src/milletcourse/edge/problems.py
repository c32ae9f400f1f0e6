"""Renders failures as RFC 9457 problem documents."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from milletcourse.errors import Failure, OperationNotSent, VersionConflict

PROBLEM_CONTENT_TYPE = "application/problem+json"


def problem_document(failure: Failure) -> dict[str, Any]:
    """The problem document of a failure, including the run state of the refused work."""
    document: dict[str, Any] = {
        "type": failure.type_uri,
        "title": failure.code.replace("-", " "),
        "status": failure.http_status,
        "detail": failure.detail,
        "run_state": str(failure.run_state),
    }
    if failure.retry_after_seconds is not None:
        document["retry_after_seconds"] = failure.retry_after_seconds
    if isinstance(failure, OperationNotSent):
        document["cause"] = failure.cause.type_uri
    if isinstance(failure, VersionConflict):
        document["current_version"] = failure.current_version
        document["current"] = msgspec.json.decode(failure.current_json or "null")
    return document


def problem_body(failure: Failure) -> bytes:
    """The problem document as JSON."""
    return msgspec.json.encode(problem_document(failure))


def retry_after_header(failure: Failure) -> str | None:
    """Value of Retry-After in whole seconds; None if a retry cannot succeed."""
    if failure.retry_after_seconds is None:
        return None
    return str(max(1, math.ceil(failure.retry_after_seconds)))
