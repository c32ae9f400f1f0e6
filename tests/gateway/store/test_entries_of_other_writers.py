"""Malformed entries from other writers: they name no server, and don't affect the valid entries.

Guards against three failures. An address without a port made requests fail with 500 (3 of 60 next
to a valid server, all of them once it had replaced the valid address), since the port was parsed
outside the handling of connection errors. An entry that became malformed was removed by a list, but
stayed in use after a change. An object without a name made the whole list fail, so that the store
counted as unstable.
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
from milletcourse.gateway.store.object_store import StoreError
from milletcourse.platform.documents import (
    decode_configuration,
    decode_instance,
    decode_target,
)
from milletcourse.platform.object_store import PlatformStoreDialect
from milletcourse.runtime.addresses import split_address
from milletcourse.runtime.decode_errors import DECODE_ERRORS

GOOD: dict[str, Any] = {
    "Service": "app",
    "Address": "127.0.0.1:9",
    "Zone": "zone-1",
    "State": "ready",
    "Models": [],
    "Sequence": 0,
    "born": 1_700_000_000_000,
}
MALFORMED: list[Any] = [
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
def test_decoders_decode_an_entry_or_raise_a_decode_error(entry: object) -> None:
    """For any content; a decoded entry has an address that can be connected to."""
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
def test_bytes_that_are_no_entry_raise_a_decode_error(spec: bytes) -> None:
    """Also bytes that aren't text."""
    with pytest.raises(DECODE_ERRORS):
        decode_instance("e-1", spec)
    assert decode_entry(spec) is None


@given(st.lists(st.one_of(json_values, st.just({"Metadata": {"Name": "a"}, "Spec": {}}))))
def test_objects_without_a_name_affect_no_other_object(items: list[object]) -> None:
    """Each object of a list and of a watch is decoded on its own."""
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
    """Number of requests that succeed, of `REQUESTS`."""
    client = await harness.client()
    answers = [await client.ask("/safe/") for _ in range(REQUESTS)]
    return sum(got.status == 200 for got in answers)


@pytest.mark.parametrize("source", ["list", "change"])
def test_malformed_entries_next_to_a_valid_server_fail_no_request(source: str) -> None:
    """Whether a list or changes contain them."""

    def put_all(harness: Harness) -> None:
        for number, spec in enumerate(MALFORMED):
            harness.store.put("servers", f"strange-{number}", spec)
        harness.store.put("milletcourse-gateways", "stranger", {"address": "127.0.0.1:99999"})

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        if source == "list":
            put_all(harness)
        await harness.start()
        if source == "change":
            put_all(harness)
            await harness.add_server("app-2", "app", serve_whole)
            await harness.until(harness.is_ready)
        assert await served(harness) == REQUESTS

    run_with_gateway(scenario)


def test_an_entry_that_becomes_unreadable_names_no_server() -> None:
    """A valid entry that replaces it names a server again."""

    async def scenario(harness: Harness) -> None:
        first = await harness.add_server("app-1", "app", serve_whole)
        second = await harness.add_server("app-2", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        table = harness.node.context.instances
        for malformed in ({**GOOD, "Address": "nowhere"}, None, {"Service": 1}):
            harness.store.put("servers", "app-1", malformed)
            await harness.until(lambda: table.get("app-1") is None)
            before = len(first.received)
            assert await served(harness) == REQUESTS
            assert len(first.received) == before
            harness.store.put("servers", "app-1", first.entry("app"))
            await harness.until(lambda: table.get("app-1") is not None)
        assert len(second.received) >= REQUESTS

    run_with_gateway(scenario)
