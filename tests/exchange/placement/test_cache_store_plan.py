"""Exports to KV-cache stores: none twice, and those that save little only with free capacity."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.messages.records import ServiceRecord
from milletcourse.exchange.placement.cache_store_plan import CacheStorePlan
from milletcourse.exchange.placement.prompt_chain import PromptChain

STORE = ServiceRecord("store", store_address="10.0.0.1:1", zone="a", capacity_tokens=40_000)
REUSE_SECONDS = 10.0


def prompt(name: str, shared: int = 900, own: int = 100) -> PromptChain:
    """A prompt with one shared and one unshared part."""
    return PromptChain([name.encode(), b"own"], [shared, shared + own], 1)


def send(
    plan: CacheStorePlan,
    chain: PromptChain,
    now: float,
    members: int = 1,
    store: ServiceRecord = STORE,
) -> bool:
    """Decide on the export of one prompt, and record the answer of its server."""
    sent = plan.should_send(store, chain, members, REUSE_SECONDS, now)
    if sent:
        plan.on_sent(store.store_address, chain)
    return sent


def test_a_part_is_sent_once_and_again_when_it_may_have_been_evicted() -> None:
    """It may be evicted when later exports of all gateways exceed the store's capacity."""
    plan = CacheStorePlan()
    assert send(plan, prompt("a"), 0.0)
    assert not send(plan, prompt("a"), 0.1)
    for number in range(40):
        assert send(plan, prompt(f"b{number}"), 1.0 + number)
    assert send(plan, prompt("a"), 60.0)


def test_other_gateways_are_assumed_to_send_as_much() -> None:
    """With ten gateways the capacity is used up ten times as fast."""
    plan = CacheStorePlan()
    assert send(plan, prompt("a"), 0.0, members=10)
    for number in range(4):
        assert send(plan, prompt(f"b{number}"), 10.0 + number, members=10)
    assert send(plan, prompt("a"), 90.0, members=10)


def test_prompts_that_save_little_are_sent_while_the_store_has_capacity() -> None:
    """Parts are then not evicted before their reuse."""
    plan = CacheStorePlan()
    for number in range(60):
        assert send(plan, prompt(f"p{number}", 200, 800), number * 0.5)


def test_prompts_that_save_little_are_not_sent_to_an_overcommitted_store() -> None:
    """Prompts that save much are still sent; with less traffic both are sent again."""
    plan = CacheStorePlan()
    for number in range(100):
        assert send(plan, prompt(f"p{number}"), number * 0.1)
    assert not send(plan, prompt("short", 200, 800), 10.0)
    assert send(plan, prompt("long"), 10.0)
    assert send(plan, prompt("short", 200, 800), 30.0)


def test_a_lost_store_is_sent_everything_again() -> None:
    """It may have lost its contents."""
    plan = CacheStorePlan()
    assert send(plan, prompt("a"), 0.0)
    plan.on_lost(STORE.store_address)
    assert send(plan, prompt("a"), 0.1)


def test_a_store_of_unknown_capacity_is_sent_everything() -> None:
    """Neither its contents nor evictions can be estimated."""
    plan = CacheStorePlan()
    store = ServiceRecord("store", store_address="10.0.0.1:1")
    for number in range(200):
        assert send(plan, prompt("a", 200, 800), number * 0.001, store=store)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 30), st.integers(1, 20_000), st.integers(0, 20_000), st.floats(0.0, 5.0)
        ),
        max_size=60,
    ),
    st.integers(1, 400),
)
def test_prompts_that_save_much_are_always_sent_to_a_store_that_lacks_them(
    sent: list[tuple[int, int, int, float]], members: int
) -> None:
    """This holds after any sequence of exports."""
    plan = CacheStorePlan()
    now = 0.0
    for name, shared, own, pause in sent:
        now += pause
        send(plan, prompt(f"p{name}", shared, own), now, members)
    assert send(plan, prompt("unseen"), now, members)
