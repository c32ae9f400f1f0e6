"""What a typed failure is.

A `Failure` is a value: it says what went wrong, whether the work ran, and when to come back. Pure
cores return failures inside `returns.result.Result`; asyncio code raises them wrapped in
`FailureError`. The edge renders a failure as an RFC 9457 problem document.
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

import msgspec

PROBLEM_TYPE_PREFIX = "urn:milletcourse:problem:"


class RunState(StrEnum):
    """Whether the refused work was executed."""

    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class Failure(msgspec.Struct, frozen=True):
    """Base of all failures.

    Attributes:
        detail: A sentence for the caller; never prompt text, keys or tokens.
        retry_after_seconds: When coming back helps; None when it does not.
    """

    code: ClassVar[str] = "internal-error"
    status: ClassVar[int] = 500
    run_state: ClassVar[RunState] = RunState.UNKNOWN

    detail: str = ""
    retry_after_seconds: float | None = None

    @property
    def type_uri(self) -> str:
        """Stable problem type of RFC 9457."""
        return PROBLEM_TYPE_PREFIX + self.code

    @property
    def http_status(self) -> int:
        """HTTP status of the answer."""
        return self.status


class FailureError(Exception):
    """Carries a `Failure` through asyncio code."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.code}: {failure.detail}")
        self.failure = failure
