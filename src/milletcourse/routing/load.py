"""Estimates engine load from lagging reports and this router's own dispatches."""

from __future__ import annotations

from dataclasses import dataclass, field

from milletcourse.backends.engine_messages import EngineLoad

UNREACHABLE_PAUSE_SECONDS = 1.0
"""Initial pause of new work for an engine after a connection failure."""
MAX_UNREACHABLE_PAUSE_SECONDS = 15.0
LOWEST_PRIORITY = 2**31
"""Ranks below the priority of every request."""
DEFAULT_PREFILL_TOKENS_PER_SECOND = 8_000.0
"""Assumed until the first report of an engine."""


@dataclass(slots=True)
class _Dispatch:
    tokens: int
    priority: int
    at: float
    first_token_seen: bool = False


@dataclass(slots=True)
class EngineLoadState:
    """Load state of one engine.

    Attributes:
        report: Latest report, None before the first.
        measured_at: Monotonic time at which the report was measured.
        paused_until: No new work before this time.
        failures: Consecutive connection failures.
    """

    report: EngineLoad | None = None
    measured_at: float = 0.0
    paused_until: float = 0.0
    failures: int = 0
    dispatches: dict[str, _Dispatch] = field(default_factory=dict)

    @property
    def rate(self) -> float:
        """Prompt tokens computed per second."""
        if self.report is None or self.report.prefill_tokens_per_second <= 0:
            return DEFAULT_PREFILL_TOKENS_PER_SECOND
        return self.report.prefill_tokens_per_second


class LoadTable:
    """Load of all engines that this router has used or follows."""

    def __init__(self) -> None:
        self._engines: dict[str, EngineLoadState] = {}

    def state(self, engine: str) -> EngineLoadState:
        """Load state of an engine."""
        state = self._engines.get(engine)
        if state is None:
            state = self._engines[engine] = EngineLoadState()
        return state

    def forget(self, engine: str) -> None:
        """Remove an engine that is no longer configured."""
        self._engines.pop(engine, None)

    def on_report(self, engine: str, report: EngineLoad, now: float) -> None:
        """Apply a load report; reports older than the latest are ignored."""
        state = self.state(engine)
        measured_at = now - report.age_seconds
        if state.report is not None and state.report.incarnation == report.incarnation:
            if measured_at < state.measured_at:
                return
        elif state.report is not None:
            state.dispatches.clear()
        state.report = report
        state.measured_at = measured_at
        state.failures = 0

    def on_dispatched(
        self, engine: str, request_id: str, tokens: int, priority: int, now: float
    ) -> None:
        """Record that this router sent a request with `tokens` prompt tokens to compute."""
        self.state(engine).dispatches[request_id] = _Dispatch(tokens, priority, now)

    def on_first_token(self, engine: str, request_id: str) -> None:
        """Record that the request's prompt has been computed."""
        dispatch = self.state(engine).dispatches.get(request_id)
        if dispatch is not None:
            dispatch.first_token_seen = True

    def on_finished(self, engine: str, request_id: str) -> None:
        """Record that the request finished at the engine."""
        self.state(engine).dispatches.pop(request_id, None)

    def on_unreachable(self, engine: str, now: float) -> None:
        """Pause an engine after a connection failure, twice as long after each consecutive one."""
        state = self.state(engine)
        pause = UNREACHABLE_PAUSE_SECONDS * 2**state.failures
        state.failures += 1
        state.paused_until = now + min(pause, MAX_UNREACHABLE_PAUSE_SECONDS)
        state.dispatches.clear()

    def on_reachable(self, engine: str) -> None:
        """End the pause of an engine after a successful connection."""
        state = self.state(engine)
        state.failures = 0
        state.paused_until = 0.0

    def queued_tokens(self, engine: str, now: float, priority: int = LOWEST_PRIORITY) -> float:
        """Estimated prompt tokens that an engine computes before a new request's.

        Args:
            engine: Name of the engine.
            now: Monotonic seconds.
            priority: Priority of the new request; work that ranks below it does not count.
        """
        state = self.state(engine)
        reported = 0.0
        if state.report is not None:
            queued = _queued_before(state.report, priority)
            drained = state.rate * max(now - state.measured_at, 0.0)
            reported = max(queued - drained, 0.0)
        own = sum(
            item.tokens
            for item in state.dispatches.values()
            if not item.first_token_seen
            and item.at >= state.measured_at
            and item.priority <= priority
        )
        return reported + own

    def wait_seconds(self, engine: str, now: float, priority: int = LOWEST_PRIORITY) -> float:
        """Estimated seconds until an engine starts to compute a new request's prompt."""
        return self.queued_tokens(engine, now, priority) / self.state(engine).rate

    def is_usable(self, engine: str, model: str, weight_version: str, now: float) -> bool:
        """Whether the load state permits new work for an engine."""
        state = self.state(engine)
        if now < state.paused_until:
            return False
        report = state.report
        if report is None:
            return True
        return not report.leaving and report.models.get(model) == weight_version


def _queued_before(report: EngineLoad, priority: int) -> float:
    if not report.queued_by_priority:
        return report.queued_prefill_tokens
    return sum(tokens for ranked, tokens in report.queued_by_priority.items() if ranked <= priority)
