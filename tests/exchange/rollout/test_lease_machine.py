"""A lease in a store that comes back from older copies: one holder at a time, no token twice."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from milletcourse.control.lease import NOT_THERE, LeaseClaim, LeaseSpec, LeaseTracker
from milletcourse.exchange.messages.store_position import StorePosition

LEASE_SECONDS = 3.3
MARGIN_SECONDS = 1.0
MEMBERS = 3
members = st.integers(0, MEMBERS - 1)


@dataclass(frozen=True)
class Held:
    """The lease as the store holds it, or what is left of it in a copy."""

    spec: LeaseSpec | None
    changed_at: int
    revision: int


class LeaseStore:
    """One object under conditional writes; a condition names a revision, and knows no era."""

    def __init__(self) -> None:
        self.era = 1
        self.held = Held(None, NOT_THERE, 5)

    @property
    def place(self) -> StorePosition:
        """The lease's last change."""
        return StorePosition(self.era, self.held.changed_at)

    def write(self, claim: LeaseClaim) -> bool:
        """Whether the condition held."""
        if claim.expected.revision != self.held.changed_at:
            return False
        revision = self.held.revision + 1
        self.held = Held(claim.spec, revision, revision)
        return True

    def come_back(self, copy: Held) -> None:
        """Lose what came after a copy."""
        self.era += 1
        self.held = copy


class LeaseMachine(RuleBasedStateMachine):
    """Members look and claim at any time, and order while they hold; writes may be done late."""

    tracker_type: type[LeaseTracker] = LeaseTracker

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.store = LeaseStore()
        self.copies = [self.store.held]
        self.late: list[tuple[int, LeaseClaim, bool, float]] = []
        self.names = [f"m-{number}" for number in range(MEMBERS)]
        self.trackers = [self._tracker(name) for name in self.names]
        self.owners: dict[int, str] = {}
        self.latest_token = 0
        self.started = MEMBERS

    def _tracker(self, name: str) -> LeaseTracker:
        tracker = self.tracker_type(name, LEASE_SECONDS, MARGIN_SECONDS)
        tracker.on_era(self.store.era, self.now)
        return tracker

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.0, 4.0]))
    def time_passes(self, seconds: float) -> None:
        """For all of them."""
        self.now += seconds

    @rule()
    def store_is_copied(self) -> None:
        """The latest copies are kept."""
        self.copies = [*self.copies[-2:], self.store.held]

    @rule(number=st.integers(0, 2))
    def store_comes_back(self, number: int) -> None:
        """From one of them."""
        self.store.come_back(self.copies[number % len(self.copies)])

    @rule(changes=st.integers(1, 3))
    def others_write(self, changes: int) -> None:
        """So that revisions are given out again to other objects."""
        held = self.store.held
        self.store.held = Held(held.spec, held.changed_at, held.revision + changes)

    @rule(index=members)
    def looks(self, index: int) -> None:
        """A read of the lease."""
        self._observe(self.trackers[index])

    def _observe(self, tracker: LeaseTracker) -> None:
        tracker.on_era(self.store.era, self.now)
        tracker.on_observed(self.store.held.spec, self.store.place, self.now)

    @rule(index=members)
    def claims(self, index: int) -> None:
        """A write that is answered at once."""
        tracker = self.trackers[index]
        claim = tracker.next_claim(self.now)
        if claim is None:
            self._observe(tracker)
        elif self.store.write(claim):
            tracker.on_written(claim, self.store.place, self.now)
        else:
            self._observe(tracker)

    @rule(index=members)
    def claims_after_a_term(self, index: int) -> None:
        """A member waits until nobody else can hold the lease, and takes it."""
        self._observe(self.trackers[index])
        self.now += LEASE_SECONDS + MARGIN_SECONDS
        self.claims(index)
        self.claims(index)

    @rule(index=members, answered=st.booleans())
    def claims_late(self, index: int, answered: bool) -> None:
        """A write that is carried out later, with or without an answer."""
        claim = self.trackers[index].next_claim(self.now)
        if claim is not None:
            self.late.append((index, claim, answered, self.now))

    @precondition(lambda self: bool(self.late))
    @rule()
    def late_write_is_done(self) -> None:
        """Whatever the store went through meanwhile."""
        index, claim, answered, sent_at = self.late.pop(0)
        done = self.store.write(claim)
        tracker = self.trackers[index]
        if not done or not answered or claim.spec.holder != self.names[index]:
            return
        # Calls are answered within a second, or not at all.
        if self.now - sent_at < 1.0:
            tracker.on_written(claim, self.store.place, sent_at)

    @rule(index=members)
    def another_takes_its_place(self, index: int) -> None:
        """A member ends, and a new one comes that knows nothing."""
        self.names[index] = f"m-{self.started}"
        self.started += 1
        self.trackers[index] = self._tracker(self.names[index])

    @invariant()
    def holders_order(self) -> None:
        """One member acts by its own time, and servers see its token at every moment."""
        acting = [
            (name, tracker.fencing_token)
            for name, tracker in zip(self.names, self.trackers, strict=True)
            if tracker.is_held(self.now)
        ]
        assert len(acting) <= 1
        for name, token in acting:
            assert self.owners.setdefault(token, name) == name
            assert token >= self.latest_token
            self.latest_token = token


RUNS = settings(
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)
SEARCH = settings(RUNS, max_examples=1500)


def test_one_holder_at_a_time_and_no_token_twice_over_returns_of_the_store() -> None:
    """However its writes are delayed and its copies are chosen."""
    run_state_machine_as_test(LeaseMachine, settings=RUNS)


class TakesAtOnce(LeaseTracker):
    """Takes what an older copy shows as free."""

    def _may_take(self, now: float) -> bool:
        self._returned_at = self._era_known_at = float("-inf")
        return super()._may_take(now)


class CountsTokens(LeaseTracker):
    """Raises the token that the store shows."""

    def _new_term(self, place: StorePosition) -> LeaseClaim:
        claim = super()._new_term(place)
        token = self._spec.fencing_token + 1 if self._spec else 1
        spec = LeaseSpec(claim.spec.holder, token, claim.spec.duration_seconds, 0)
        return LeaseClaim(spec, claim.expected)


class BelievesLateWrites(LeaseTracker):
    """Holds what was written in another era than it was meant for."""

    def on_written(self, claim: LeaseClaim, place: StorePosition, sent_at: float) -> None:
        expected = StorePosition(place.era, claim.expected.revision)
        super().on_written(LeaseClaim(claim.spec, expected), place, sent_at)


class KnowsNoEra(LeaseTracker):
    """Takes a revision for a place in the history."""

    def on_era(self, era: int, now: float) -> bool:
        return super().on_era(min(era, 1), now)

    def on_observed(self, spec: LeaseSpec | None, place: StorePosition, now: float) -> None:
        super().on_observed(spec, StorePosition(1, place.revision), now)

    def on_written(self, claim: LeaseClaim, place: StorePosition, sent_at: float) -> None:
        super().on_written(claim, StorePosition(1, place.revision), sent_at)


MUTANTS = (TakesAtOnce, CountsTokens, BelievesLateWrites, KnowsNoEra)


def machine_with(tracker: type[LeaseTracker]) -> type[LeaseMachine]:
    """The machine over another tracker."""
    return type(f"{tracker.__name__}Machine", (LeaseMachine,), {"tracker_type": tracker})


@pytest.mark.parametrize("tracker", MUTANTS)
def test_known_defects_of_leases_are_found(tracker: type[LeaseTracker]) -> None:
    """Each of them lets two act at a time, or share a token."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine_with(tracker), settings=SEARCH)
