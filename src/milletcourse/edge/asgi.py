"""Shared HTTP plumbing: request guard, problem rendering and JSON bodies."""

from __future__ import annotations

import asyncio
from collections.abc import MutableMapping
from typing import Any, TypeVar

import falcon.asgi
import msgspec

from milletcourse.edge.body_reader import BodyReader, ClientDisconnectedError
from milletcourse.edge.problems import PROBLEM_CONTENT_TYPE, problem_body, retry_after_header
from milletcourse.errors import (
    Failure,
    FailureError,
    HeadersTooLarge,
    InternalError,
    MalformedRequest,
    NotFound,
    RequestTimeout,
)
from milletcourse.exchange.limits.client_memory import ClientMemory
from milletcourse.logs import get_logger
from milletcourse.runtime.server import AsgiApplication, Receive, Scope, Send

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Fits a prompt of a million tokens; larger bodies are refused before they are parsed."""
MAX_HELD_BYTES = 96 * 1024 * 1024
"""Bodies of all requests that are being received or served."""
BODY_TIMEOUT_SECONDS = 20.0
MAX_JSON_DEPTH = 64
CLIENT_DISCONNECTED_SCOPE_KEY = "milletcourse.client_gone"

Message = MutableMapping[str, Any]
T = TypeVar("T")
_log = get_logger("edge")


class RequestGuard:
    """ASGI middleware that limits request size and cancels work when the client disconnects.

    The whole body is read before the application runs. If the client disconnects later, the
    application's task is cancelled, so that back-end work can be cancelled too.
    """

    def __init__(
        self,
        application: AsgiApplication,
        max_body_bytes: int = MAX_BODY_BYTES,
        body_timeout_seconds: float = BODY_TIMEOUT_SECONDS,
        max_held_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        self._application = application
        self._memory = ClientMemory(max_held_bytes)
        self._max_body_bytes = max_body_bytes
        self._body_timeout_seconds = body_timeout_seconds

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection scope."""
        if scope["type"] != "http":
            await self._application(scope, receive, send)
            return
        if sum(len(name) + len(value) for name, value in scope["headers"]) > MAX_HEADER_BYTES:
            await send_problem(send, HeadersTooLarge(f"over {MAX_HEADER_BYTES} bytes"))
            return
        reader = BodyReader(self._memory, self._max_body_bytes)
        try:
            async with asyncio.timeout(self._body_timeout_seconds):
                body = await reader.read(scope, receive)
        except TimeoutError:
            await send_problem(send, RequestTimeout("the request body did not arrive in time"))
        except FailureError as error:
            await send_problem(send, error.failure)
        except ClientDisconnectedError:
            return
        else:
            try:
                await self._run(scope, receive, send, body)
            finally:
                reader.release()

    async def _run(self, scope: Scope, receive: Receive, send: Send, body: bytes) -> None:
        disconnected = asyncio.Event()
        delivered = False

        async def receive_body() -> Message:
            nonlocal delivered
            if not delivered:
                delivered = True
                return {"type": "http.request", "body": body, "more_body": False}
            await disconnected.wait()
            return {"type": "http.disconnect"}

        async def wait_for_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass

        scope[CLIENT_DISCONNECTED_SCOPE_KEY] = disconnected
        application = asyncio.ensure_future(self._application(scope, receive_body, send))
        watcher = asyncio.ensure_future(wait_for_disconnect())
        try:
            await asyncio.wait({application, watcher}, return_when=asyncio.FIRST_COMPLETED)
            disconnected.set()
            if not application.done():
                application.cancel()
                await asyncio.wait({application})
            if not application.cancelled():
                application.result()
        finally:
            watcher.cancel()
            application.cancel()


async def send_problem(send: Send, failure: Failure) -> None:
    """Send a problem document without falcon."""
    headers = [(b"content-type", PROBLEM_CONTENT_TYPE.encode()), (b"connection", b"close")]
    retry_after = retry_after_header(failure)
    if retry_after is not None:
        headers.append((b"retry-after", retry_after.encode()))
    await send({"type": "http.response.start", "status": failure.http_status, "headers": headers})
    await send({"type": "http.response.body", "body": problem_body(failure)})


def render_failure(response: falcon.asgi.Response, failure: Failure) -> None:
    """Put a problem document into a falcon response."""
    response.status = failure.http_status
    response.content_type = PROBLEM_CONTENT_TYPE
    response.data = problem_body(failure)
    retry_after = retry_after_header(failure)
    if retry_after is not None:
        response.set_header("Retry-After", retry_after)


async def _on_failure(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: FailureError,
    params: dict[str, Any],
    **_: Any,
) -> None:
    render_failure(response, error.failure)


async def _on_http_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: falcon.HTTPError,
    params: dict[str, Any],
    **_: Any,
) -> None:
    failure: Failure = MalformedRequest(error.title or "bad request")
    if error.status_code in (404, 405):
        failure = NotFound(f"no {request.method} at this path")
    render_failure(response, failure)


async def _on_unexpected_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: Exception,
    params: dict[str, Any],
    **_: Any,
) -> None:
    _log.error("request failed", path=request.path, error=repr(error), exc_info=error)
    render_failure(response, InternalError("unexpected error while handling the request"))


def new_application() -> falcon.asgi.App:
    """A falcon application with this project's error handling."""
    application = falcon.asgi.App(cors_enable=False)
    application.add_error_handler(Exception, _on_unexpected_error)
    application.add_error_handler(falcon.HTTPError, _on_http_error)
    application.add_error_handler(FailureError, _on_failure)
    return application


def check_json_depth(body: bytes) -> None:
    """Reject JSON that is nested too deeply, before it is parsed.

    Raises:
        FailureError: `MalformedRequest`.
    """
    if body.count(b"[") + body.count(b"{") <= MAX_JSON_DEPTH:
        return
    depth = 0
    in_string = False
    escaped = False
    for byte in body:
        if in_string:
            if escaped:
                escaped = False
            elif byte == 0x5C:
                escaped = True
            elif byte == 0x22:
                in_string = False
        elif byte == 0x22:
            in_string = True
        elif byte in (0x5B, 0x7B):
            depth += 1
            if depth > MAX_JSON_DEPTH:
                raise FailureError(
                    MalformedRequest(f"JSON is nested deeper than {MAX_JSON_DEPTH} levels")
                )
        elif byte in (0x5D, 0x7D):
            depth -= 1


def decode_json(body: bytes, message_type: type[T]) -> T:
    """Decode and validate a JSON body.

    Raises:
        FailureError: `MalformedRequest` that names the invalid member.
    """
    check_json_depth(body)
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise FailureError(MalformedRequest(str(error)[:200])) from error


def respond_json(response: falcon.asgi.Response, document: object, status: int = 200) -> None:
    """Put a JSON document into a response."""
    response.status = status
    response.content_type = "application/json"
    response.data = msgspec.json.encode(document)
