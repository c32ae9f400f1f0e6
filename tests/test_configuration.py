"""Configuration store, freshness, leases, files and settings."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from milletcourse.backends.platform_messages import ObjectChange
from milletcourse.configuration import store as store_module
from milletcourse.configuration.files import load_objects
from milletcourse.configuration.freshness import FreshnessTracker
from milletcourse.configuration.store import ChangesPage, ChangesRequest, ConfigurationStore
from milletcourse.control.lease import HOLDER_MARGIN_SECONDS, LeaseTracker
from milletcourse.errors import FailureError, InvalidObject
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.membership.messages import PlatformStamp
from milletcourse.settings import load_settings

NAMES = ("a", "b", "c", "d")


class StoreMachine(RuleBasedStateMachine):
    """Two replicas pull pages in any order from a source that changes and deletes objects."""

    def __init__(self) -> None:
        super().__init__()
        self.source = ConfigurationStore()
        self.replicas = [ConfigurationStore(), ConfigurationStore()]
        self.highest = [0, 0]

    @rule(name=st.sampled_from(NAMES), weight=st.integers(1, 9), deleted=st.booleans())
    def change(self, name: str, weight: int, deleted: bool) -> None:
        """Commit one change at the source."""
        revision = self.source.revision + 1
        spec = None if deleted else {"weight": float(weight)}
        change = ObjectChange(revision, "Tenant", name, spec)
        assert self.source.apply(ChangesPage(revision - 1, revision, (change,)))

    @rule(replica=st.integers(0, 1), origin=st.integers(0, 2))
    def pull(self, replica: int, origin: int) -> None:
        """Pull pages to a replica from the source or from another replica."""
        sender = [self.source, *self.replicas][origin]
        receiver = self.replicas[replica]
        after = receiver.revision
        cursor = after
        changes: list[ObjectChange] = []
        while True:
            page = sender.page_for(ChangesRequest(after, cursor))
            changes.extend(page.changes)
            if page.complete:
                break
            cursor = page.changes[-1].revision
        receiver.apply(ChangesPage(after, page.through, tuple(changes), whole=page.whole))

    @rule(replica=st.integers(0, 1))
    def restart(self, replica: int) -> None:
        """Restart a replica without its state."""
        self.replicas[replica] = ConfigurationStore()
        self.highest[replica] = 0

    @invariant()
    def never_lower(self) -> None:
        """Revisions never decrease, and equal revisions mean equal objects."""
        for index, replica in enumerate(self.replicas):
            assert replica.revision >= self.highest[index]
            self.highest[index] = replica.revision
            if replica.revision == self.source.revision:
                assert replica.policy.tenants == self.source.policy.tenants


TestStore = StoreMachine.TestCase


def test_store_pages_and_pruned_deletions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Small pages and pruned tombstones still bring a replica to the same objects."""
    monkeypatch.setattr(store_module, "PAGE_CHANGES", 2)
    monkeypatch.setattr(store_module, "MAX_TOMBSTONES", 1)
    machine = StoreMachine()
    for index in range(12):
        machine.change(NAMES[index % 4], index + 1, deleted=index % 3 == 2)
        if index == 4:
            machine.pull(0, 0)
    machine.pull(0, 0)
    machine.pull(1, 1)
    machine.never_lower()
    assert machine.replicas[1].revision == 12


def test_lower_revision_is_ignored() -> None:
    """An older state changes nothing, even when it is complete."""
    store = ConfigurationStore()
    newer = ObjectChange(5, "Tenant", "a", {"weight": 2.0})
    assert store.apply(ChangesPage(0, 5, (newer,), whole=True))
    older = ObjectChange(3, "Tenant", "a", {"weight": 1.0})
    assert not store.apply(ChangesPage(0, 3, (older,), whole=True))
    assert store.policy.tenants["a"].weight == 2.0


def test_freshness_needs_recent_evidence_for_the_own_revision() -> None:
    """Stamps age by the clock bound, higher revisions must be loaded, a stall voids evidence."""
    tracker = FreshnessTracker(bound_seconds=5.0, skew_seconds=0.5)
    assert not tracker.is_fresh(100.0)
    tracker.on_stamp(PlatformStamp(7, 100.0), own_revision=7)
    assert tracker.is_fresh(104.4)
    assert not tracker.is_fresh(104.6)
    tracker.on_stamp(PlatformStamp(8, 110.0), own_revision=7)
    assert not tracker.is_fresh(110.1)
    tracker.on_revision(8)
    assert tracker.is_fresh(110.1)
    tracker.on_resume(112.0)
    assert not tracker.is_fresh(112.1)
    tracker.on_majority(112.2, own_revision=8, highest_peer_revision=8)
    assert tracker.is_fresh(112.3)


def test_lease_takeover_and_fencing() -> None:
    """An expired lease passes on with a higher token; the paused holder stops in time."""
    first, second = LeaseTracker("first", 6.0), LeaseTracker("second", 6.0)
    claim = first.next_claim(0.0)
    assert claim is not None
    first.on_written(claim, StorePosition(UNKNOWN_ERA, 1), 0.0)
    assert first.is_held(6.0 - HOLDER_MARGIN_SECONDS - 0.01)
    assert not first.is_held(6.0 - HOLDER_MARGIN_SECONDS)
    second.on_observed(claim.spec, StorePosition(UNKNOWN_ERA, 1), 1.0)
    assert second.next_claim(6.9) is None
    taken = second.next_claim(7.0)
    assert taken is not None
    assert taken.spec.fencing_token == claim.spec.fencing_token + 1
    first.on_observed(taken.spec, StorePosition(UNKNOWN_ERA, 2), 7.1)
    assert not first.is_held(7.1)


@pytest.mark.parametrize("name", ["roster-desk", "whitcombe"])
def test_examples_are_valid(name: str) -> None:
    """The example configurations pass the offline validation."""
    path = Path(__file__).parent.parent / "examples" / f"{name}.toml"
    assert len(load_objects(path)) > 20


def test_bad_files_and_settings_name_the_key(tmp_path: Path) -> None:
    """Each invalid value raises a typed failure that names its key."""
    path = tmp_path / "objects.toml"
    path.write_text(
        '[[objects]]\nkind="Engine"\nname="e"\n[objects.spec]\naddress="x"\nplace="p"\n'
    )
    with pytest.raises(FailureError) as caught:
        load_objects(path)
    assert isinstance(caught.value.failure, InvalidObject)
    assert caught.value.failure.key == "Engine.e.place"
    settings = tmp_path / "router.toml"
    settings.write_text('name = "r"\nplatform = "1.2.3.4:80"\ncluster_key = "0123456789abcdef"\n')
    assert load_settings(settings, {"name": "flag"}).name == "flag"
    with pytest.raises(FailureError) as wrong:
        load_settings(settings, {"port": 70000})
    assert isinstance(wrong.value.failure, InvalidObject)
    assert wrong.value.failure.key == "port"


def test_environment_overrides_the_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Flags override the environment, which overrides the file."""
    settings = tmp_path / "router.toml"
    settings.write_text('name = "r"\nplatform = "1.2.3.4:80"\ncluster_key = "0123456789abcdef"\n')
    monkeypatch.setenv("MILLETCOURSE_NAME", "environment")
    assert load_settings(settings, {}).name == "environment"
    assert load_settings(settings, {"name": "flag"}).name == "flag"
