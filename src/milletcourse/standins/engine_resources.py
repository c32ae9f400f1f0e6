"""Falcon resources of the engine stand-in."""

from __future__ import annotations

import falcon.asgi

from milletcourse.backends.engine_messages import (
    INCARNATION_HEADER,
    EngineCompletion,
    EngineFeed,
    EngineOrder,
    KvExport,
    KvImport,
    KvKeys,
)
from milletcourse.edge.asgi import RequestGuard, decode_json, new_application, respond_json
from milletcourse.errors import FailureError, NotFound
from milletcourse.prefix.blocks import BLOCK_TOKENS
from milletcourse.runtime.server import AsgiApplication
from milletcourse.standins.engine_app import EngineApp
from milletcourse.standins.engine_faults import EngineFaults


def engine_application(app: EngineApp) -> AsgiApplication:
    """Return the ASGI application of an engine."""
    transfers = _Transfers(app)
    feed = _Feed(app)
    streams = _Streams(app)
    application = new_application()
    application.add_route("/v1/completions", _Completions(app))
    application.add_route("/v1/streams/{request_id}", streams)
    application.add_route("/v1/streams/{request_id}/cancel", streams, suffix="cancel")
    application.add_route("/v1/feed", feed)
    application.add_route("/v1/orders", _Orders(app))
    application.add_route("/v1/kv/import", transfers, suffix="import")
    application.add_route("/v1/kv/export", transfers, suffix="export")
    application.add_route("/v1/blocks/fetch", transfers, suffix="fetch")
    application.add_route("/v1/blocks", transfers, suffix="blocks")
    application.add_route("/livez", feed, suffix="live")
    application.add_route("/standin/faults", feed, suffix="faults")
    application.add_route("/standin/stats", feed, suffix="stats")
    return RequestGuard(application)


class _Resource:
    def __init__(self, app: EngineApp) -> None:
        self._app = app


class _Completions(_Resource):
    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        completion = decode_json(await request.stream.read(), EngineCompletion)
        stream = self._app.accept(completion)
        response.set_header(INCARNATION_HEADER, self._app.core.incarnation)
        response.content_type = "text/event-stream"
        response.stream = self._app.read(stream, completion.generated_tokens)


class _Streams(_Resource):
    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, request_id: str
    ) -> None:
        stream = self._app.streams.get(request_id)
        attempt = request.get_param_as_int("attempt", default=0)
        offset = request.get_param_as_int("offset", default=0)
        if stream is None or stream.attempt != attempt or offset < stream.first_offset:
            raise FailureError(NotFound("no such stream"))
        response.set_header(INCARNATION_HEADER, self._app.core.incarnation)
        response.content_type = "text/event-stream"
        response.stream = self._app.read(stream, offset)

    async def on_post_cancel(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, request_id: str
    ) -> None:
        self._app.cancel(request_id)
        respond_json(response, {"cancelled": True})


class _Feed(_Resource):
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        after = request.get_param_as_int("after", default=1)
        document = EngineFeed(self._app.reported_load(), self._app.visible_events(after))
        respond_json(response, document)

    async def on_get_live(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        respond_json(response, {"live": True, "incarnation": self._app.core.incarnation})

    async def on_put_faults(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self._app.faults = decode_json(await request.stream.read(), EngineFaults)
        respond_json(response, self._app.faults)

    async def on_get_stats(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        counters = self._app.core.counters
        respond_json(
            response,
            {
                "prompt_tokens": counters.prompt_tokens,
                "computed_tokens": counters.computed_tokens,
                "cached_tokens": counters.cached_tokens,
                "finished": counters.finished,
                "cancelled": counters.cancelled,
                "running": len(self._app.core.requests),
                "block_tokens": BLOCK_TOKENS,
            },
        )


class _Orders(_Resource):
    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        order = decode_json(await request.stream.read(), EngineOrder)
        await self._app.execute_order(order)
        respond_json(response, {"models": self._app.core.loaded})


class _Transfers(_Resource):
    async def on_post_import(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        order = decode_json(await request.stream.read(), KvImport)
        chain = tuple(bytes.fromhex(block) for block in order.blocks)
        respond_json(response, {"imported": await self._app.import_blocks(order.source, chain)})

    async def on_post_export(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        order = decode_json(await request.stream.read(), KvExport)
        respond_json(response, {"exported": await self._app.export_blocks(order)})

    async def on_post_fetch(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        keys = decode_json(await request.stream.read(), KvKeys)
        respond_json(response, self._app.cached_blocks(keys.blocks))

    async def on_get_blocks(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        blocks = tuple(block.hex() for block in self._app.core.pool.blocks())
        respond_json(response, KvKeys(blocks))
