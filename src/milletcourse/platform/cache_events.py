"""Asks a store of kept prompt state for a sign of life: for events that are still to come."""

from __future__ import annotations

from milletcourse.exchange.messages import HeaderField
from milletcourse.gateway.call_client import Call

_EVENTS_PATH = "/milletcourse/kv-events"
_AFTER_ALL = 2**53 - 1
"""A position that no event has reached: the answer holds none, whatever the store has done."""


class PlatformCacheEvents:
    """Implements `CacheStoreDialect`."""

    def sign_of_life_call(self, wait_seconds: float) -> Call:
        """See `CacheStoreDialect`."""
        wait = HeaderField(b"Wait-Ms", b"%d" % int(wait_seconds * 1000))
        return Call("GET", f"{_EVENTS_PATH}?Since={_AFTER_ALL}", fields=(wait,))
