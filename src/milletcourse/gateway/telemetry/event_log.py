"""Writes one JSON line per decision, rate-limited per event name; never blocks.

Lines are dropped and counted when the pipe is full or when an event exceeds its rate. The next line
of a rate-limited event carries the number of its dropped lines in the field `left_out`.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import structlog

from milletcourse.admission.token_bucket import TokenBucket
from milletcourse.runtime.clock import elapsed_seconds

LINES_PER_SECOND = 10.0
"""Sustained rate of each event name, except `SERVED_EVENT`."""
BURST_LINES = 40.0
SERVED_EVENT = "request-served"
SERVED_LINES_PER_SECOND = 2.0
"""Lower than for other events, so that failures have priority over successes."""


class NonBlockingWriter:
    """Writes whole lines to a file descriptor without blocking; drops lines that do not fit."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Write one line; structlog calls this method."""
        try:
            os.write(self._descriptor, line.encode() + b"\n")
        except OSError:
            self.dropped += 1


class EventLog:
    """Writes the events of a gateway with a rate limit per event name."""

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
        """Lines suppressed by the rate limit or dropped by the writer since the start."""
        dropped = self._writer.dropped if self._writer is not None else 0
        return self._suppressed_total + dropped

    def emit(self, event: str, **fields: Any) -> None:
        """Write an event, or count it as suppressed when it exceeds its rate limit."""
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
