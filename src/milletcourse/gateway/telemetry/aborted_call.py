"""A call to another machine whose answer began, and did not become whole."""

from __future__ import annotations

import msgspec


class AbortedCall(msgspec.Struct, frozen=True):
    """What is told of it.

    Attributes:
        address: `host:port` of the callee.
        target: Path and query.
        received_bytes: What had come of the answer's body.
        seconds: How long the call had been under way.
    """

    address: str
    target: str
    received_bytes: int
    seconds: float
