"""A token bucket that many gateways spend from together; no input/output.

Each gateway keeps a copy of the whole bucket. It fills at the whole rate, and what all gateways
spend drains every copy: the own spending at once, that of the others as they tell it. This is the
global token bucket of Raghavan and others (Cloud control with distributed rate limiting, SIGCOMM
2007). Its error is what is spent before the others hear of it; a copy then goes into debt and
refuses until that is paid back. A gateway that doesn't hear all others fills its copy with its
group's part of the rate only, so that groups which can't hear each other don't spend it twice.
"""

from __future__ import annotations

INITIAL_FILL_SECONDS = 0.5
"""A copy starts with what comes in within this time: so long it takes a process to start, in which
nothing was spent. A full burst would come anew with each restart of all gateways."""
OVERAGE_DEBT_SECONDS = 0.25
"""Tolerance beyond a limit is granted in full without a debt, and no more at a debt of so many
seconds of the rate: a tenant that sends little beyond its limit gets it, one that sends a multiple
of it doesn't."""
MAX_UPDATE_GAP_SECONDS = 1.0
"""After a longer hole, a frozen process or a slow one, what the others spent in it isn't known: it
is taken as all that came in."""
MAX_DEBT_SECONDS = 8.0
"""A debt is paid back within this time, so that a wrong tale of the others' use doesn't last."""


class SharedBucket:
    """One gateway's copy of a bucket."""

    def __init__(
        self, per_second: float, overage_per_second: float, burst: float, now: float
    ) -> None:
        """A copy at the start of a process.

        Args:
            per_second: Units that come in each second, for all gateways together.
            beyond: Units that come in each second beside them, while there is no debt.
            burst: Units that are saved up at most.
            now: Monotonic time.
        """
        self.change(per_second, overage_per_second, burst)
        self._level = min(per_second * INITIAL_FILL_SECONDS, burst)
        self._updated_at = now

    def change(self, per_second: float, overage_per_second: float, burst: float) -> None:
        """Take another limit into force; what is spent stays spent."""
        self.per_second = per_second
        self.overage_per_second = overage_per_second
        self.burst = burst

    def level(self, now: float, others_per_second: float, part: float) -> float:
        """Units left; negative while too much has been spent.

        Args:
            now: Monotonic time.
            others_per_second: What the others spend, as they told it.
            part: Part of all gateways whose spending is known here, this one included.
        """
        elapsed = now - self._updated_at
        if elapsed > MAX_UPDATE_GAP_SECONDS:
            elapsed = 0.0
        gained = (self._income() * part - others_per_second) * elapsed
        debt = self.per_second * part * MAX_DEBT_SECONDS
        self._level = min(max(self._level + gained, min(self._level, -debt)), self.burst * part)
        self._updated_at = now
        return self._level

    def _income(self) -> float:
        """Units that come in each second.

        A debt shows how much is spent before others hear of it, so it takes tolerance away.
        """
        debt_seconds = max(-self._level, 0.0) / self.per_second
        return self.per_second + self.overage_per_second * max(
            1.0 - debt_seconds / OVERAGE_DEBT_SECONDS, 0.0
        )

    def spend(self, units: float) -> None:
        """Take units out; a negative number gives units back."""
        self._level -= units
