"""Requests for relayed connections survive any split, and other bytes are rejected."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.messages.relay_messages import (
    MAX_RELAY_TIMEOUT_MS,
    MAX_REQUEST_BYTES,
    RELAY_MARK,
    RelayReply,
    RelayRequest,
    RelayRequestError,
    decode_relay_reply,
    decode_relay_request,
    encode_relay_request,
)

names = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=60)


@given(names, names, names, st.integers(1, MAX_RELAY_TIMEOUT_MS), st.binary(max_size=20))
def test_a_request_is_decoded_once_it_is_complete(
    sender: str, server: str, request_id: str, timeout_ms: int, rest: bytes
) -> None:
    """Each shorter part is incomplete, and bytes after it are returned."""
    request = RelayRequest(sender, server, request_id, timeout_ms)
    data = encode_relay_request(request)
    assert all(decode_relay_request(data[:size]) is None for size in range(1, len(data)))
    assert decode_relay_request(data + rest) == (request, rest)


@given(st.binary(min_size=1, max_size=MAX_REQUEST_BYTES * 2))
def test_other_bytes_are_rejected_or_incomplete(data: bytes) -> None:
    """Whatever arrives, nothing but a decoding error is raised."""
    for candidate in (data, RELAY_MARK + data):
        try:
            decoded = decode_relay_request(candidate)
        except RelayRequestError:
            continue
        assert decoded is None or isinstance(decoded[0], RelayRequest)


def test_long_requests_are_rejected_before_they_are_complete() -> None:
    """Nobody may make a gateway collect bytes."""
    with pytest.raises(RelayRequestError):
        decode_relay_request(RELAY_MARK + (MAX_REQUEST_BYTES + 1).to_bytes(2, "big"))


def test_replies_of_other_protocols_are_none() -> None:
    """A gateway of an older release answers over HTTP."""
    assert decode_relay_reply(b"HTTP/1.1 400") is None
    assert decode_relay_reply(b"") is None
    assert decode_relay_reply(bytes([RelayReply.BUSY])) is RelayReply.BUSY
