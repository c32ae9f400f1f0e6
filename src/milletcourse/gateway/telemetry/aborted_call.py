"""Record of a call to another machine that was aborted after its answer had started."""

from __future__ import annotations

import msgspec


class AbortedCall(msgspec.Struct, frozen=True):
    """A call whose answer started and was not completed.

    Attributes:
        address: `host:port` of the callee.
        target: Path and query.
        received_bytes: Bytes of the answer's body received until then.
        seconds: Time from the start of the call until it was aborted.
    """

    address: str
    target: str
    received_bytes: int
    seconds: float
