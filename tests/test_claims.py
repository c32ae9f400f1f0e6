"""At most one coordinator may send a write under any restarts, clock skews and interleavings."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from milletcourse.operations.messages import (
    Ballot,
    ClaimRequest,
    ClaimStep,
    ClaimVerdict,
    StoredOutcome,
)
from milletcourse.operations.replica import (
    CLOCK_DIFFERENCE_BOUND_SECONDS,
    RETENTION_SECONDS,
    SKEW_BOUND_SECONDS,
    ClaimReplica,
)

REPLICAS = 3
MAJORITY = 2
BALLOTS = 2
MAX_CLOCK_ERROR_SECONDS = CLOCK_DIFFERENCE_BOUND_SECONDS / 2
START_SECONDS = 1_000_000.0
clock_errors = st.sampled_from((-MAX_CLOCK_ERROR_SECONDS, 0.0, MAX_CLOCK_ERROR_SECONDS))


quorums = st.sampled_from(((0, 1), (0, 2), (1, 2), (0, 1, 2), (0,), (1,), (2,)))
ballots = st.integers(0, BALLOTS - 1)


class ClaimMachine(RuleBasedStateMachine):
    """Coordinators of one key, replicas that lose their state at restart, bounded clock errors."""

    vote_after_start_seconds = SKEW_BOUND_SECONDS + CLOCK_DIFFERENCE_BOUND_SECONDS

    def __init__(self) -> None:
        super().__init__()
        self.now = START_SECONDS
        self.errors = [0.0] * REPLICAS
        self.replicas = [ClaimReplica(0.0) for _ in range(REPLICAS)]
        self.mint_seconds = START_SECONDS
        self.prepared: dict[int, set[int]] = {}
        self.accepted: dict[int, set[int]] = {}

    def send_step(self, step: ClaimStep, ballot: int, quorum: tuple[int, ...]) -> set[int]:
        """Send one step to some replicas; return those that accepted it."""
        request = ClaimRequest(
            step, bytes(16), self.mint_seconds, Ballot(ballot, f"router-{ballot}"), bytes(16)
        )
        return {
            replica
            for replica in quorum
            if self.replicas[replica].handle(request, self.now + self.errors[replica]).verdict
            is ClaimVerdict.ACCEPTED
        }

    @rule(seconds=st.sampled_from((0.1, 1.1, 2.1)))
    def time_passes(self, seconds: float) -> None:
        """Advance the true time."""
        self.now += seconds

    @rule(ahead=st.sampled_from((-2.0, -0.6, 0.0, 0.4, 0.9)))
    def mint(self, ahead: float) -> None:
        """Choose the mint time of the key before its first use."""
        if not self.prepared and not self.accepted:
            self.mint_seconds = self.now + ahead

    @rule(replica=st.integers(0, REPLICAS - 1), error=clock_errors)
    def restart(self, replica: int, error: float) -> None:
        """Restart a replica without its state, on a machine with another clock error."""
        self.errors[replica] = error
        self.replicas[replica] = ClaimReplica(self.now + error, self.vote_after_start_seconds)

    @rule(ballot=ballots, quorum=quorums)
    def prepare(self, ballot: int, quorum: tuple[int, ...]) -> None:
        """Deliver PREPARE to some replicas."""
        accepted = self.send_step(ClaimStep.PREPARE, ballot, quorum)
        self.prepared.setdefault(ballot, set()).update(accepted)

    @rule(ballot=ballots, quorum=quorums)
    def dispatching(self, ballot: int, quorum: tuple[int, ...]) -> None:
        """Deliver DISPATCHING to some replicas, only after a majority of promises."""
        if len(self.prepared.get(ballot, ())) < MAJORITY:
            return
        accepted = self.send_step(ClaimStep.DISPATCHING, ballot, quorum)
        self.accepted.setdefault(ballot, set()).update(accepted)

    @rule(ballot=ballots, quorum=quorums)
    def attempt(self, ballot: int, quorum: tuple[int, ...]) -> None:
        """Deliver both steps in sequence to the same replicas."""
        self.prepare(ballot, quorum)
        self.dispatching(ballot, quorum)

    @invariant()
    def one_sender(self) -> None:
        """No two coordinators may send the write."""
        senders = [item for item, replicas in self.accepted.items() if len(replicas) >= MAJORITY]
        assert len(senders) <= 1


class VotesAtOnce(ClaimMachine):
    """Faulty rule: a restarted replica votes on keys its previous incarnation may have seen."""

    vote_after_start_seconds = -1e9


class IgnoresClockDifference(ClaimMachine):
    """Faulty rule: it omits the bounds on clock skew and clock differences."""

    vote_after_start_seconds = 0.0


SETTINGS = settings(
    max_examples=1500, stateful_step_count=12, derandomize=True, deadline=None, database=None
)


SEARCH = settings(SETTINGS, max_examples=8000)
"""More examples, to find a rare fault; the search ends at the first failure."""


def test_at_most_one_sender() -> None:
    """The production rule holds in all explored runs."""
    run_state_machine_as_test(ClaimMachine, settings=SETTINGS)


@pytest.mark.parametrize("machine", [VotesAtOnce, IgnoresClockDifference])
def test_known_bad_rules_are_caught(machine: type[ClaimMachine]) -> None:
    """The same exploration finds the faults of weaker rules."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=SEARCH)


def outcome_request(key: int, mint: float, step: ClaimStep, body: bytes) -> ClaimRequest:
    """Return a request with the given body digest."""
    outcome = StoredOutcome(True, 201, "text/plain", b"ok") if step is ClaimStep.OUTCOME else None
    return ClaimRequest(step, bytes([key]) * 16, mint, Ballot(1, "a"), body, outcome)


def test_replica_verdicts() -> None:
    """Old keys, future keys, other bodies and finished keys each get their own verdict."""
    replica = ClaimReplica(0.0)
    now = START_SECONDS
    first = bytes(16)

    def verdict(mint: float, step: ClaimStep, body: bytes = first) -> ClaimVerdict:
        return replica.handle(outcome_request(1, mint, step, body), now).verdict

    assert verdict(now - RETENTION_SECONDS - 1, ClaimStep.PREPARE) is ClaimVerdict.TOO_OLD
    assert verdict(now + 2 * SKEW_BOUND_SECONDS, ClaimStep.PREPARE) is ClaimVerdict.FROM_FUTURE
    assert verdict(now, ClaimStep.PREPARE) is ClaimVerdict.ACCEPTED
    assert verdict(now, ClaimStep.PREPARE, b"x" * 16) is ClaimVerdict.BODY_DIFFERS
    assert verdict(now, ClaimStep.DISPATCHING) is ClaimVerdict.ACCEPTED
    assert verdict(now, ClaimStep.OUTCOME) is ClaimVerdict.ACCEPTED
    assert verdict(now, ClaimStep.PREPARE) is ClaimVerdict.FINISHED
