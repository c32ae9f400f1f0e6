"""`POST /internal/v1/message`: messages from other routers."""

from __future__ import annotations

import falcon.asgi

from milletcourse.peers import WIRE_CONTENT_TYPE, PeerServer


class InternalResource:
    """Passes envelopes to the peer server."""

    def __init__(self, server: PeerServer) -> None:
        self._server = server

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Answer one message."""
        answer = await self._server.handle(await request.stream.read())
        response.content_type = WIRE_CONTENT_TYPE
        response.data = answer
