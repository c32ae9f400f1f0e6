"""State machine test: nothing that expired during a suspension of the machine is acted on.

Two machines may be suspended between any two steps. The classes under test receive the time as an
argument, so the machines read it as processes do: from a clock that counts suspensions. A broken
variant reads a clock that does not (as CLOCK_MONOTONIC) and must fail the test.
"""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from milletcourse.control.lease import LeaseSpec, LeaseTracker
from milletcourse.exchange.limits.shared_bucket import MAX_UPDATE_GAP_SECONDS, SharedBucket
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.exchange.replication.freshness import ProofOfFreshness

LEASE_SECONDS = 3.0
MARGIN_SECONDS = 1.0
KEY_BOUND_SECONDS = 5.0
RATE = 10.0
BURST = 20.0

machines = st.sampled_from([0, 1])
elapsed_times = st.one_of(st.floats(0.05, 1.0), st.floats(1.0, 8.0))
suspension_times = st.floats(0.5, 20.0)


class Machine:
    """A machine's clock and its time-limited state: a lease, a proof and a bucket."""

    def __init__(self, name: str, counts_sleep: bool) -> None:
        self._counts_sleep = counts_sleep
        self._suspended_seconds = 0.0
        self.lease = LeaseTracker(name, LEASE_SECONDS, MARGIN_SECONDS)
        self.proof = ProofOfFreshness(KEY_BOUND_SECONDS, True, 1.0)
        self.bucket = SharedBucket(RATE, 0.0, BURST, 0.0)
        self.awake_at = 0.0

    def now(self, true_time: float) -> float:
        """The reading of the machine's clock."""
        return true_time if self._counts_sleep else true_time - self._suspended_seconds

    def sleep(self, true_time: float, seconds: float) -> None:
        """Suspend the machine; true time continues."""
        self._suspended_seconds += seconds
        self.awake_at = true_time + seconds


class SleepingFleet(RuleBasedStateMachine):
    """Two machines with a lease in the store, an API key that is revoked, and a shared limit."""

    counts_sleep = True

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0
        self.machines = [Machine(name, self.counts_sleep) for name in ("a", "b")]
        self.stored: LeaseSpec | None = None
        self.version = 0
        self.revoked_at: float | None = None

    def _awake(self, index: int) -> Machine | None:
        machine = self.machines[index]
        return machine if machine.awake_at <= self.time else None

    @rule(seconds=elapsed_times)
    def time_passes(self, seconds: float) -> None:
        """True time advances for both machines."""
        self.time += seconds

    @rule(index=machines, seconds=suspension_times)
    def falls_asleep(self, index: int, seconds: float) -> None:
        """Suspend a machine; the other one continues meanwhile."""
        machine = self._awake(index)
        if machine is not None:
            machine.sleep(self.time, seconds)

    @rule(index=machines, seconds=suspension_times, later=st.floats(0.0, 0.5))
    def sleeps_and_wakes(self, index: int, seconds: float, later: float) -> None:
        """Suspend a machine and advance time until after it resumes."""
        machine = self._awake(index)
        if machine is not None:
            machine.sleep(self.time, seconds)
            self.time += seconds + later

    @rule(index=machines)
    def looks_at_the_lease(self, index: int) -> None:
        """Read the lease in the store, and claim or renew it when that is due."""
        machine = self._awake(index)
        if machine is None:
            return
        now = machine.now(self.time)
        position = StorePosition(UNKNOWN_ERA, self.version)
        machine.lease.on_observed(self.stored, position, now)
        claim = machine.lease.next_claim(now)
        if claim is not None and claim.expected == position:
            self.stored, self.version = claim.spec, self.version + 1
            machine.lease.on_written(claim, StorePosition(UNKNOWN_ERA, self.version), now)

    @rule(index=machines)
    def orders(self, index: int) -> None:
        """Only the holder recorded in the store may send orders."""
        machine = self._awake(index)
        if machine is None or not machine.lease.is_held(machine.now(self.time)):
            return
        assert self.stored is not None
        assert self.stored.fencing_token == machine.lease.fencing_token

    @rule(index=machines)
    def proves_its_configuration(self, index: int) -> None:
        """Prove the configuration current by a call to the store, unless the key is revoked."""
        machine = self._awake(index)
        if machine is not None and self.revoked_at is None:
            machine.proof.on_proof(machine.now(self.time))

    @rule()
    def operator_revokes(self) -> None:
        """The store stops answering after it, so no machine receives the revocation."""
        if self.revoked_at is None:
            self.revoked_at = self.time

    @rule(index=machines)
    def serves_a_key(self, index: int) -> None:
        """The key is not served later than `KEY_BOUND_SECONDS` after its revocation."""
        machine = self._awake(index)
        if machine is None or not machine.proof.allows_keys(machine.now(self.time)):
            return
        assert self.revoked_at is None or self.time <= self.revoked_at + KEY_BOUND_SECONDS + 1e-6

    @rule(index=machines)
    def spends(self, index: int) -> None:
        """A suspension refills no bucket: what others spent meanwhile is unknown."""
        machine = self._awake(index)
        if machine is None:
            return
        level = machine.bucket.level(machine.now(self.time), 0.0, 1.0)
        if level > 0.0:
            machine.bucket.spend(BURST)
            after = machine.bucket.level(machine.now(self.time), 0.0, 1.0)
            assert after <= level - BURST + RATE * MAX_UPDATE_GAP_SECONDS

    @invariant()
    def at_most_one_holds_the_lease(self) -> None:
        """Judged by the machines' own clocks, among those that are running."""
        holding = [
            machine
            for machine in self.machines
            if machine.awake_at <= self.time and machine.lease.is_held(machine.now(self.time))
        ]
        assert len(holding) <= 1


class SteadyClockFleet(SleepingFleet):
    """The broken variant: its clocks do not count suspensions."""

    counts_sleep = False


RUNS = settings(max_examples=300, stateful_step_count=40, derandomize=True, deadline=None)
FIRST_FAULT = settings(RUNS, max_examples=2000, report_multiple_bugs=False)
"""Reports a single fault: two would be raised as an exception group, and whether a second one is
found depends on the time that shrinking the first one takes."""


def test_nothing_that_expired_in_a_suspension_is_acted_on() -> None:
    """This covers leases, keys and limits."""
    run_state_machine_as_test(SleepingFleet, settings=RUNS)


def test_a_clock_without_suspensions_fails() -> None:
    """The state machine detects the fault that it is designed for."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(SteadyClockFleet, settings=FIRST_FAULT)
