"""Reads the log lines of gateways, which may have a prefix such as a time or host name."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec


class SkippedLines(msgspec.Struct):
    """Lines that could not be used.

    Attributes:
        foreign: Lines without a JSON object: from another program, or truncated before it.
        broken: Lines whose JSON is truncated, or not an object with an event name.
        unknown: Lines of a gateway without the fields that this version writes.
    """

    foreign: int = 0
    broken: int = 0
    unknown: int = 0


def read_documents(
    lines: Iterable[str], skipped: SkippedLines | None = None
) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects of the lines; other lines are counted and skipped."""
    skipped = skipped if skipped is not None else SkippedLines()
    for line in lines:
        start = line.find("{")
        if start < 0:
            skipped.foreign += bool(line.strip())
            continue
        try:
            document = json.loads(line[start:])
        except ValueError:
            skipped.broken += 1
            continue
        if isinstance(document, dict) and "event" in document:
            yield document
        else:
            skipped.broken += 1
