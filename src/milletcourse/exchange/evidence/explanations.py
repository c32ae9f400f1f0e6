"""Whether the crashes under one feature are explained by another one; no input/output.

All features of the requests at a crashed server get the same crash as evidence. A harmless prompt
part that often comes together with one that crashes servers thus gets as many crashes.
"""

from __future__ import annotations

from collections.abc import Iterable

from milletcourse.exchange.evidence.crash_record import CrashRecord


def is_explained_by_repeats(record: CrashRecord, contents: Iterable[CrashRecord]) -> bool:
    """Whether all crashes under a prompt part are crashes under one repeated content.

    Args:
        record: The prompt part.
        contents: Contents under which servers crashed.
    """
    servers = record.crashes.keys()
    return any(servers <= content.crashes.keys() for content in contents)


def is_explained_by_parts(record: CrashRecord, others: Iterable[CrashRecord]) -> bool:
    """Whether other prompt parts explain the crashes under a part.

    A part that was never answered must have no other crash: nothing shows that it is harmless.

    Args:
        record: The part.
        others: Parts that were never answered.
    """
    known = list(others)
    remaining = [
        crash
        for server, crash in record.crashes.items()
        if not any(other.explains(server, crash) for other in known)
    ]
    return not record.are_conclusive(remaining) if record.was_answered else not remaining
