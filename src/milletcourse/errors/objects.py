"""Failures of objects, of the platform that stores them, and of messages between routers."""

from __future__ import annotations

from milletcourse.errors.failure import Failure, RunState


class InvalidObject(Failure, frozen=True):
    """A policy object or a settings value is invalid.

    Attributes:
        key: Path of the invalid value, e.g. `workloads.checks.run.engines`.
        value: The invalid value, shortened.
        allowed: Description of the accepted values.
    """

    code = "invalid-object"
    status = 422
    run_state = RunState.NOT_RUN
    key: str = ""
    value: str = ""
    allowed: str = ""

    def line(self) -> str:
        """Format the failure as one line of command-line output."""
        return f"{self.code}: key={self.key} value={self.value} allowed={self.allowed}"


class VersionConflict(Failure, frozen=True):
    """A compare-and-set failed because another change was accepted first.

    Attributes:
        current_version: Current version of the object, 0 when it does not exist.
        current_json: The current object as JSON text.
    """

    code = "version-conflict"
    status = 409
    run_state = RunState.NOT_RUN
    current_version: int = 0
    current_json: str = ""


class ChangeUnknown(Failure, frozen=True):
    """The platform's response was lost and reading back has not resolved the change yet."""

    code = "change-unknown"
    status = 504


class PlatformUnavailable(Failure, frozen=True):
    """The platform can't be reached; the change was not sent."""

    code = "platform-unavailable"
    status = 503
    run_state = RunState.NOT_RUN


class PlatformBehind(Failure, frozen=True):
    """The platform returned an older state than the one in force here."""

    code = "platform-behind"
    status = 503
    run_state = RunState.NOT_RUN


class HistoryExpired(Failure, frozen=True):
    """The watch can't continue from the requested revision."""

    code = "history-expired"
    status = 410
    run_state = RunState.NOT_RUN


class TooManyWatches(Failure, frozen=True):
    """The platform accepts no further watch."""

    code = "too-many-watches"
    status = 429
    run_state = RunState.NOT_RUN


class FencingTokenSpent(Failure, frozen=True):
    """An order carried a lower fencing token than one seen before."""

    code = "fencing-token-spent"
    status = 409
    run_state = RunState.NOT_RUN


class WireError(Failure, frozen=True):
    """A message from another router can't be decoded or is not authentic."""

    code = "wire-error"
    status = 400
    run_state = RunState.NOT_RUN
