"""The record of software versions in the store, as several gateways keep it."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from milletcourse.exchange.resumption.software_versions import (
    MIN_HORIZON_SECONDS,
    SoftwareVersions,
)
from milletcourse.exchange.resumption.version_record import (
    MAX_RECORDED_VERSIONS,
    StoredVersions,
    VersionRecord,
)

HOLD_SECONDS = 2.0
SERVICE = "engine"
VERSIONS = ("v1", "v2", "v3")


@dataclass
class Store:
    """A store with one record, which may be restored from an older snapshot.

    Attributes:
        stored: The record, None when there is none.
        revision: Number of its changes.
        era: Number of restores.
        writes: Number of successful writes.
        listed: Versions with listed servers.
        last_served_at: Time at which each version last had a server.
    """

    stored: StoredVersions | None = None
    revision: int = 0
    era: int = 0
    writes: int = 0
    listed: set[str] = field(default_factory=set)
    last_served_at: dict[str, float] = field(default_factory=dict)


class Gateway:
    """One life of a gateway, with its view of the store."""

    def __init__(self, store: Store, has_run_before: bool, now: float) -> None:
        self._store = store
        self._view: set[str] = set()
        self.versions = SoftwareVersions(
            lambda service, version: version in self._view, lambda seen: None, HOLD_SECONDS
        )
        self._record = VersionRecord(self.versions)
        self._revision = -1
        self._era = -1
        self.read(now)
        self.is_complete = self._record.on_caught_up(has_run_before, now)

    def read(self, now: float) -> None:
        """Read the record and the list of servers."""
        store = self._store
        if store.era != self._era:
            self._record.on_era(store.era)
        if (store.era, store.revision) != (self._era, self._revision):
            self._era, self._revision = store.era, store.revision
            self._record.on_stored(store.stored, now)
        gone = self._view - store.listed
        self._view = set(store.listed)
        for version in sorted(self._view | gone):
            self.versions.on_seen(SERVICE, version, now)

    def write(self, now: float) -> bool:
        """Write what is out of date; a write to another revision than the known one fails."""
        desired = self._record.to_write(now)
        if desired is None or (self._store.era, self._store.revision) != (
            self._era,
            self._revision,
        ):
            return False
        self._store.stored = desired
        self._store.revision += 1
        self._store.writes += 1
        self._revision = self._store.revision
        self._record.on_stored(desired, now)
        return True


def _settled(store: Store, gateways: list[Gateway], now: float) -> None:
    """All gateways read and write until nothing is out of date."""
    for _ in range(20):
        for gateway in gateways:
            gateway.read(now)
        written = [gateway.write(now) for gateway in gateways]
        if not any(written):
            return
    raise AssertionError("the record doesn't settle")


def _started(store: Store, now: float, has_run_before: bool = True) -> list[Gateway]:
    return [Gateway(store, has_run_before, now) for _ in range(3)]


def test_the_record_is_written_once_for_each_change() -> None:
    """Whichever gateway is first; the others find it up to date."""
    store = Store(listed={"v1"})
    gateways = _started(store, 0.0, has_run_before=False)
    _settled(store, gateways, 0.0)
    store.listed = {"v1", "v2"}
    _settled(store, gateways, 1.0)
    store.listed = {"v2"}
    _settled(store, gateways, 2.0)
    assert store.writes == 2
    _settled(store, gateways, 3.0 + MIN_HORIZON_SECONDS)
    assert store.writes == 3
    assert store.stored == StoredVersions({SERVICE: ["v2"]}, False, 0)


def test_a_gateway_at_which_a_version_expires_later_does_not_record_it_again() -> None:
    """Gateways see the last server go at slightly different times."""
    store = Store(listed={"v1", "v2"})
    gateways = _started(store, 0.0, has_run_before=False)
    _settled(store, gateways, 0.0)
    store.listed = {"v2"}
    gateways[0].read(1.0)
    gateways[1].read(3.0)
    at = 1.5 + MIN_HORIZON_SECONDS
    gateways[0].read(at)
    assert gateways[0].write(at)
    gateways[1].read(at)
    assert not gateways[1].write(at)


def test_a_version_that_comes_back_is_recorded_again() -> None:
    """Its removal from the record concerned its earlier servers."""
    store = Store(listed={"v1", "v2"})
    gateways = _started(store, 0.0, has_run_before=False)
    _settled(store, gateways, 0.0)
    store.listed = {"v2"}
    _settled(store, gateways, 1.0)
    _settled(store, gateways, 2.0 + MIN_HORIZON_SECONDS)
    store.listed = {"v1", "v2"}
    _settled(store, gateways, 3.0 + MIN_HORIZON_SECONDS)
    assert store.stored is not None and store.stored.recorded == {(SERVICE, "v1"), (SERVICE, "v2")}


def test_a_lost_record_makes_earlier_versions_unknown_for_one_horizon() -> None:
    """The store was restored from an older snapshot while no gateway ran."""
    store = Store(listed={"v1"})
    _settled(store, _started(store, 0.0, has_run_before=False), 0.0)
    snapshot = store.stored
    store.listed = {"v1", "v2"}
    _settled(store, _started(store, 1.0), 1.0)
    store.listed, store.stored, store.era = {"v1"}, snapshot, 1
    gateways = _started(store, 2.0)
    assert not gateways[0].is_complete
    _settled(store, gateways, 2.0)
    again = _started(store, 3.0)
    assert all(item.versions.sole(SERVICE, 4.0) is None for item in [*gateways, *again])
    at = 4.0 + MIN_HORIZON_SECONDS
    _settled(store, again, at)
    assert all(item.versions.sole(SERVICE, at) == "v1" for item in again)
    assert store.stored is not None and not store.stored.has_unknown


def test_a_running_gateway_records_again_what_the_store_has_lost() -> None:
    """It remembers a version that has no servers any more."""
    store = Store(listed={"v1"})
    gateways = _started(store, 0.0, has_run_before=False)
    _settled(store, gateways, 0.0)
    snapshot = store.stored
    store.listed = {"v1", "v2"}
    _settled(store, gateways, 1.0)
    store.listed = {"v1"}
    _settled(store, gateways, 2.0)
    store.stored, store.era = snapshot, 1
    _settled(store, gateways, 3.0)
    assert store.stored == StoredVersions({SERVICE: ["v1", "v2"]}, False, 1)


def test_a_gateway_that_knows_all_versions_clears_the_mark_of_unknown_ones() -> None:
    """One that started after the restore sets it, and they don't write it in turns."""
    store = Store(listed={"v1"})
    gateways = _started(store, 0.0, has_run_before=False)
    _settled(store, gateways, 0.0)
    snapshot = store.stored
    store.listed = {"v1", "v2"}
    _settled(store, gateways, MIN_HORIZON_SECONDS)
    store.listed, store.stored, store.era = {"v1"}, snapshot, 1
    late = Gateway(store, True, MIN_HORIZON_SECONDS + 1.0)
    assert not late.is_complete
    _settled(store, [late, *gateways], MIN_HORIZON_SECONDS + 1.0)
    assert store.stored == StoredVersions({SERVICE: ["v1", "v2"]}, False, 1)
    assert late.versions.sole(SERVICE, MIN_HORIZON_SECONDS + 2.0) is None
    assert not late.versions.has_unknown(MIN_HORIZON_SECONDS + 2.0)


