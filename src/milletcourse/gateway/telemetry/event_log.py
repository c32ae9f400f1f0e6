"""One JSON line for each decision, with a bounded rate by kind; never blocks.

A full pipe drops lines and counts them; so does a kind that comes too often. What was left out of a
kind is said in its next line.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import structlog

from milletcourse.admission.token_bucket import TokenBucket
from milletcourse.runtime.clock import elapsed_seconds

LINES_PER_SECOND = 10.0
"""Of each kind."""
BURST_LINES = 40.0
SERVED_EVENT = "request-served"
SERVED_LINES_PER_SECOND = 2.0
"""Successes are kept after failures."""


class NonBlockingWriter:
    """Writes whole lines to a descriptor, or drops them."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Write one line; the method that structlog calls."""
        try:
            os.write(self._descriptor, line.encode() + b"\n")
        except OSError:
            self.dropped += 1


class EventLog:
    """Emits events of a gateway."""

    def __init__(
        self,
        node: str,
        writer: NonBlockingWriter | None,
        clock: Callable[[], float] = elapsed_seconds,
    ) -> None:
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}
        self._suppressed: dict[str, int] = {}
        self._suppressed_total = 0
        self._writer = writer
        self._logger: Any = None
        if writer is not None:
            self._logger = structlog.wrap_logger(
                writer,
                processors=[
                    structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.processors.JSONRenderer(),
                ],
                wrapper_class=structlog.BoundLogger,
                node=node,
            )

    @property
    def left_out(self) -> int:
        """Lines that were left out or dropped since the start."""
        dropped = self._writer.dropped if self._writer is not None else 0
        return self._suppressed_total + dropped

    def emit(self, event: str, **fields: Any) -> None:
        """Write an event, or count it as left out when its kind comes too often."""
        if self._logger is None:
            return
        now = self._clock()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = TokenBucket(_lines_per_second(event), BURST_LINES, now)
        if not bucket.take(1.0, now):
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            self._suppressed_total += 1
            return
        left_out = self._suppressed.pop(event, 0)
        if left_out:
            fields["left_out"] = left_out
        self._logger.msg(event, **fields)


def _lines_per_second(event: str) -> float:
    return SERVED_LINES_PER_SECOND if event == SERVED_EVENT else LINES_PER_SECOND
