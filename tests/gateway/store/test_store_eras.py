"""Eras of the store: what mirrors tell across them, and answers whose era is odd."""

from __future__ import annotations

import asyncio
import random

import pytest

from gateway_harness import Harness, run_with_gateway
from milletcourse.exchange.messages.feed_messages import FeedKind
from milletcourse.exchange.messages.messages import AnswerHead, HeaderField
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.exchange.replication.pending_contents import FedUpdate
from milletcourse.gateway.servers.call_client import Call, CallClient, Reply
from milletcourse.gateway.store.change_log import MAX_GAPS
from milletcourse.gateway.store.directory import KEPT_SECONDS, GatewayDirectory
from milletcourse.gateway.store.kind_mirror import IgnoringSink, KindMirror
from milletcourse.gateway.store.object_store import (
    ObjectChange,
    ObjectChanges,
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)
from milletcourse.gateway.telling.event_log import EventLog
from milletcourse.gateway.telling.figures import Figures
from milletcourse.gateway.telling.store_recorder import StoreRecorder
from milletcourse.platform.object_store import PlatformStoreDialect

PAGE = b'{"items":[{"Metadata":{"Name":"a","Revision":3},"Spec":{}}],"At":5}'
FIRST_PAGE = b'{"items":[{"Metadata":{"Name":"a","Revision":3},"Spec":{}}],"At":5,"More":true}'
CHANGES = b'{"Events":[],"At":5}'
CONFLICT = b'{"Metadata":{"Name":"a","Revision":4},"Spec":{}}'


class _Sink(IgnoringSink):
    """Keeps what it was told."""

    def __init__(self) -> None:
        self.specs: dict[str, bytes] = {}
        self.eras = 0

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        self.specs = {stored.name: stored.spec for stored in objects}

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        for change in changes:
            if change.gone:
                self.specs.pop(change.stored.name, None)
            else:
                self.specs[change.stored.name] = change.stored.spec

    def on_era(self, place: StorePosition, before: StorePosition | None) -> None:
        self.eras += before is not None


def _stored(name: str, place: StorePosition, spec: bytes = b"{}") -> StoredObject:
    return StoredObject(name, place, spec)


def _pair() -> tuple[KindMirror, _Sink, KindMirror, _Sink]:
    """A reader and a follower that both know a and b at (1, 10)."""
    reader_sink, follower_sink = _Sink(), _Sink()
    reader, follower = KindMirror("kind", reader_sink), KindMirror("kind", follower_sink)
    place = StorePosition(1, 10)
    reader.on_list([_stored("a", place), _stored("b", place)], place, 0.0)
    _feed(reader, follower)
    return reader, reader_sink, follower, follower_sink


def _feed(reader: KindMirror, follower: KindMirror) -> FeedKind | None:
    fed = reader.since(follower.place)
    if fed is not None:
        follower.on_fed(FedUpdate(follower.place, fed), 0.0)
    return fed


def test_followers_are_told_what_differs_after_a_return() -> None:
    """At a revision far below theirs; what is the same isn't told again."""
    reader, reader_sink, follower, sink = _pair()
    back = StorePosition(2, 4)
    reader.on_list([_stored("a", back), _stored("c", back)], back, 0.0)
    assert reader.has_news(follower.place)
    fed = _feed(reader, follower)
    assert fed is not None and not fed.is_snapshot
    assert {item.name for item in fed.objects} == {"b", "c"}
    assert sink.specs == reader_sink.specs == {"a": b"{}", "c": b"{}"}
    assert follower.place == back and sink.eras == reader_sink.eras == 1
    change = ObjectChange(_stored("a", StorePosition(2, 5), b"[]"), gone=False)
    reader.on_changes(ObjectChanges((change,), StorePosition(2, 5)), 0.0)
    _feed(reader, follower)
    assert sink.specs["a"] == b"[]"


def test_a_follower_that_knew_more_of_the_former_era_is_told_all() -> None:
    """Its reader can't tell the differences to a state that it never knew."""
    reader, _, follower, sink = _pair()
    lost = ObjectChange(_stored("lost", StorePosition(1, 11)), gone=False)
    follower.on_changes(ObjectChanges((lost,), StorePosition(1, 11)), 0.0)
    back = StorePosition(2, 4)
    reader.on_list([_stored("a", back), _stored("b", back)], back, 0.0)
    fed = _feed(reader, follower)
    assert fed is not None and fed.is_snapshot
    assert set(sink.specs) == {"a", "b"}


