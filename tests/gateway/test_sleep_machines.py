"""Two machines that may sleep between any two steps: what ran out in a sleep is not acted on.

The cores take the time from outside, so the machines here read it as processes do: from a clock
that counts suspension. The broken variant reads the steady clock, and is found.
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
passing_times = st.one_of(st.floats(0.05, 1.0), st.floats(1.0, 8.0))
sleep_times = st.floats(0.5, 20.0)


class Machine:
    """A machine's clocks and what it holds by time."""

    def __init__(self, name: str, counts_sleep: bool) -> None:
        self._counts_sleep = counts_sleep
        self._slept = 0.0
        self.lease = LeaseTracker(name, LEASE_SECONDS, MARGIN_SECONDS)
        self.proof = ProofOfFreshness(KEY_BOUND_SECONDS, True, 1.0)
        self.bucket = SharedBucket(RATE, 0.0, BURST, 0.0)
        self.awake_at = 0.0

    def now(self, true_time: float) -> float:
        """What its clock shows."""
        return true_time if self._counts_sleep else true_time - self._slept

    def sleep(self, true_time: float, seconds: float) -> None:
        """It stands still; true time goes on without it."""
        self._slept += seconds
        self.awake_at = true_time + seconds


class SleepingFleet(RuleBasedStateMachine):
    """A lease in the store, a key that is revoked, and a limit, seen by two machines."""

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

    @rule(seconds=passing_times)
    def time_passes(self, seconds: float) -> None:
        """For all of them."""
        self.time += seconds

    @rule(index=machines, seconds=sleep_times)
    def falls_asleep(self, index: int, seconds: float) -> None:
        """Between any two steps."""
        machine = self._awake(index)
        if machine is not None:
            machine.sleep(self.time, seconds)

    @rule(index=machines, seconds=sleep_times, later=st.floats(0.0, 0.5))
    def sleeps_and_wakes(self, index: int, seconds: float, later: float) -> None:
        """The next step may be the first after the wake."""
        machine = self._awake(index)
        if machine is not None:
            machine.sleep(self.time, seconds)
            self.time += seconds + later

    @rule(index=machines)
    def looks_at_the_lease(self, index: int) -> None:
        """And tries to hold it, as far as that is its turn."""
        machine = self._awake(index)
        if machine is None:
            return
        now = machine.now(self.time)
        place = StorePosition(UNKNOWN_ERA, self.version)
        machine.lease.on_observed(self.stored, place, now)
        claim = machine.lease.next_claim(now)
        if claim is not None and claim.expected == place:
            self.stored, self.version = claim.spec, self.version + 1
            machine.lease.on_written(claim, StorePosition(UNKNOWN_ERA, self.version), now)

    @rule(index=machines)
    def orders(self, index: int) -> None:
        """Only the holder by the store's record may."""
        machine = self._awake(index)
        if machine is None or not machine.lease.is_held(machine.now(self.time)):
            return
        assert self.stored is not None
        assert self.stored.fencing_token == machine.lease.fencing_token

    @rule(index=machines)
    def proves_its_configuration(self, index: int) -> None:
        """A call to the store, unless the key was revoked: then it would learn of it."""
        machine = self._awake(index)
        if machine is not None and self.revoked_at is None:
            machine.proof.on_proof(machine.now(self.time))

    @rule()
    def operator_revokes(self) -> None:
        """The store doesn't answer any more, so nobody hears of it."""
        if self.revoked_at is None:
            self.revoked_at = self.time

    @rule(index=machines)
    def serves_a_key(self, index: int) -> None:
        """Not later than the bound after its revocation."""
        machine = self._awake(index)
        if machine is None or not machine.proof.allows_keys(machine.now(self.time)):
            return
        assert self.revoked_at is None or self.time <= self.revoked_at + KEY_BOUND_SECONDS + 1e-6

    @rule(index=machines)
    def spends(self, index: int) -> None:
        """A sleep fills no bucket: what the others spent in it isn't known."""
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
        """By their own clocks, of those that are awake."""
        holding = [
            machine
            for machine in self.machines
            if machine.awake_at <= self.time and machine.lease.is_held(machine.now(self.time))
        ]
        assert len(holding) <= 1


class SteadyClockFleet(SleepingFleet):
    """The broken variant."""

    counts_sleep = False


RUNS = settings(max_examples=300, stateful_step_count=40, derandomize=True, deadline=None)
FIRST_FAULT = settings(RUNS, max_examples=2000, report_multiple_bugs=False)
"""Two faults come as a group of exceptions, and whether a second one is met hangs on the time that
shrinking the first one takes."""


def test_nothing_that_ran_out_in_a_sleep_is_acted_on() -> None:
    """Leases, keys and limits."""
    run_state_machine_as_test(SleepingFleet, settings=RUNS)


def test_the_steady_clock_is_found() -> None:
    """The same machine sees the fault that it is for."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(SteadyClockFleet, settings=FIRST_FAULT)
