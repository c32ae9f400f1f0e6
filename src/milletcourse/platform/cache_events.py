"""Probes of KV-cache stores: calls for their latest events."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.messages import HeaderField
from milletcourse.gateway.fleet.cache_store_probe import ProbeReply
from milletcourse.gateway.servers.call_client import Call, Reply
from milletcourse.runtime.decode_errors import DECODE_ERRORS
from milletcourse.runtime.json_members import decode_document

_EVENTS_PATH = "/milletcourse/kv-events"


class _Page(msgspec.Struct, frozen=True, rename="pascal"):
    next_token: int
    born: int = msgspec.field(name="born", default=0)


class PlatformCacheEvents:
    """Implements `CacheStoreDialect`."""

    def probe_call(self, position: int, wait_seconds: float) -> Call:
        """See `CacheStoreDialect`."""
        wait = HeaderField(b"Wait-Ms", b"%d" % int(wait_seconds * 1000))
        return Call("GET", f"{_EVENTS_PATH}?Since={position}", fields=(wait,))

    def read_probe_reply(self, reply: Reply) -> ProbeReply | None:
        """See `CacheStoreDialect`."""
        try:
            page = decode_document(reply.body, _Page)
        except DECODE_ERRORS:
            return None
        return ProbeReply(page.next_token, max(page.born, 0))