def test_a_follower_that_missed_an_era_is_told_what_differs() -> None:
    """Two returns in a row."""
    reader, _, follower, sink = _pair()
    for era in (2, 3):
        back = StorePosition(era, 4)
        reader.on_list([_stored("a", back), _stored(f"of-{era}", back)], back, 0.0)
    fed = _feed(reader, follower)
    assert fed is not None and not fed.is_snapshot
    assert set(sink.specs) == {"a", "of-3"} and sink.eras == 1
    assert follower.place == StorePosition(3, 4)


def test_a_follower_that_read_the_new_era_before_its_reader_is_told_all() -> None:
    """The reader never knew the state that the follower starts from."""
    reader, _, _, _ = _pair()
    sink = _Sink()
    follower = KindMirror("kind", sink)
    follower.on_list([_stored("a", StorePosition(2, 4))], StorePosition(2, 4), 0.0)
    back = StorePosition(2, 6)
    reader.on_list([_stored("a", back), _stored("b", back)], back, 0.0)
    fed = _feed(reader, follower)
    assert fed is not None and fed.is_snapshot
    assert set(sink.specs) == {"a", "b"}


def test_a_follower_within_a_gap_of_its_reader_is_told_all() -> None:
    """A change and its reverse, which the reader's lists don't show."""
    reader, _, follower, sink = _pair()
    changed = ObjectChange(_stored("a", StorePosition(1, 11), b"[]"), gone=False)
    follower.on_changes(ObjectChanges((changed,), StorePosition(1, 11)), 0.0)
    later = StorePosition(1, 15)
    reader.on_list([_stored("a", later), _stored("b", later)], later, 0.0)
    _feed(reader, follower)
    assert sink.specs["a"] == b"{}"


def test_many_gaps_are_not_kept_for_ever() -> None:
    """Followers that are further behind are told all."""
    reader, _, follower, sink = _pair()
    for revision in range(11, 12 + MAX_GAPS + 1):
        place = StorePosition(1, revision)
        reader.on_list([_stored("a", place), _stored(f"b-{revision}", place)], place, 0.0)
    fed = _feed(reader, follower)
    assert fed is not None and fed.is_snapshot
    assert set(sink.specs) == {"a", f"b-{revision}"}


def test_changes_that_are_known_by_now_bring_nothing_back() -> None:
    """Both a reader and the store tell a gateway that stands in for its reader."""
    _, _, follower, sink = _pair()
    newer = ObjectChange(_stored("a", StorePosition(1, 12), b"2"), gone=False)
    follower.on_changes(ObjectChanges((newer,), StorePosition(1, 12)), 0.0)
    older = ObjectChange(_stored("a", StorePosition(1, 11), b"1"), gone=False)
    follower.on_changes(ObjectChanges((older,), StorePosition(1, 11)), 0.0)
    assert sink.specs["a"] == b"2" and follower.place == StorePosition(1, 12)


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
    """Keeps the lines that would be written."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        log = EventLog("node", None)
        log.emit = lambda event, **fields: self.lines.append(event)  # type: ignore[assignment,misc]
        super().__init__(log, Figures())


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


def test_eras_may_jump_and_are_told_once() -> None:
    """From none to the first that is told, too."""
    client, _, lines = _client(
        (200, PAGE, None), (200, PAGE, b"4"), (200, PAGE, b"4"), (200, PAGE, b"9")
    )
    eras = [asyncio.run(client.list_all("k"))[1].era for _ in range(4)]
    assert eras == [UNKNOWN_ERA, 4, 4, 9]
    assert lines.lines == ["store-era"] * 3


def test_an_answer_of_an_era_that_has_ended_is_void() -> None:
    """Told once, however many come."""
    client, _, lines = _client((200, PAGE, b"4"), (200, PAGE, b"3"), (200, PAGE, b"3"))
    asyncio.run(client.list_all("k"))
    assert _problem(client.list_all("k")) is StoreProblem.HISTORY_GONE
    assert _problem(client.list_all("k")) is StoreProblem.HISTORY_GONE
    assert client.era == 4 and lines.lines == ["store-era", "store-answer-outdated"]


@pytest.mark.parametrize("era", [None, b"", b"-1", b"4, 4", b"four", b"1.5", b"9" * 40])
def test_an_answer_whose_era_is_missing_or_unreadable_gives_nothing(era: bytes | None) -> None:
    """It is told once, and the call counts as failed."""
    client, _, lines = _client((200, CHANGES, b"4"), (200, CHANGES, era), (200, CHANGES, era))
    place = StorePosition(4, 5)
    asyncio.run(client.watch("k", place, 0.0))
    assert _problem(client.watch("k", place, 0.0)) is StoreProblem.UNAVAILABLE
    assert _problem(client.watch("k", place, 0.0)) is StoreProblem.UNAVAILABLE
    assert client.era == 4 and lines.lines == ["store-era", "store-era-unreadable"]


def test_pages_of_two_eras_make_no_list() -> None:
    """The first one belongs to a history that the second one's store has lost."""
    client, _, _ = _client((200, FIRST_PAGE, b"1"), (200, PAGE, b"2"))
    assert _problem(client.list_all("k")) is StoreProblem.HISTORY_GONE


