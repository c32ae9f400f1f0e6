"""A follower's state is always one that the store had, whatever its readers announce and send."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from milletcourse.exchange.messages.content_patch import ContentPatch, PatchError
from milletcourse.exchange.messages.feed_messages import FeedKind
from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.exchange.replication.pending_contents import PendingContents, PendingUpdate
from milletcourse.gateway.store import change_log, kind_mirror
from milletcourse.gateway.store.kind_event_handler import NoOpEventHandler
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.object_store import ObjectChange, ObjectChanges, StoredObject

NAMES = ("main", "other")
READERS = 2
FOLLOWERS = 2
SETTLING_ROUNDS = 40
"""More than the contents that can be pending at a follower."""


class _Follower:
    """Does the work of `FeedClient` one step at a time."""

    def __init__(self) -> None:
        self.mirror = KindMirror("kind", NoOpEventHandler())
        self.pending = PendingContents()
        self.reader = 0

    def ask(self, reader: KindMirror) -> None:
        position = self.pending.position("kind", self.mirror.position)
        received = reader.since(position, as_patches=True)
        if received is not None:
            self.take(self.pending.take(received, position))

    def fetch(self, reader: KindMirror) -> None:
        query = self.pending.missing("kind")
        if query is None:
            return
        patch = reader.patch(query.name, query.base, query.result)
        if patch is None:
            self.pending.drop("kind")
            return
        self.take(self.pending.on_patch(query, patch))

    def take(self, ready: list[PendingUpdate]) -> None:
        for update in ready:
            try:
                if not self.mirror.apply_update(update, 0.0):
                    self.pending.drop("kind")
                    return
            except PatchError:
                self.pending.on_patch_mismatch("kind")
                return


def _content(draw: int, previous: bytes | None) -> bytes:
    """A content that shares most entries with the previous one; some contents are small."""
    source = random.Random(draw)
    entries = (previous or b"").split(b"},")[:-1]
    if source.random() < 0.3:
        entries = entries[source.randrange(3) :]
    if source.random() < 0.2:
        return b"{}"
    if source.random() < 0.5:
        entries += [source.randbytes(60).hex().encode() for _ in range(source.randrange(60))]
    else:
        entries.insert(0, b'{"n":%d' % draw)
    return b"},".join([*entries, b""]) or b"{}"


class ToldContents(RuleBasedStateMachine):
    """A store, readers that follow it, and followers that poll one of the readers."""

    def __init__(self) -> None:
        super().__init__()
        self.position = StorePosition(1, 1)
        self.objects: dict[str, StoredObject] = {}
        self.history: dict[StorePosition, dict[str, bytes]] = {self.position: {}}
        self.events: list[tuple[StorePosition, ObjectChange]] = []
        self.readers = [KindMirror("kind", NoOpEventHandler()) for _ in range(READERS)]
        for reader in self.readers:
            reader.on_list([], self.position, 0.0)
        self.followers = [_Follower() for _ in range(FOLLOWERS)]

    def _commit(self, change: ObjectChange) -> None:
        self.events.append((self.position, change))
        self.history[self.position] = {name: item.spec for name, item in self.objects.items()}

    @rule(name=st.sampled_from(NAMES), draw=st.integers(0, 10**6), is_told=st.booleans())
    def change(self, name: str, draw: int, is_told: bool) -> None:
        """Change the content of an object; readers and followers may be updated at once."""
        self.position = StorePosition(self.position.era, self.position.revision + 1)
        known = self.objects.get(name)
        stored = StoredObject(name, self.position, _content(draw, known.spec if known else None))
        self.objects[name] = stored
        self._commit(ObjectChange(stored, deleted=False))
        if is_told:
            for reader in self.readers:
                self._watch(reader)
            for follower in self.followers:
                follower.ask(self.readers[follower.reader])

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name: str) -> None:
        """Delete an object."""
        if name in self.objects:
            self.position = StorePosition(self.position.era, self.position.revision + 1)
            self._commit(ObjectChange(self.objects.pop(name), deleted=True))

    @rule(number=st.integers(0, READERS - 1))
    def watch(self, number: int) -> None:
        """A reader receives all changes since its position."""
        self._watch(self.readers[number])

    @rule(number=st.integers(0, FOLLOWERS - 1))
    def follower_reads_the_store(self, number: int) -> None:
        """A follower without a reader watches the store itself."""
        mirror = self.followers[number].mirror
        if mirror.position is not None:
            self._watch(mirror)

    def _watch(self, mirror: KindMirror) -> None:
        known = mirror.position
        assert known is not None
        if known.era != self.position.era:
            self._list(mirror)
            return
        new_changes = tuple(change for position, change in self.events if position > known)
        mirror.on_changes(ObjectChanges(new_changes, self.position), 0.0)

    @rule(number=st.integers(0, READERS - 1))
    def list(self, number: int) -> None:
        """A reader reads all objects again."""
        self._list(self.readers[number])

    def _list(self, mirror: KindMirror) -> None:
        mirror.on_list(list_of(self.objects), self.position, 0.0)

    @rule(draw=st.integers(1, 5))
    def come_back(self, draw: int) -> None:
        """The store is restored from an older snapshot, which starts a new era."""
        positions = [position for position in self.history if position.era == self.position.era]
        kept = positions[-min(draw, len(positions))]
        self.objects = {
            name: StoredObject(name, kept, spec) for name, spec in self.history[kept].items()
        }
        self.position = StorePosition(self.position.era + 1, kept.revision)
        self.events.clear()
        self.history[self.position] = dict(self.history[kept])

    @rule(number=st.integers(0, FOLLOWERS - 1))
    def ask(self, number: int) -> None:
        """A follower polls its reader, which sends or announces contents."""
        follower = self.followers[number]
        follower.ask(self.readers[follower.reader])

    @rule(number=st.integers(0, FOLLOWERS - 1))
    def fetch(self, number: int) -> None:
        """A follower fetches an announced content, which may be unavailable by now."""
        follower = self.followers[number]
        follower.fetch(self.readers[follower.reader])

    @rule(number=st.integers(0, FOLLOWERS - 1), reader=st.integers(0, READERS - 1))
    def change_reader(self, number: int, reader: int) -> None:
        """A follower changes its reader, and drops the announced contents."""
        follower = self.followers[number]
        follower.pending.clear()
        follower.reader = reader

    @invariant()
    def followers_know_states_of_the_store(self) -> None:
        """The objects of a mirror are those of the store at the mirror's position."""
        for mirror in (*self.readers, *(follower.mirror for follower in self.followers)):
            if mirror.position is not None:
                assert mirror.specs() == self.history[mirror.position]

    def teardown(self) -> None:
        """After settling, all mirrors hold the objects of the store."""
        for reader in self.readers:
            self._watch(reader)
        for follower in self.followers:
            reader = self.readers[follower.reader]
            for _ in range(SETTLING_ROUNDS):
                follower.ask(reader)
                follower.fetch(reader)
            held = {name: item.spec for name, item in self.objects.items()}
            assert follower.mirror.specs() == held


