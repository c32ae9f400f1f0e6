"""Client of the administration API, shared by the operator commands."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, TypeVar

import msgspec
import typer

from milletcourse.errors import BackendRefused, FailureError, InvalidObject
from milletcourse.runtime.aiohttp_client import AiohttpClient
from milletcourse.runtime.http import json_request, send_for_body

ADMIN_TIMEOUT_SECONDS = 30.0
T = TypeVar("T")

RouterOption = Annotated[
    str, typer.Option("--router", envvar="MILLETCOURSE_ROUTER", help="host:port of any router.")
]
KeyOption = Annotated[
    str,
    typer.Option(
        "--key", envvar="MILLETCOURSE_OPERATOR_KEY", help="Bearer key of an operator tenant."
    ),
]


class Problem(msgspec.Struct):
    """A problem document of the API."""

    type: str = ""
    title: str = ""
    status: int = 0
    detail: str = ""
    run_state: str = "unknown"


class AdminClient:
    """Calls one router's administration API."""

    def __init__(self, router: str, key: str, client: AiohttpClient) -> None:
        self._router = router
        self._headers = {"Authorization": f"Bearer {key}"}
        self._client = client

    async def call(self, method: str, path: str, document: object = None) -> tuple[int, Any]:
        """Status and decoded body; raises FailureError if the router is unreachable."""
        request = json_request(method, self._router, path, document, self._headers)
        status, body = await send_for_body(self._client, request, ADMIN_TIMEOUT_SECONDS)
        return status, msgspec.json.decode(body)

    async def expect(self, method: str, path: str, document: object = None) -> Any:
        """Body of a successful response; raises FailureError for any other status."""
        status, body = await self.call(method, path, document)
        if status != 200:
            raise FailureError(refusal(status, body))
        return body


def refusal(status: int, body: Any) -> BackendRefused:
    """Convert an error response of the API to a typed failure."""
    problem = msgspec.convert(body, Problem)
    text = f"{problem.type.rpartition(':')[2]} run_state={problem.run_state} {problem.detail}"
    return BackendRefused(text, None, status)


def with_admin(router: str, key: str, work: Callable[[AdminClient], Awaitable[T]]) -> T:
    """Run a coroutine with a client of a router's administration API."""
    if not router:
        raise FailureError(InvalidObject("router", None, "router", "", "host:port of a router"))

    async def body() -> T:
        client = AiohttpClient()
        try:
            return await work(AdminClient(router, key, client))
        finally:
            await client.close()

    return asyncio.run(body())