@pytest.mark.parametrize("status", [409, 410, 429, 503])
def test_a_refusal_tells_the_era_too(status: int) -> None:
    """And ends the former one."""
    client, calls, _ = _client((200, CHANGES, b"1"), (status, b"{}", b"2"))
    place = StorePosition(1, 5)
    asyncio.run(client.watch("k", place, 0.0))
    _problem(client.create("k", "a", b"{}"))
    assert client.era == 2
    asked = len(calls.targets)
    assert _problem(client.watch("k", place, 0.0)) is StoreProblem.HISTORY_GONE
    assert _problem(client.replace("k", "a", b"{}", place)) is StoreProblem.CONFLICT
    assert len(calls.targets) == asked, "nothing is asked or written on what is known of an old era"


def test_a_conflict_shows_the_object_in_its_era() -> None:
    """So that the next condition is one of the present history."""
    client, _, _ = _client((409, CONFLICT, b"2"))
    with pytest.raises(StoreError) as caught:
        asyncio.run(client.replace("k", "a", b"{}", StorePosition(2, 3)))
    assert caught.value.current is not None
    assert caught.value.current.place == StorePosition(2, 4)


def test_watches_that_wait_are_given_up_when_another_call_shows_a_new_era() -> None:
    """Their connections hold, and a kind may wait for ten seconds."""

    async def scenario(harness: Harness) -> None:
        await harness.start()
        assert harness.node is not None
        instances = harness.node.context.instances
        copy = harness.store.copy()
        harness.store.come_back(copy, cut=False)
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


def _gateway(name: str, place: StorePosition) -> StoredObject:
    entry = b'{"address":"127.0.0.1:1","zone":"zone-1","feed":"127.0.0.1:2"}'
    return StoredObject(name, place, entry)


def test_gateways_that_a_copy_lacks_are_kept_until_they_had_time_to_write_again() -> None:
    """What all gateways share is divided by their number."""
    clock = [0.0]
    directory = GatewayDirectory("front-1", EventLog("front-1", None), now=lambda: clock[0])
    told: list[set[str]] = []
    directory.add_listener(lambda others: told.append({other.name for other in others}))
    place = StorePosition(1, 9)
    directory.on_list([_gateway(f"front-{number}", place) for number in (1, 2, 3)], 0.0)
    assert told[-1] == {"front-2", "front-3"} and directory.own_place == place
    directory.on_era(StorePosition(2, 3), place)
    directory.on_list([], 0.0)
    assert told[-1] == {"front-2", "front-3"} and directory.own_place is None
    back = ObjectChange(_gateway("front-2", StorePosition(2, 4)), gone=False)
    directory.on_changes((back,), 0.0)
    clock[0] = KEPT_SECONDS
    directory.expire_missing(clock[0])
    assert told[-1] == {"front-2"}
    directory.on_changes((ObjectChange(back.stored, gone=True),), 0.0)
    assert told[-1] == set(), "without a return an entry that goes is gone"
