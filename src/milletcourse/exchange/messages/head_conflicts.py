"""Finds heads of answers whose parts contradict each other; no input/output.

When a server breaks off an answer within its head and goes on with the next answer, the two parse
as one head: the status line of the second one is then a part of the first one's reason phrase or of
one of its fields.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from milletcourse.exchange.messages.messages import HeaderField

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def has_conflicts(reason: bytes, fields: Iterable[HeaderField], single: frozenset[bytes]) -> bool:
    """Whether a head consists of parts of two answers, or states one thing twice differently.

    Args:
        reason: Reason phrase.
        fields: Header fields.
        single: Lower-case names of fields that may have one value only.
    """
    if _STATUS_LINE.search(reason):
        return True
    values: dict[bytes, bytes] = {}
    for field in fields:
        if _STATUS_LINE.search(field.value):
            return True
        name = field.name.lower()
        if name in single and values.setdefault(name, field.value) != field.value:
            return True
    return False