def list_of(objects: dict[str, StoredObject]) -> list[StoredObject]:
    """All objects as a list."""
    return [*objects.values()]


@pytest.fixture(autouse=True)
def _most_contents_are_announced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(kind_mirror, "MAX_INLINE_PATCH_BYTES", 100)


RUNS = settings(
    max_examples=150,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
    deadline=None,
    report_multiple_bugs=False,
)
FINDING_RUNS = settings(RUNS, max_examples=2000, phases=[Phase.generate])
"""Stops at the first failure, without shrinking it."""


def test_followers_only_have_states_that_the_store_had() -> None:
    """Also across announcements, lost contents, changes of the reader and restores of the store."""
    run_state_machine_as_test(ToldContents, settings=RUNS)


@contextmanager
def _announced_contents_count_as_known() -> Iterator[None]:
    original = PendingContents.take
    PendingContents.take = lambda _, received, since: [PendingUpdate(since, received)]  # type: ignore[method-assign]
    try:
        yield
    finally:
        PendingContents.take = original  # type: ignore[method-assign]


@contextmanager
def _announcements_get_lost_and_nothing_is_checked() -> Iterator[None]:
    apply, take, apply_update = (
        kind_mirror.apply_patch,
        PendingContents.take,
        KindMirror.apply_update,
    )

    def apply_any(patch: ContentPatch, base: bytes | None) -> bytes:
        try:
            return apply(patch, base)
        except PatchError:
            return base or b""

    def take_latest(
        pending: PendingContents, received: FeedKind, since: StorePosition | None
    ) -> list[PendingUpdate]:
        pending.clear()
        return take(pending, received, since)

    def on_any(mirror: KindMirror, update: PendingUpdate, sent_at: float) -> bool:
        return apply_update(mirror, PendingUpdate(mirror.position, update.changes), sent_at)

    kind_mirror.apply_patch = apply_any
    KindMirror.apply_update = on_any  # type: ignore[method-assign]
    PendingContents.take = take_latest  # type: ignore[method-assign]
    try:
        yield
    finally:
        kind_mirror.apply_patch = apply
        KindMirror.apply_update = apply_update  # type: ignore[method-assign]
        PendingContents.take = take  # type: ignore[method-assign]


@contextmanager
def _two_lists_count_as_all_changes_between_them() -> Iterator[None]:
    original = change_log.ChangeLog.add_gap
    change_log.ChangeLog.add_gap = lambda *_: None  # type: ignore[method-assign]
    try:
        yield
    finally:
        change_log.ChangeLog.add_gap = original  # type: ignore[method-assign]


@contextmanager
def _a_trimmed_log_counts_as_complete() -> Iterator[None]:
    original = change_log.ChangeLog.covers
    changes, change_log.MAX_CHANGES = change_log.MAX_CHANGES, 2
    change_log.ChangeLog.covers = lambda log, position: position is not None  # type: ignore[assignment,method-assign]
    try:
        yield
    finally:
        change_log.ChangeLog.covers = original  # type: ignore[method-assign]
        change_log.MAX_CHANGES = changes


DEFECTS = (
    _announced_contents_count_as_known,
    _announcements_get_lost_and_nothing_is_checked,
    _two_lists_count_as_all_changes_between_them,
    _a_trimmed_log_counts_as_complete,
)


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_known_defect_is_found(defect: Callable[[], AbstractContextManager[None]]) -> None:
    """The invariant detects each of these defects."""
    with defect(), pytest.raises(AssertionError):
        run_state_machine_as_test(ToldContents, settings=FINDING_RUNS)
