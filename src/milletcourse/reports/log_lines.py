"""Reads gateways' log lines, which may stand behind other text on their lines."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec


class SkippedLines(msgspec.Struct):
    """Lines that could not be used.

    Attributes:
        foreign: Without a JSON object: another program's, or cut before it begins.
        broken: With a JSON object that is cut or no object.
        unknown: Of ours, but without the fields that this version writes.
    """

    foreign: int = 0
    broken: int = 0
    unknown: int = 0


def read_documents(
    lines: Iterable[str], skipped: SkippedLines | None = None
) -> Iterator[dict[str, Any]]:
    """The JSON objects on the lines; others are counted and passed over."""
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
