"""Contents sent as patches, and updates that wait for them."""

from __future__ import annotations

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.messages.content_patch import (
    MAX_CONTENT_BYTES,
    NO_CONTENT_CHECKSUM,
    ContentPatch,
    PatchError,
    PatchProblem,
    Run,
    apply_patch,
    content_checksum,
    full_patch,
    make_patch,
)
from milletcourse.exchange.messages.feed_messages import (
    ContentRequest,
    FeedKind,
    FeedObject,
    FeedRequest,
    FeedResponse,
    decode_feed_request,
    decode_feed_response,
    decode_patch,
    encode_feed_request,
    encode_feed_response,
    encode_patch,
)
from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.exchange.replication.pending_contents import PendingContents, PendingUpdate

ENTRIES = st.lists(st.sampled_from([b'{"a":1},', b'{"b":[2,{"c":3},4]},', b"},", b"x", b""]))
CONTENTS = st.one_of(st.binary(max_size=200), ENTRIES.map(b"".join))
NULL = msgspec.Raw(b"null")


@given(CONTENTS, CONTENTS)
def test_a_patch_reproduces_the_content(base: bytes, content: bytes) -> None:
    """For any two contents."""
    patch = make_patch(base, content)
    assert apply_patch(patch, base) == content
    assert decode_patch(encode_patch(patch)) == patch
    assert apply_patch(full_patch(content), None) == content


def _routes(count: int, first: int = 0) -> bytes:
    return b'{"Routes":[' + b",".join(
        b'{"Name":"route-%d","Host":"site-%d.example"}' % (number, number * 7919 % 1000)
        for number in range(first, first + count)
    )


def test_an_added_entry_makes_a_small_patch_at_any_offset() -> None:
    """The size of a patch depends only on the new bytes, not on order and offset."""
    base = _routes(1000)
    for at in (0, 20_000, len(base) - 1):
        offset = base.find(b"{", max(at, 11))
        offset = offset if offset >= 0 else len(base)
        content = base[:offset] + b'{"Name":"added"},' + base[offset:]
        assert len(make_patch(base, content).steps) < 200
    back = make_patch(base, _routes(990, 10))
    assert len(back.steps) < 200


def test_a_patch_is_refused_for_another_base() -> None:
    """Also when there is no base."""
    patch = make_patch(b'{"a":1},', b'{"a":1},{"b":2},')
    for base in (b'{"a":2},', None):
        with pytest.raises(PatchError) as refused:
            apply_patch(patch, base)
        assert refused.value.problem is PatchProblem.BASE_MISMATCH


@given(st.binary(max_size=60), st.integers(-5, 10**9), st.integers(0, 2**64 - 1))
def test_arbitrary_patch_bytes_give_an_error_or_the_announced_content(
    steps: bytes, size: int, result: int
) -> None:
    """No other exception is raised, and no other content is returned."""
    base = b'{"a":1},{"b":2},'
    try:
        made = apply_patch(ContentPatch(content_checksum(base), result, size, steps), base)
    except PatchError:
        return
    assert content_checksum(made) == result and len(made) == size


@pytest.mark.parametrize(
    "steps",
    [
        [Run(0, 10**9)],
        [Run(-1, 1)],
        [Run(0, 0)],
        [b"x" * 100],
        [Run(0, 1)] * 1000,
        ["text"],
    ],
)
def test_invalid_steps_give_an_error(steps: list[object]) -> None:
    """They refer to bytes outside the base, or produce more than the announced size."""
    base = b'{"a":1},{"b":2},'
    packed = zlib.compress(msgspec.msgpack.encode(steps))
    with pytest.raises(PatchError):
        apply_patch(ContentPatch(content_checksum(base), 7, 10, packed), base)


