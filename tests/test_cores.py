"""Cores without I/O: stream order, cache estimates, weights, shares, wire codecs, experiments."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from milletcourse.admission.fair_share import fair_shares
from milletcourse.backends.engine_messages import EngineLoad, EngineToken, EngineUsage
from milletcourse.control.weight_placement import MAX_LOADS_AT_ONCE, plan_loads
from milletcourse.errors import FailureError
from milletcourse.experiments.faults import PLANS
from milletcourse.experiments.parameters import load_deployment
from milletcourse.experiments.run import POLICIES, ExperimentRun
from milletcourse.membership.messages import (
    MemberRecord,
    MembershipMessage,
    MemberState,
    MessageKind,
    PlatformStamp,
)
from milletcourse.policy.objects import EngineSpec, ModelSpec
from milletcourse.prefix.blocks import BLOCK_BYTES, block_chain, chain_root
from milletcourse.prefix.cache_estimate import CacheEstimateIndex
from milletcourse.routing.load import EngineLoadState
from milletcourse.routing.load_digest import FOLLOW_ALL_MAX_ENGINES, DigestEntry, followed_engines
from milletcourse.routing.store_index import SHORT_IMPORTS_BEFORE_PAUSE, StoreIndex
from milletcourse.streams.ordered_relay import OrderedRelay, RelayCounters
from milletcourse.streams.resume_token import ResumePoint, ResumeTokenCodec
from milletcourse.wire.envelope import Envelope, EnvelopeCodec, MessageType
from milletcourse.wire.load_digest import decode_load_digest, encode_load_digest
from milletcourse.wire.membership import decode_membership, encode_membership

ROOT = Path(__file__).parent.parent


@given(st.lists(st.tuples(st.integers(0, 1), st.integers(0, 6), st.booleans()), max_size=60))
def test_relay_passes_each_offset_once_and_in_order(
    events: list[tuple[int, int, bool]],
) -> None:
    """For any events of any attempts and requests, the client receives offsets 0, 1, 2, ..."""
    relay = OrderedRelay("mine", RelayCounters())
    relay.begin_attempt(1, 0)
    passed = []
    for attempt, offset, foreign in events:
        token = EngineToken("other" if foreign else "mine", attempt, offset, f"t{offset}")
        try:
            relayed = relay.accept(token)
        except FailureError:
            break
        if relayed is not None:
            passed.append(relayed.text)
    assert passed == [f"t{index}" for index in range(len(passed))]


def test_regenerated_answer_is_spliced_only_when_equal() -> None:
    """A resume at another engine verifies the text that the client already received."""
    first = OrderedRelay("r", RelayCounters())
    first.begin_attempt(1, 0)
    for offset in range(3):
        first.accept(EngineToken("r", 1, offset, f"t{offset}"))
    for texts, same in ((["t0", "t1", "t2"], True), (["t0", "x", "t2"], False)):
        relay = OrderedRelay("r", RelayCounters())
        relay.resume_at(3, first.text_digest)
        relay.begin_attempt(2, 0)
        try:
            for offset, text in enumerate(texts):
                assert relay.accept(EngineToken("r", 2, offset, text)) is None
            last = relay.accept(EngineToken("r", 2, 3, "t3", EngineUsage(1, 4, 0)))
            assert last is not None and last.next_offset == 4
            assert same
        except FailureError:
            assert not same


def test_cache_estimates_are_dropped_with_the_incarnation() -> None:
    """A restarted engine has an empty estimate; late events of the old incarnation are ignored."""
    index = CacheEstimateIndex()
    chain = [bytes([number]) * 16 for number in range(5)]
    index.observe_incarnation("e", "1")
    index.note_held("e", "1", chain)
    assert index.holders(chain, 4) == {"e": 5}
    assert index.observe_incarnation("e", "2")
    index.note_held("e", "1", chain)
    assert index.holders(chain, 4) == {}
    index.note_held("e", "2", chain[:2])
    index.note_answer("e", "2", chain, cached_blocks=0)
    assert index.is_unverified("e")


def test_block_chain_depends_on_every_part_of_its_root() -> None:
    """Model, adapter, weight version and scope each separate the hashes."""
    text = b"x" * (2 * BLOCK_BYTES)
    roots = {
        chain_root("m", "", "1", b"s"),
        chain_root("n", "", "1", b"s"),
        chain_root("m", "a", "1", b"s"),
        chain_root("m", "", "2", b"s"),
        chain_root("m", "", "1", b"t"),
    }
    hashes = {block for root in roots for block in block_chain(root, text).hashes}
    assert len(hashes) == 2 * len(roots)


def test_paused_store_is_probed_by_one_request() -> None:
    """After short imports the store is not used, and one request after each pause probes it."""
    index = StoreIndex()
    for _ in range(SHORT_IMPORTS_BEFORE_PAUSE):
        assert index.try_use("kv", 0.0)
        index.on_import("kv", True, 0.0)
    assert not index.try_use("kv", 0.5)
    assert index.try_use("kv", 1.5)
    assert not index.try_use("kv", 1.6)
    index.on_import("kv", False, 1.7)
    assert index.try_use("kv", 1.8)


def test_weights_load_two_at_a_time() -> None:
    """At most two engines change at once; draining ones and ones without a report are skipped."""
    engines = {f"e{i}": EngineSpec("1.1.1.1:1", "p", ("m",), leaving=i == 0) for i in range(6)}
    report = EngineLoad("1", 0, 0, 0, 10, 1000.0, {"m": "1"})
    states = {name: EngineLoadState(report=report) for name in engines if name != "e1"}
    models = {"m": ModelSpec("2")}
    orders = plan_loads(engines, models, states, frozenset())
    assert [item.engine for item in orders] == ["e2", "e3"]
    assert len(orders) == MAX_LOADS_AT_ONCE
    assert plan_loads(engines, models, states, frozenset({"e2", "e3"})) == []


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 100), min_size=1),
    st.floats(0, 200),
)
def test_fair_shares_never_exceed_demand_or_total(demand: dict[str, float], total: float) -> None:
    """Shares add up to the smaller of total and demand, and no tenant exceeds its demand."""
    weights = {name: 1.0 + index for index, name in enumerate(sorted(demand))}
    shares = fair_shares(total, demand, weights)
    assert all(shares[name] <= demand[name] + 1e-6 for name in demand)
    assert sum(shares.values()) <= total + 1e-6
    assert sum(shares.values()) >= min(total, sum(demand.values())) - 1e-6


def test_codecs_round_trip_and_refuse_forgeries() -> None:
    """Messages round-trip; an envelope with another key or a changed byte is refused."""
    record = MemberRecord("r1", "p", "10.0.0.1:7", "10.0.0.1:8", MemberState.SUSPECT, 9)
    message = MembershipMessage(MessageKind.PROBE, 3, "r2", 7, PlatformStamp(6, 1.5), (record,))
    assert decode_membership(encode_membership(message)) == message
    entries = [DigestEntry(1, 2, 3, 4, True, False)]
    assert decode_load_digest(encode_load_digest(entries)) == entries
    codec = EnvelopeCodec("a cluster key")
    sealed = codec.encode(Envelope(MessageType.MEMBERSHIP, "r1", 5, b"body"))
    assert codec.decode(sealed).body == b"body"
    for forged in (sealed[:-1] + b"\0", b"", sealed[:10], b"\0" * 64):
        with pytest.raises(FailureError):
            codec.decode(forged)
    with pytest.raises(FailureError):
        EnvelopeCodec("another key").decode(sealed)


@given(st.binary(max_size=80))
def test_random_bytes_are_refused(payload: bytes) -> None:
    """For any input, a codec raises nothing but a typed failure."""
    codec = EnvelopeCodec("a cluster key")
    for decode in (codec.decode, decode_membership, decode_load_digest):
        try:
            decode(payload)
        except FailureError:
            continue


def test_resume_tokens_are_bound_to_their_request() -> None:
    """A token of another request, and a forged one, are refused."""
    codec = ResumeTokenCodec("a cluster key")
    point = ResumePoint("r", b"digest", "e", "1", "1", 1, 5, b"text")
    token = codec.encode(point)
    assert codec.decode(token, b"digest") == point
    for wrong, digest in ((token, b"other"), (token[:-4] + "AAAA", b"digest"), ("%%", b"digest")):
        with pytest.raises(FailureError):
            codec.decode(wrong, digest)


def test_each_engine_is_followed_by_one_router_of_its_place() -> None:
    """Each engine has one follower; in small deployments every router follows all engines."""
    routers = [
        MemberRecord(f"r{i}", f"p{i % 3}", "1.1.1.1:1", "1.1.1.1:1", MemberState.ALIVE, 1)
        for i in range(12)
    ]
    engines = {f"e{i}": f"p{i % 4}" for i in range(200)}
    followed = [engine for own in routers for engine in followed_engines(own, routers, engines)]
    assert sorted(followed) == sorted(engines)
    few = dict(list(engines.items())[:FOLLOW_ALL_MAX_ENGINES])
    assert followed_engines(routers[0], routers, few) == sorted(few)


@pytest.mark.parametrize("deployment", ["roster-desk", "whitcombe"])
def test_shipped_routing_beats_its_baselines_on_one_seed(deployment: str) -> None:
    """Wasted tokens and hit rate against the load-only baseline, without policy violations."""
    loaded = load_deployment(deployment)
    ours = ExperimentRun(loaded, POLICIES["milletcourse"], PLANS["none"], 0.5, 1).run()
    theirs = ExperimentRun(loaded, POLICIES["least_loaded"], PLANS["none"], 0.5, 1).run()
    assert ours.violations == 0
    assert ours.hit_rate > theirs.hit_rate
    assert ours.wasted_tokens < theirs.wasted_tokens / 2
    again = ExperimentRun(loaded, POLICIES["milletcourse"], PLANS["none"], 0.5, 1).run()
    assert again == ours


def test_random_source_is_not_global() -> None:
    """Cores never draw from the module-level generator."""
    random.seed(1)
    before = random.getstate()
    loaded = load_deployment("whitcombe")
    ExperimentRun(loaded, POLICIES["milletcourse"], PLANS["none"], 0.1, 1).run()
    assert random.getstate() == before
