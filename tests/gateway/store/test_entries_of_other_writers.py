"""Entries that another writer put into the store: they name no server, and the others hold.

An entry whose address had no port ended requests in 500, 3 of 60 beside one good server and all of
them once it had replaced the good one's: the port was read outside of the errors of a connection.
An entry that became unreadable stayed in use when a change told it and went when a list did, and an
object without a name made the whole list fail, so that the store counted as unstable.
"""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_harness import Harness, run_with_gateway
from gateway_standin import serve_whole
from milletcourse.gateway.servers.call_client import Reply
from milletcourse.gateway.store.directory import decode_entry
from milletcourse.gateway.store.object_store import DECODE_ERRORS, StoreError
from milletcourse.platform.documents import (
    decode_configuration,
    decode_instance,
    decode_target,
)
from milletcourse.platform.object_store import PlatformStoreDialect
from milletcourse.runtime.addresses import split_address

GOOD: dict[str, Any] = {
    "Service": "app",
    "Address": "127.0.0.1:9",
    "Zone": "zone-1",
    "State": "ready",
    "Models": [],
    "Sequence": 0,
    "born": 1_700_000_000_000,
}
STRANGE: list[Any] = [
    None,
    [],
    "text",
    {},
    {**GOOD, "Address": "127.0.0.1"},
    {**GOOD, "Address": "127.0.0.1:none"},
    {**GOOD, "Address": "127.0.0.1:99999"},
    {**GOOD, "Address": "127.0.0.1:0"},
    {**GOOD, "Address": "no host:80"},
    {**GOOD, "Address": "x" * 300 + ":80"},
    {**GOOD, "Address": 9},
    {**GOOD, "Service": ["app"]},
    {**GOOD, "State": "elsewhere"},
    {**GOOD, "State": 7},
    {**GOOD, "Models": "none"},
    {**GOOD, "Models": [{"Name": "m"}]},
    {**GOOD, "Models": [{"Name": "m", "Version": -1}]},
    {**GOOD, "Models": [{"Name": "m", "Version": 2**70}]},
    {**GOOD, "Service": "unnamed"},
    {key: value for key, value in GOOD.items() if key != "Address"},
]
REQUESTS = 40

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=8,
)
entries = st.one_of(
    json_values,
    st.builds(
        lambda field, value: {**GOOD, field: value},
        st.sampled_from(sorted(GOOD)),
        json_values,
    ),
)


@given(entries)
def test_decoders_understand_an_entry_or_say_that_they_do_not(entry: object) -> None:
    """Whatever it holds; what they understand has an address that can be connected to."""
    spec = json.dumps(entry).encode()
    try:
        split_address(decode_instance("e-1", spec).address)
    except DECODE_ERRORS:
        pass
    for decode in (decode_target, decode_configuration):
        try:
            decode(spec)
        except DECODE_ERRORS:
            pass
    decode_entry(spec)


@given(st.binary(max_size=60))
def test_bytes_that_are_no_entry_are_refused_in_the_same_way(spec: bytes) -> None:
    """Also those that are no text."""
    with pytest.raises(DECODE_ERRORS):
        decode_instance("e-1", spec)
    assert decode_entry(spec) is None


@given(st.lists(st.one_of(json_values, st.just({"Metadata": {"Name": "a"}, "Spec": {}}))))
def test_objects_without_a_name_cost_no_other_object(items: list[object]) -> None:
    """Each of a list's and of a watch's objects is read by itself."""
    dialect = PlatformStoreDialect()
    good = {"Metadata": {"Name": "good", "Revision": 3}, "Spec": {"x": 1}}
    page = dialect.read_page(
        Reply(200, json.dumps({"items": [*items, good], "At": 5, "More": False}).encode(), 0.0)
    )
    assert page.objects[-1].name == "good"
    assert len(page.objects) + page.unreadable == len(items) + 1
    events = [{"Object": item} for item in items] + [{"Object": good, "Gone": True}]
    changes = dialect.read_changes(Reply(200, json.dumps({"Events": events, "At": 5}).encode(), 0))
    assert changes.changes[-1].deleted
    with pytest.raises(StoreError):
        dialect.read_page(Reply(200, b"no page", 0.0))


async def served(harness: Harness) -> int:
    """How many of some requests are served."""
    client = await harness.client()
    answers = [await client.ask("/safe/") for _ in range(REQUESTS)]
    return sum(got.status == 200 for got in answers)


@pytest.mark.parametrize("told_by", ["list", "change"])
def test_strange_entries_beside_a_good_server_cost_no_request(told_by: str) -> None:
    """Told by a list or by changes."""

    def put_all(harness: Harness) -> None:
        for number, spec in enumerate(STRANGE):
            harness.store.put("servers", f"strange-{number}", spec)
        harness.store.put("milletcourse-gateways", "stranger", {"address": "127.0.0.1:99999"})

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        if told_by == "list":
            put_all(harness)
        await harness.start()
        if told_by == "change":
            put_all(harness)
            await harness.add_server("app-2", "app", serve_whole)
            await harness.until(harness.is_ready)
        assert await served(harness) == REQUESTS

    run_with_gateway(scenario)


def test_an_entry_that_becomes_unreadable_names_no_server() -> None:
    """And a good one that comes after it does again."""

    async def scenario(harness: Harness) -> None:
        first = await harness.add_server("app-1", "app", serve_whole)
        second = await harness.add_server("app-2", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        table = harness.node.context.instances
        for strange in ({**GOOD, "Address": "nowhere"}, None, {"Service": 1}):
            harness.store.put("servers", "app-1", strange)
            await harness.until(lambda: table.get("app-1") is None)
            before = len(first.received)
            assert await served(harness) == REQUESTS
            assert len(first.received) == before
            harness.store.put("servers", "app-1", first.entry("app"))
            await harness.until(lambda: table.get("app-1") is not None)
        assert len(second.received) >= REQUESTS

    run_with_gateway(scenario)
