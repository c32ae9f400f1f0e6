"""Bounds in bytes on the parts of an answer that carry no body."""

from __future__ import annotations

from milletcourse.exchange.messages.event_stream import EventSplitter
from milletcourse.exchange.messages.message_bounds import (
    MAX_EVENT_BYTES,
    MAX_HEAD_BYTES,
    MAX_OVERHEAD_BYTES,
    MessageBounds,
)

PIECE_BYTES = 32 * 1024


def test_overhead_is_bounded_by_part_and_in_proportion_to_the_body() -> None:
    bounds = MessageBounds()
    bounds.on_received(MAX_HEAD_BYTES)
    assert bounds.is_within()
    bounds.on_received(1)
    assert not bounds.is_within()
    bounds = MessageBounds()
    for _ in range(100_000):
        # Chunks of a typical stream: a few bytes of framing for each event.
        bounds.on_received(48)
        bounds.on_body(40)
    assert bounds.is_within()
    bounds = MessageBounds()
    received = 0
    while bounds.is_within():
        bounds.on_received(PIECE_BYTES)
        bounds.on_body(1)
        received += PIECE_BYTES
        assert received <= 2 * MAX_OVERHEAD_BYTES


def test_an_event_without_end_is_bounded() -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: 1\n\n")
    while not splitter.is_oversized:
        splitter.feed(b"x" * PIECE_BYTES)
        assert splitter.partial_bytes <= MAX_EVENT_BYTES + PIECE_BYTES
