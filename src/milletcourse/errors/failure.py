"""Base class of typed failures.

A `Failure` is a value that says what failed, whether the work ran, and when to retry. Code without
I/O returns failures inside `returns.result.Result`; asyncio code raises them wrapped in
`FailureError`. The edge renders a failure as an RFC 9457 problem document.
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

import msgspec

PROBLEM_TYPE_PREFIX = "urn:milletcourse:problem:"


class RunState(StrEnum):
    """Whether the work of a failed request was executed."""

    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class Failure(msgspec.Struct, frozen=True):
    """Base of all failures.

    Attributes:
        detail: A sentence for the caller; never contains prompt text, keys or tokens.
        retry_after_seconds: Delay after which a retry may succeed; None when none can.
    """

    code: ClassVar[str] = "internal-error"
    status: ClassVar[int] = 500
    run_state: ClassVar[RunState] = RunState.UNKNOWN

    detail: str = ""
    retry_after_seconds: float | None = None

    @property
    def type_uri(self) -> str:
        """Stable RFC 9457 problem type."""
        return PROBLEM_TYPE_PREFIX + self.code

    @property
    def http_status(self) -> int:
        """HTTP status of the answer."""
        return self.status


class FailureError(Exception):
    """Exception that carries a `Failure` through asyncio code."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.code}: {failure.detail}")
        self.failure = failure
