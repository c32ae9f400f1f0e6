"""KV store stand-in: exported blocks by chain hash, bounded, with LRU eviction."""

from __future__ import annotations

from collections import OrderedDict

import falcon.asgi

from milletcourse.backends.engine_messages import KvBlock, KvBlocks, KvKeys
from milletcourse.edge.asgi import (
    RequestGuard,
    decode_json,
    new_application,
    respond_json,
)
from milletcourse.errors import BackendUnreachable, FailureError
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.server import AsgiApplication

DEFAULT_CAPACITY_BLOCKS = 20_000


class KvStoreCore:
    """Blocks by hash with LRU eviction, without input/output."""

    def __init__(self, capacity_blocks: int = DEFAULT_CAPACITY_BLOCKS) -> None:
        self.capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[str, KvBlock] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def store(self, blocks: tuple[KvBlock, ...]) -> int:
        """Store blocks and return the number of new ones."""
        new = sum(1 for block in blocks if block.block not in self._blocks)
        for block in blocks:
            self._blocks[block.block] = block
            self._blocks.move_to_end(block.block)
        while len(self._blocks) > self.capacity_blocks:
            self._blocks.popitem(last=False)
        return new

    def fetch(self, keys: tuple[str, ...]) -> list[KvBlock]:
        """Return the requested blocks up to the first one that is not stored."""
        found = []
        for key in keys:
            block = self._blocks.get(key)
            if block is None:
                break
            self._blocks.move_to_end(key)
            found.append(block)
        return found


class KvStoreApp:
    """HTTP application of the KV store."""

    def __init__(self, core: KvStoreCore, clock: Clock) -> None:
        self.core = core
        self.clock = clock
        self.down = False
        application = new_application()
        application.add_route("/v1/blocks", self)
        application.add_route("/v1/blocks/fetch", self, suffix="fetch")
        application.add_route("/livez", self, suffix="live")
        self.application: AsgiApplication = RequestGuard(application)

    def _require_available(self) -> None:
        if self.down:
            raise FailureError(BackendUnreachable("the KV store is unavailable"))

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Store blocks."""
        self._require_available()
        blocks = decode_json(await request.stream.read(), KvBlocks)
        respond_json(response, {"new": self.core.store(blocks.blocks)})

    async def on_post_fetch(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Return the requested blocks up to the first one that is not stored."""
        self._require_available()
        keys = decode_json(await request.stream.read(), KvKeys)
        respond_json(response, KvBlocks(tuple(self.core.fetch(keys.blocks))))

    async def on_get_live(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Respond to a liveness probe."""
        respond_json(response, {"live": True})
