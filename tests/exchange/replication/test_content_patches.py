"""Contents told as differences, and what waits for them."""

from __future__ import annotations

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.messages.content_patch import (
    MAX_CONTENT_BYTES,
    NO_CONTENT_SUM,
    ContentPatch,
    PatchError,
    PatchProblem,
    Run,
    apply_patch,
    content_sum,
    make_patch,
    whole_patch,
)
from milletcourse.exchange.messages.feed_messages import (
    ContentQuestion,
    FedKind,
    FedObject,
    FeedAnswer,
    FeedQuestion,
    decode_answer,
    decode_patch,
    decode_question,
    encode_answer,
    encode_patch,
    encode_question,
)
from milletcourse.exchange.messages.store_place import StorePlace
from milletcourse.exchange.replication.pending_contents import FedUpdate, PendingContents

ENTRIES = st.lists(st.sampled_from([b'{"a":1},', b'{"b":[2,{"c":3},4]},', b"},", b"x", b""]))
CONTENTS = st.one_of(st.binary(max_size=200), ENTRIES.map(b"".join))
NULL = msgspec.Raw(b"null")


@given(CONTENTS, CONTENTS)
def test_a_patch_makes_the_content_again(base: bytes, content: bytes) -> None:
    """Whatever the two contents are."""
    patch = make_patch(base, content)
    assert apply_patch(patch, base) == content
    assert decode_patch(encode_patch(patch)) == patch
    assert apply_patch(whole_patch(content), None) == content


def _routes(count: int, first: int = 0) -> bytes:
    return b'{"Routes":[' + b",".join(
        b'{"Name":"route-%d","Host":"site-%d.example"}' % (number, number * 7919 % 1000)
        for number in range(first, first + count)
    )


def test_one_entry_more_costs_little_wherever_it_stands() -> None:
    """Order and place don't matter, only what is new."""
    base = _routes(1000)
    for at in (0, 20_000, len(base) - 1):
        cut = base.find(b"{", max(at, 11))
        cut = cut if cut >= 0 else len(base)
        content = base[:cut] + b'{"Name":"added"},' + base[cut:]
        assert len(make_patch(base, content).steps) < 200
    back = make_patch(base, _routes(990, 10))
    assert len(back.steps) < 200


def test_a_patch_is_refused_for_another_content() -> None:
    """Also when there is none."""
    patch = make_patch(b'{"a":1},', b'{"a":1},{"b":2},')
    for base in (b'{"a":2},', None):
        with pytest.raises(PatchError) as refused:
            apply_patch(patch, base)
        assert refused.value.problem is PatchProblem.OTHER_BASE


@given(st.binary(max_size=60), st.integers(-5, 10**9), st.integers(0, 2**64 - 1))
def test_bytes_of_others_give_an_error_or_what_was_announced(
    steps: bytes, size: int, result: int
) -> None:
    """And nothing else."""
    base = b'{"a":1},{"b":2},'
    try:
        made = apply_patch(ContentPatch(content_sum(base), result, size, steps), base)
    except PatchError:
        return
    assert content_sum(made) == result and len(made) == size


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
def test_steps_that_lie_give_an_error(steps: list[object]) -> None:
    """They name pieces that aren't there, or make more than was announced."""
    base = b'{"a":1},{"b":2},'
    packed = zlib.compress(msgspec.msgpack.encode(steps))
    with pytest.raises(PatchError):
        apply_patch(ContentPatch(content_sum(base), 7, 10, packed), base)


