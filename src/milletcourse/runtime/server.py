"""Serves an ASGI application over TCP with uvicorn."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from typing import Any, cast

import uvicorn

from milletcourse.runtime.bounded_http import BoundedHttpProtocol
from milletcourse.runtime.listeners import drain_and_close
from milletcourse.runtime.turn_scheduler import PARSER_WORK_PER_ITERATION, TurnScheduler

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
AsgiApplication = Callable[..., Awaitable[None]]
"""An ASGI callable; loosely typed since each framework has its own type for the scope."""

LISTEN_BACKLOG = 2048
READY_POLL_SECONDS = 0.005
ACCEPTED_GRACE_SECONDS = 0.25
"""Time for the request of a new connection to arrive, which takes one round trip."""


class _QuietServer(uvicorn.Server):
    """uvicorn without its signal handlers: the process handles signals itself."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """One listening socket with its application."""

    def __init__(self, application: AsgiApplication, host: str, port: int) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self._socket.listen(LISTEN_BACKLOG)
        bound_host, bound_port = self._socket.getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"
        new_protocol = functools.partial(
            BoundedHttpProtocol, turns=TurnScheduler(PARSER_WORK_PER_ITERATION)
        )
        self._server = _QuietServer(
            uvicorn.Config(
                application,
                # uvicorn only calls it.
                http=cast(type[asyncio.Protocol], new_protocol),
                lifespan="off",
                log_config=None,
                access_log=False,
                server_header=False,
                timeout_keep_alive=30,
            )
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start accepting connections."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started:
            await asyncio.sleep(READY_POLL_SECONDS)

    async def stop(self) -> None:
        """Stop accepting, finish the requests of accepted connections, then return.

        A connection accepted just before the stop may not have sent its request yet, and uvicorn
        closes idle connections when it exits, so `ACCEPTED_GRACE_SECONDS` pass in between.
        """
        for server in self._server.servers:
            await drain_and_close(server)
        await asyncio.sleep(ACCEPTED_GRACE_SECONDS)
        self._server.should_exit = True
        if self._task is not None:
            await self._task
