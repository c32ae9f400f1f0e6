"""A token bucket that many gateways share; no input/output.

Each gateway keeps a copy of the whole bucket. It fills at the whole rate, and the use of all
gateways drains every copy: its own use at once, that of the others as they report it. This is the
global token bucket of Raghavan and others (Cloud control with distributed rate limiting, SIGCOMM
2007). Its error is the use that is not yet reported; a copy then goes into debt and refuses
requests until the debt is paid back. A gateway that doesn't receive the reports of all others fills
its copy with its partition's share of the rate only, so that partitions don't each use the whole
rate.
"""

from __future__ import annotations

INITIAL_FILL_SECONDS = 0.5
"""A copy starts with the units of this time, which is how long a process takes to start without
using any. Starting full would allow another burst after each restart of all gateways."""
OVERAGE_DEBT_SECONDS = 0.25
"""Overage is granted in full without a debt, and not at all from a debt of this many seconds of the
rate: a tenant slightly above its limit gets it, one that sends a multiple of its limit doesn't."""
MAX_UPDATE_GAP_SECONDS = 1.0
"""After a longer gap between updates, as in a stalled process, the others' use during the gap is
unknown: it is assumed to equal all units that came in."""
MAX_DEBT_SECONDS = 8.0
"""A debt is paid back within this time, which bounds the effect of a wrong report of use."""


class SharedBucket:
    """One gateway's copy of a bucket."""

    def __init__(
        self, per_second: float, overage_per_second: float, burst: float, now: float
    ) -> None:
        """Create the copy at the start of a process.

        Args:
            per_second: Units that come in each second, for all gateways together.
            overage_per_second: Units that come in each second in addition while there is no debt.
            burst: Capacity of the bucket in units.
            now: Monotonic time.
        """
        self.change(per_second, overage_per_second, burst)
        self._level = min(per_second * INITIAL_FILL_SECONDS, burst)
        self._updated_at = now

    def change(self, per_second: float, overage_per_second: float, burst: float) -> None:
        """Apply another limit; use so far still counts."""
        self.per_second = per_second
        self.overage_per_second = overage_per_second
        self.burst = burst

    def level(self, now: float, others_per_second: float, limit_share: float) -> float:
        """Units left; negative while the bucket is in debt.

        Args:
            now: Monotonic time.
            others_per_second: Use by the other gateways, as they reported it.
            limit_share: Fraction of all gateways whose use is known here, this one included.
        """
        elapsed = now - self._updated_at
        if elapsed > MAX_UPDATE_GAP_SECONDS:
            elapsed = 0.0
        gained = (self._income() * limit_share - others_per_second) * elapsed
        debt = self.per_second * limit_share * MAX_DEBT_SECONDS
        self._level = min(
            max(self._level + gained, min(self._level, -debt)), self.burst * limit_share
        )
        self._updated_at = now
        return self._level

    def _income(self) -> float:
        """Units that come in each second.

        A debt is a measure of the use that is not yet reported, so it reduces the granted overage.
        """
        debt_seconds = max(-self._level, 0.0) / self.per_second
        return self.per_second + self.overage_per_second * max(
            1.0 - debt_seconds / OVERAGE_DEBT_SECONDS, 0.0
        )

    def spend(self, units: float) -> None:
        """Take units out of the bucket; a negative number refunds units."""
        self._level -= units