def test_compressed_bytes_that_grow_without_bound_are_refused() -> None:
    """Before they fill the memory."""
    bomb = zlib.compress(b"\0" * (2 * MAX_CONTENT_BYTES))
    with pytest.raises(PatchError):
        apply_patch(ContentPatch(NO_CONTENT_SUM, 7, 100, bomb), None)
    assert decode_answer(zlib.compress(b"\0" * 10) + b"more") is None
    assert decode_answer(bomb[: len(bomb) // 2]) is None


def test_gateways_of_an_older_release_are_understood() -> None:
    """They send fewer fields, and pass over those that they don't know."""
    question = decode_question(b'[[["config",[1,5]]],0.8]')
    assert question is not None and not question.takes_patches
    assert decode_question(encode_question(FeedQuestion([], 0.5, True))) is not None
    answer = decode_answer(b'[[["config",[1,7],false,[["main",[1,7],{"Version":2}]]]],-0.2]')
    assert answer is not None and not answer.is_receiving
    assert answer.kinds[0].objects[0].patch is None


def test_a_large_answer_is_compressed_for_those_that_understand_it() -> None:
    """And for nobody else."""
    objects = [FedObject(f"name-{n}", StorePlace(1, n), msgspec.Raw(b"{}")) for n in range(500)]
    answer = FeedAnswer([FedKind("servers", StorePlace(1, 500), True, objects)], 0.0)
    plain, packed = encode_answer(answer, False), encode_answer(answer, True)
    assert len(packed) < len(plain) / 3
    assert decode_answer(packed) == decode_answer(plain) == answer


def _announced(name: str, revision: int, patch: ContentPatch) -> FedObject:
    return FedObject(name, StorePlace(1, revision), NULL, patch=patch.announcement())


def test_what_follows_an_announced_content_waits_for_it() -> None:
    """Two versions ahead, and a small change of another object between them."""
    first, second = make_patch(b"1", b"2"), make_patch(b"2", b"3")
    pending = PendingContents()
    small = FedObject("other", StorePlace(1, 8), msgspec.Raw(b"{}"))
    told = [
        FedKind("config", StorePlace(1, 7), False, [_announced("main", 7, first)]),
        FedKind("config", StorePlace(1, 8), False, [small]),
        FedKind("config", StorePlace(1, 9), False, [_announced("main", 9, second)]),
    ]
    known = StorePlace(1, 6)
    for fed in told:
        assert pending.take(fed, pending.position("config", known)) == []
    assert pending.position("config", known) == StorePlace(1, 9)
    asked = pending.missing("config")
    assert asked == ContentQuestion("config", "main", first.base, first.result)
    assert pending.on_patch(asked, second) == [], "another content than was asked for"
    ready = pending.on_patch(asked, first)
    assert [update.fed.place.revision for update in ready] == [7, 8]
    assert [update.since for update in ready] == [known, StorePlace(1, 7)]
    asked = pending.missing("config")
    assert asked is not None and "config" in pending
    ready = pending.on_patch(asked, second)
    assert [update.fed.place.revision for update in ready] == [9] and "config" not in pending


def test_all_objects_replace_what_was_announced() -> None:
    """A reader that tells all again needn't bring what it had announced."""
    pending = PendingContents()
    told = [_announced("main", 7, make_patch(b"1", b"2"))]
    pending.take(FedKind("config", StorePlace(1, 7), False, told), StorePlace(1, 6))
    whole = FedKind("config", StorePlace(2, 3), True, [])
    assert pending.take(whole, None) == [FedUpdate(None, whole)]
    assert "config" not in pending and pending.missing("config") is None


def test_a_patch_that_does_not_fit_makes_a_follower_ask_for_all_once() -> None:
    """Until all is told, whatever was announced before."""
    pending = PendingContents()
    known = StorePlace(1, 6)
    told = [_announced("main", 7, make_patch(b"1", b"2"))]
    pending.take(FedKind("config", StorePlace(1, 7), False, told), StorePlace(1, 6))
    pending.on_patch_mismatch("config")
    assert pending.position("config", known) is None and "config" not in pending
    told = [_announced("main", 8, whole_patch(b"3")), _announced("other", 8, whole_patch(b"4"))]
    pending.take(FedKind("config", StorePlace(1, 8), True, told), None)
    assert pending.position("config", known) == StorePlace(1, 8), "and not for all again"


def test_the_first_of_many_waiting_answers_stays() -> None:
    """So that a content that comes slowly is not asked for in vain."""
    pending = PendingContents()
    patches = [make_patch(b"%d" % number, b"%d" % (number + 1)) for number in range(40)]
    for number, patch in enumerate(patches):
        told = [_announced("main", number, patch)]
        since = pending.position("config", StorePlace(1, 0))
        pending.take(FedKind("config", StorePlace(1, number), False, told), since)
    asked = pending.missing("config")
    assert asked == ContentQuestion("config", "main", patches[0].base, patches[0].result)
    ready = pending.on_patch(asked, patches[0])
    assert [update.fed.place.revision for update in ready] == [0]