def test_a_record_that_another_writer_has_destroyed_is_written_again() -> None:
    """With the versions that have no servers any more."""
    store = Store(listed={"v1", "v2"})
    gateways = _started(store, 0.0, has_run_before=False)
    _settled(store, gateways, 0.0)
    store.listed = {"v2"}
    _settled(store, gateways, 1.0)
    store.stored = None
    store.revision += 1
    _settled(store, gateways, 2.0)
    assert store.stored == StoredVersions({SERVICE: ["v1", "v2"]}, False, 0)


def test_a_missing_record_is_complete_only_at_a_first_start() -> None:
    """An earlier release wrote none, or another writer removed it."""
    assert Gateway(Store(listed={"v1"}), False, 0.0).is_complete
    assert not Gateway(Store(listed={"v1"}), True, 0.0).is_complete


def test_a_record_with_too_many_versions_is_bounded() -> None:
    """Versions are chosen by servers; what isn't recorded is unknown."""
    store = Store(listed={f"v{number}" for number in range(2 * MAX_RECORDED_VERSIONS)})
    _settled(store, _started(store, 0.0, has_run_before=False), 0.0)
    assert store.stored is not None and store.stored.has_unknown
    assert len(store.stored.recorded) == MAX_RECORDED_VERSIONS
    assert msgspec.json.decode(msgspec.json.encode(store.stored), type=StoredVersions)


class RecordMachine(RuleBasedStateMachine):
    """Gateways start, end, read late and write, while versions come, go and return.

    A version with servers has been recorded before a stream may begin there: `serve` lets a gateway
    that has read the list record it, as the hold of new versions does.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = Store(listed={"v1"})
        self.gateways: list[Gateway] = []
        self.began_at: dict[str, float] = {}
        """Latest time at which each version may have begun a stream."""

    @initialize()
    def start_first(self) -> None:
        """The first start of all."""
        self.gateways = _started(self.store, self.now, has_run_before=False)
        self.serve()

    @rule(seconds=st.sampled_from((0.1, 5.0, 20.0, MIN_HORIZON_SECONDS)))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.serve()
        self.now += seconds

    @rule(versions=st.sets(st.sampled_from(VERSIONS), min_size=1))
    def release(self, versions: set[str]) -> None:
        """Other versions serve from now on."""
        self.serve()
        self.store.listed = set(versions)

    @rule(index=st.integers(0, 2))
    def read(self, index: int) -> None:
        """One gateway reads."""
        if self.gateways:
            self.gateways[index].read(self.now)

    @rule(index=st.integers(0, 2))
    def write(self, index: int) -> None:
        """One gateway compares and writes."""
        if self.gateways:
            self.gateways[index].write(self.now)

    @rule()
    def serve(self) -> None:
        """Gateways record what serves, and streams begin there."""
        if not self.gateways:
            return
        _settled(self.store, self.gateways, self.now)
        for version in self.store.listed:
            self.began_at[version] = self.now

    @rule()
    def kill_all(self) -> None:
        """No gateway runs."""
        self.gateways = []

    @rule()
    def start_all(self) -> None:
        """All start again without any memory."""
        self.gateways = _started(self.store, self.now)

    @rule(index=st.integers(0, 2))
    def restart_one(self, index: int) -> None:
        """One gateway loses its memory."""
        if self.gateways:
            self.gateways[index] = Gateway(self.store, True, self.now)

    @invariant()
    def no_gateway_takes_another_version_for_the_one_that_began_a_stream(self) -> None:
        """A version is the only one only if no other can have begun a stream within the horizon."""
        for gateway in self.gateways:
            sole = gateway.versions.sole(SERVICE, self.now)
            for version, began_at in self.began_at.items():
                is_resumed = self.now - began_at < MIN_HORIZON_SECONDS
                assert sole in (None, version) or not is_resumed, (sole, version)


TestRecordMachine = RecordMachine.TestCase
TestRecordMachine.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
