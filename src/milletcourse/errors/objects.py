"""Failures of objects, of the platform that keeps them, and of messages between routers."""

from __future__ import annotations

from milletcourse.errors.failure import Failure, RunState


class InvalidObject(Failure, frozen=True):
    """A policy object or a settings value is not valid.

    Attributes:
        key: Path of the wrong value, e.g. `workloads.checks.run.engines`.
        value: The wrong value, shortened.
        allowed: What would be accepted.
    """

    code = "invalid-object"
    status = 422
    run_state = RunState.NOT_RUN
    key: str = ""
    value: str = ""
    allowed: str = ""

    def line(self) -> str:
        """One line for command-line output."""
        return f"{self.code}: key={self.key} value={self.value} allowed={self.allowed}"


class VersionConflict(Failure, frozen=True):
    """Compare-and-set lost against another change.

    Attributes:
        current_version: Version of the object as it stands, 0 when it does not exist.
        current_json: The object as it stands, as JSON text.
    """

    code = "version-conflict"
    status = 409
    run_state = RunState.NOT_RUN
    current_version: int = 0
    current_json: str = ""


class ChangeUnknown(Failure, frozen=True):
    """The platform's answer was lost and reading back has not settled the change yet."""

    code = "change-unknown"
    status = 504


class PlatformUnavailable(Failure, frozen=True):
    """The platform can't be reached; the change was not sent."""

    code = "platform-unavailable"
    status = 503
    run_state = RunState.NOT_RUN


class PlatformBehind(Failure, frozen=True):
    """The platform shows an older state than the one in force here."""

    code = "platform-behind"
    status = 503
    run_state = RunState.NOT_RUN


class HistoryExpired(Failure, frozen=True):
    """The watch can't continue from the asked revision."""

    code = "history-expired"
    status = 410
    run_state = RunState.NOT_RUN


class TooManyWatches(Failure, frozen=True):
    """The platform bears no further watch."""

    code = "too-many-watches"
    status = 429
    run_state = RunState.NOT_RUN


class FencingTokenSpent(Failure, frozen=True):
    """An order carried a lower fencing token than one seen before."""

    code = "fencing-token-spent"
    status = 409
    run_state = RunState.NOT_RUN


class WireError(Failure, frozen=True):
    """A message of another router can't be decoded or is not authentic."""

    code = "wire-error"
    status = 400
    run_state = RunState.NOT_RUN
