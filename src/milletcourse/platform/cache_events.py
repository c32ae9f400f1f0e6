"""Asks a store of kept prompt state for a sign of life: the newest of its events."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages import HeaderField
from milletcourse.gateway.call_client import Call, Reply

_EVENTS_PATH = "/milletcourse/kv-events"


class _Page(msgspec.Struct, frozen=True, rename="pascal"):
    next_token: int


class PlatformCacheEvents:
    """Implements `CacheStoreDialect`."""

    def sign_of_life_call(self, position: int, wait_seconds: float) -> Call:
        """See `CacheStoreDialect`."""
        wait = HeaderField(b"Wait-Ms", b"%d" % int(wait_seconds * 1000))
        return Call("GET", f"{_EVENTS_PATH}?Since={position}", fields=(wait,))

    def read_position(self, reply: Reply) -> int | None:
        """See `CacheStoreDialect`."""
        try:
            return msgspec.json.decode(reply.body, type=_Page).next_token
        except msgspec.MsgspecError:
            return None