def test_decompression_bombs_are_refused() -> None:
    """Decompression stops at the maximum content size, before it exhausts memory."""
    bomb = zlib.compress(b"\0" * (2 * MAX_CONTENT_BYTES))
    with pytest.raises(PatchError):
        apply_patch(ContentPatch(NO_CONTENT_CHECKSUM, 7, 100, bomb), None)
    assert decode_feed_response(zlib.compress(b"\0" * 10) + b"more") is None
    assert decode_feed_response(bomb[: len(bomb) // 2]) is None


def test_messages_of_an_older_release_are_decoded() -> None:
    """Older gateways send fewer fields, and ignore those that they don't know."""
    request = decode_feed_request(b'[[["config",[1,5]]],0.8]')
    assert request is not None and not request.accepts_patches
    assert decode_feed_request(encode_feed_request(FeedRequest([], 0.5, True))) is not None
    answer = decode_feed_response(b'[[["config",[1,7],false,[["main",[1,7],{"Version":2}]]]],-0.2]')
    assert answer is not None and not answer.is_receiving
    assert answer.kinds[0].objects[0].patch is None


def test_a_large_answer_is_compressed_only_on_request() -> None:
    """A gateway that doesn't accept compression gets the plain encoding."""
    objects = [FeedObject(f"name-{n}", StorePosition(1, n), msgspec.Raw(b"{}")) for n in range(500)]
    answer = FeedResponse([FeedKind("servers", StorePosition(1, 500), True, objects)], 0.0)
    plain, packed = encode_feed_response(answer, False), encode_feed_response(answer, True)
    assert len(packed) < len(plain) / 3
    assert decode_feed_response(packed) == decode_feed_response(plain) == answer


def _announced_object(name: str, revision: int, patch: ContentPatch) -> FeedObject:
    return FeedObject(name, StorePosition(1, revision), NULL, patch=patch.announcement())


def test_updates_behind_an_announced_content_wait_for_it() -> None:
    """Two versions are announced, with a small change of another object between them."""
    first, second = make_patch(b"1", b"2"), make_patch(b"2", b"3")
    pending = PendingContents()
    small = FeedObject("other", StorePosition(1, 8), msgspec.Raw(b"{}"))
    announcements = [
        FeedKind("config", StorePosition(1, 7), False, [_announced_object("main", 7, first)]),
        FeedKind("config", StorePosition(1, 8), False, [small]),
        FeedKind("config", StorePosition(1, 9), False, [_announced_object("main", 9, second)]),
    ]
    known = StorePosition(1, 6)
    for received in announcements:
        assert pending.take(received, pending.position("config", known)) == []
    assert pending.position("config", known) == StorePosition(1, 9)
    request = pending.missing("config")
    assert request == ContentRequest("config", "main", first.base, first.result)
    assert pending.on_patch(request, second) == [], "another content than was requested"
    ready = pending.on_patch(request, first)
    assert [update.changes.position.revision for update in ready] == [7, 8]
    assert [update.since for update in ready] == [known, StorePosition(1, 7)]
    request = pending.missing("config")
    assert request is not None and "config" in pending
    ready = pending.on_patch(request, second)
    assert [update.changes.position.revision for update in ready] == [9] and "config" not in pending


def test_a_full_answer_replaces_announced_contents() -> None:
    """A full answer of a reader supersedes the contents that it had announced."""
    pending = PendingContents()
    announcements = [_announced_object("main", 7, make_patch(b"1", b"2"))]
    pending.take(FeedKind("config", StorePosition(1, 7), False, announcements), StorePosition(1, 6))
    whole = FeedKind("config", StorePosition(2, 3), True, [])
    assert pending.take(whole, None) == [PendingUpdate(None, whole)]
    assert "config" not in pending and pending.missing("config") is None


def test_a_mismatched_patch_makes_a_follower_request_a_full_answer_once() -> None:
    """It requests one until a full answer arrives, and discards earlier announcements."""
    pending = PendingContents()
    known = StorePosition(1, 6)
    announcements = [_announced_object("main", 7, make_patch(b"1", b"2"))]
    pending.take(FeedKind("config", StorePosition(1, 7), False, announcements), StorePosition(1, 6))
    pending.on_patch_mismatch("config")
    assert pending.position("config", known) is None and "config" not in pending
    announcements = [
        _announced_object("main", 8, full_patch(b"3")),
        _announced_object("other", 8, full_patch(b"4")),
    ]
    pending.take(FeedKind("config", StorePosition(1, 8), True, announcements), None)
    assert pending.position("config", known) == StorePosition(1, 8), "and not a full answer again"


def test_the_first_of_many_queued_answers_stays() -> None:
    """So that the transfer of a slow content is not wasted."""
    pending = PendingContents()
    patches = [make_patch(b"%d" % number, b"%d" % (number + 1)) for number in range(40)]
    for number, patch in enumerate(patches):
        announcements = [_announced_object("main", number, patch)]
        since = pending.position("config", StorePosition(1, 0))
        pending.take(FeedKind("config", StorePosition(1, number), False, announcements), since)
    request = pending.missing("config")
    assert request == ContentRequest("config", "main", patches[0].base, patches[0].result)
    ready = pending.on_patch(request, patches[0])
    assert [update.changes.position.revision for update in ready] == [0]
