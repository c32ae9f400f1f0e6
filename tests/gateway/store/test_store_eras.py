"""Eras of the store: what mirrors serve across them, and answers with unexpected eras."""

from __future__ import annotations

import asyncio
import random

import pytest

from gateway_harness import Harness, run_with_gateway
from milletcourse.exchange.messages.feed_messages import FeedKind
from milletcourse.exchange.messages.messages import AnswerHead, HeaderField
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.exchange.replication.pending_contents import PendingUpdate
from milletcourse.gateway.servers.call_client import Call, CallClient, Reply
from milletcourse.gateway.store.change_log import MAX_GAPS
from milletcourse.gateway.store.directory import MISSING_ENTRY_RETENTION_SECONDS, GatewayDirectory
from milletcourse.gateway.store.kind_event_handler import NoOpEventHandler
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.object_store import (
    ObjectChange,
    ObjectChanges,
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink
from milletcourse.gateway.telemetry.store_recorder import StoreRecorder
from milletcourse.platform.object_store import PlatformStoreDialect

PAGE = b'{"items":[{"Metadata":{"Name":"a","Revision":3},"Spec":{}}],"At":5}'
FIRST_PAGE = b'{"items":[{"Metadata":{"Name":"a","Revision":3},"Spec":{}}],"At":5,"More":true}'
CHANGES = b'{"Events":[],"At":5}'
CONFLICT = b'{"Metadata":{"Name":"a","Revision":4},"Spec":{}}'


class _RecordingHandler(NoOpEventHandler):
    """Keeps the objects and counts the restores."""

    def __init__(self) -> None:
        self.specs: dict[str, bytes] = {}
        self.eras = 0

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        self.specs = {stored.name: stored.spec for stored in objects}

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        for change in changes:
            if change.deleted:
                self.specs.pop(change.stored.name, None)
            else:
                self.specs[change.stored.name] = change.stored.spec

    def on_new_era(self, position: StorePosition, before: StorePosition | None) -> None:
        self.eras += before is not None


def _stored(name: str, position: StorePosition, spec: bytes = b"{}") -> StoredObject:
    return StoredObject(name, position, spec)


def _pair() -> tuple[KindMirror, _RecordingHandler, KindMirror, _RecordingHandler]:
    """A reader and a follower that both know a and b at (1, 10)."""
    reader_handler, follower_handler = _RecordingHandler(), _RecordingHandler()
    reader, follower = KindMirror("kind", reader_handler), KindMirror("kind", follower_handler)
    position = StorePosition(1, 10)
    reader.on_list([_stored("a", position), _stored("b", position)], position, 0.0)
    _feed(reader, follower)
    return reader, reader_handler, follower, follower_handler


def _feed(reader: KindMirror, follower: KindMirror) -> FeedKind | None:
    received = reader.since(follower.position)
    if received is not None:
        follower.apply_update(PendingUpdate(follower.position, received), 0.0)
    return received


def test_followers_get_the_differences_after_a_restore() -> None:
    """At a revision far below theirs; unchanged objects aren't sent again."""
    reader, reader_handler, follower, handler = _pair()
    back = StorePosition(2, 4)
    reader.on_list([_stored("a", back), _stored("c", back)], back, 0.0)
    assert reader.has_changes(follower.position)
    received = _feed(reader, follower)
    assert received is not None and not received.is_snapshot
    assert {item.name for item in received.objects} == {"b", "c"}
    assert handler.specs == reader_handler.specs == {"a": b"{}", "c": b"{}"}
    assert follower.position == back and handler.eras == reader_handler.eras == 1
    change = ObjectChange(_stored("a", StorePosition(2, 5), b"[]"), deleted=False)
    reader.on_changes(ObjectChanges((change,), StorePosition(2, 5)), 0.0)
    _feed(reader, follower)
    assert handler.specs["a"] == b"[]"


def test_a_follower_that_knew_more_of_the_former_era_gets_all_objects() -> None:
    """Its reader can't compute the differences from a position that it never knew."""
    reader, _, follower, handler = _pair()
    lost = ObjectChange(_stored("lost", StorePosition(1, 11)), deleted=False)
    follower.on_changes(ObjectChanges((lost,), StorePosition(1, 11)), 0.0)
    back = StorePosition(2, 4)
    reader.on_list([_stored("a", back), _stored("b", back)], back, 0.0)
    received = _feed(reader, follower)
    assert received is not None and received.is_snapshot
    assert set(handler.specs) == {"a", "b"}


def test_a_follower_that_missed_an_era_gets_the_differences() -> None:
    """The store is restored twice in a row."""
    reader, _, follower, handler = _pair()
    for era in (2, 3):
        back = StorePosition(era, 4)
        reader.on_list([_stored("a", back), _stored(f"of-{era}", back)], back, 0.0)
    received = _feed(reader, follower)
    assert received is not None and not received.is_snapshot
    assert set(handler.specs) == {"a", "of-3"} and handler.eras == 1
    assert follower.position == StorePosition(3, 4)


def test_a_follower_that_read_the_new_era_before_its_reader_gets_all_objects() -> None:
    """The reader never knew the position from which the follower starts."""
    reader, _, _, _ = _pair()
    handler = _RecordingHandler()
    follower = KindMirror("kind", handler)
    follower.on_list([_stored("a", StorePosition(2, 4))], StorePosition(2, 4), 0.0)
    back = StorePosition(2, 6)
    reader.on_list([_stored("a", back), _stored("b", back)], back, 0.0)
    received = _feed(reader, follower)
    assert received is not None and received.is_snapshot
    assert set(handler.specs) == {"a", "b"}


def test_a_follower_within_a_gap_of_its_reader_gets_all_objects() -> None:
    """The reader's lists don't show a change and its reversal in between."""
    reader, _, follower, handler = _pair()
    changed = ObjectChange(_stored("a", StorePosition(1, 11), b"[]"), deleted=False)
    follower.on_changes(ObjectChanges((changed,), StorePosition(1, 11)), 0.0)
    later = StorePosition(1, 15)
    reader.on_list([_stored("a", later), _stored("b", later)], later, 0.0)
    _feed(reader, follower)
    assert handler.specs["a"] == b"{}"


def test_the_number_of_gaps_is_bounded() -> None:
    """Followers that are further behind get all objects."""
    reader, _, follower, handler = _pair()
    for revision in range(11, 12 + MAX_GAPS + 1):
        position = StorePosition(1, revision)
        reader.on_list([_stored("a", position), _stored(f"b-{revision}", position)], position, 0.0)
    received = _feed(reader, follower)
    assert received is not None and received.is_snapshot
    assert set(handler.specs) == {"a", f"b-{revision}"}


def test_outdated_changes_do_not_restore_old_contents() -> None:
    """A gateway whose reader fails may get changes both from a reader and from the store."""
    _, _, follower, handler = _pair()
    newer = ObjectChange(_stored("a", StorePosition(1, 12), b"2"), deleted=False)
    follower.on_changes(ObjectChanges((newer,), StorePosition(1, 12)), 0.0)
    older = ObjectChange(_stored("a", StorePosition(1, 11), b"1"), deleted=False)
    follower.on_changes(ObjectChanges((older,), StorePosition(1, 11)), 0.0)
    assert handler.specs["a"] == b"2" and follower.position == StorePosition(1, 12)


def _head(status: int, fields: list[HeaderField]) -> AnswerHead:
    return AnswerHead(
        status=status,
        reason=b"",
        fields=fields,
        request_id="",
        signed=False,
        instance="",
        not_executed=False,
        weight_version=None,
        keep_alive_seconds=None,
        content_length=None,
        chunked=False,
        closing=False,
        encoded=False,
        event_stream=False,
    )


class _Calls(CallClient):
    """Answers calls from a list of (status, body, era)."""

    def __init__(self, *replies: tuple[int, bytes, bytes | None]) -> None:
        self.replies = list(replies)
        self.targets: list[str] = []

    async def call(self, address: str, call: Call, *_: object, **__: object) -> Reply | None:  # type: ignore[override]
        self.targets.append(call.target)
        status, body, era = self.replies.pop(0)
        fields = [] if era is None else [HeaderField(b"Store-Era", era)]
        return Reply(status, body, 0.0, _head(status, fields))


class _Lines(StoreRecorder):
    """Keeps the events of the lines that would be logged."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        log = EventLog("node", None)
        log.emit = lambda event, **fields: self.lines.append(event)  # type: ignore[assignment,misc]
        super().__init__(log, MetricsSink())


def _client(*replies: tuple[int, bytes, bytes | None]) -> tuple[ObjectStoreClient, _Calls, _Lines]:
    calls, lines = _Calls(*replies), _Lines()
    client = ObjectStoreClient(
        "store",
        PlatformStoreDialect(),
        calls,
        random.Random(1),
        lambda kind, done: None,
        lambda kind, count: None,
        lines,
    )
    return client, calls, lines


def _problem(work: object) -> StoreProblem:
    with pytest.raises(StoreError) as caught:
        asyncio.run(work)  # type: ignore[arg-type]
    return caught.value.problem


def test_eras_may_jump_and_are_logged_once() -> None:
    """Also the step from answers without an era to the first one with an era."""
    client, _, lines = _client(
        (200, PAGE, None), (200, PAGE, b"4"), (200, PAGE, b"4"), (200, PAGE, b"9")
    )
    eras = [asyncio.run(client.list_all("k"))[1].era for _ in range(4)]
    assert eras == [UNKNOWN_ERA, 4, 4, 9]
    assert lines.lines == ["store-era"] * 3


def test_an_answer_of_an_era_that_has_ended_is_rejected() -> None:
    """However many come, only one line is logged."""
    client, _, lines = _client((200, PAGE, b"4"), (200, PAGE, b"3"), (200, PAGE, b"3"))
    asyncio.run(client.list_all("k"))
    assert _problem(client.list_all("k")) is StoreProblem.HISTORY_LOST
    assert _problem(client.list_all("k")) is StoreProblem.HISTORY_LOST
    assert client.era == 4 and lines.lines == ["store-era", "store-answer-outdated"]


@pytest.mark.parametrize("era", [None, b"", b"-1", b"4, 4", b"four", b"1.5", b"9" * 40])
def test_an_answer_whose_era_is_missing_or_unreadable_is_a_failure(era: bytes | None) -> None:
    """One line is logged, and the calls fail."""
    client, _, lines = _client((200, CHANGES, b"4"), (200, CHANGES, era), (200, CHANGES, era))
    position = StorePosition(4, 5)
    asyncio.run(client.watch("k", position, 0.0))
    assert _problem(client.watch("k", position, 0.0)) is StoreProblem.UNAVAILABLE
    assert _problem(client.watch("k", position, 0.0)) is StoreProblem.UNAVAILABLE
    assert client.era == 4 and lines.lines == ["store-era", "store-era-unreadable"]


def test_pages_of_two_eras_make_no_list() -> None:
    """The first page belongs to a history that the store has lost by the second one."""
    client, _, _ = _client((200, FIRST_PAGE, b"1"), (200, PAGE, b"2"))
    assert _problem(client.list_all("k")) is StoreProblem.HISTORY_LOST


@pytest.mark.parametrize("status", [409, 410, 429, 503])
def test_a_refusal_shows_the_era_too(status: int) -> None:
    """It ends the previous era like any other answer."""
    client, calls, _ = _client((200, CHANGES, b"1"), (status, b"{}", b"2"))
    position = StorePosition(1, 5)
    asyncio.run(client.watch("k", position, 0.0))
    _problem(client.create("k", "a", b"{}"))
    assert client.era == 2
    asked = len(calls.targets)
    assert _problem(client.watch("k", position, 0.0)) is StoreProblem.HISTORY_LOST
    assert _problem(client.replace("k", "a", b"{}", position)) is StoreProblem.CONFLICT
    assert len(calls.targets) == asked, "no call is sent with a position of an old era"


def test_a_conflict_shows_the_object_in_its_era() -> None:
    """So that the next conditional write uses a position of the present history."""
    client, _, _ = _client((409, CONFLICT, b"2"))
    with pytest.raises(StoreError) as caught:
        asyncio.run(client.replace("k", "a", b"{}", StorePosition(2, 3)))
    assert caught.value.current is not None
    assert caught.value.current.position == StorePosition(2, 4)


def test_waiting_watches_are_cancelled_when_another_call_shows_a_new_era() -> None:
    """Their connections stay open, and a watch may wait for ten seconds."""

    async def scenario(harness: Harness) -> None:
        await harness.start()
        assert harness.node is not None
        instances = harness.node.context.instances
        snapshot = harness.store.take_snapshot()
        harness.store.restore(snapshot, resets_connections=False)
        harness.store.put("servers", "app-1", _entry())
        # Only the watch of the configuration ends at once, by a change of its kind.
        harness.store.calls.clear()
        harness.store.put("config", "main", harness.store.objects["config"]["main"]["Spec"])
        await harness.until(lambda: instances.get("app-1") is not None)
        lists = [call.target for call in harness.store.calls if "Watch" not in call.target]
        assert any("servers" in target for target in lists)
        assert any("milletcourse-gateways" in target for target in lists)

    run_with_gateway(scenario)


def _entry() -> dict[str, object]:
    return {"Service": "app", "Address": "127.0.0.1:9", "Zone": "zone-1", "State": "ready"}


def _gateway(name: str, position: StorePosition) -> StoredObject:
    entry = b'{"address":"127.0.0.1:1","zone":"zone-1","feed":"127.0.0.1:2"}'
    return StoredObject(name, position, entry)


def test_gateways_missing_after_a_restore_are_kept_until_they_had_time_to_write_again() -> None:
    """Shared limits are divided by the number of gateways, which must not drop for a moment."""
    clock = [0.0]
    directory = GatewayDirectory("front-1", EventLog("front-1", None), now=lambda: clock[0])
    reported: list[set[str]] = []
    directory.add_listener(lambda others: reported.append({other.name for other in others}))
    position = StorePosition(1, 9)
    directory.on_list([_gateway(f"front-{number}", position) for number in (1, 2, 3)], 0.0)
    assert reported[-1] == {"front-2", "front-3"} and directory.own_position == position
    directory.on_new_era(StorePosition(2, 3), position)
    directory.on_list([], 0.0)
    assert reported[-1] == {"front-2", "front-3"} and directory.own_position is None
    back = ObjectChange(_gateway("front-2", StorePosition(2, 4)), deleted=False)
    directory.on_changes((back,), 0.0)
    clock[0] = MISSING_ENTRY_RETENTION_SECONDS
    directory.expire_missing(clock[0])
    assert reported[-1] == {"front-2"}
    directory.on_changes((ObjectChange(back.stored, deleted=True),), 0.0)
    assert reported[-1] == set(), "without a restore, a deleted entry removes its gateway at once"
