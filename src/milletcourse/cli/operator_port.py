"""Calls to a gateway's operator port."""

from __future__ import annotations

from typing import Annotated

import typer

from milletcourse.errors import BackendRefused, FailureError
from milletcourse.runtime.aiohttp_client import AiohttpClient
from milletcourse.runtime.http import json_request, send_for_body

CALL_TIMEOUT_SECONDS = 10.0

GatewayOption = Annotated[
    str,
    typer.Option(
        "--gateway", envvar="MILLETCOURSE_GATEWAY", help="host:port of any gateway's operator port."
    ),
]


async def call_gateway(method: str, gateway: str, path: str, expected_status: int) -> bytes:
    """Call a gateway's operator port and return the response body.

    Args:
        method: HTTP method.
        gateway: `host:port` of the operator port.
        path: Path of the request.
        expected_status: Status of a successful response.

    Raises:
        FailureError: `BackendRefused` for another status, or any failure raised by the client.
    """
    client = AiohttpClient()
    try:
        request = json_request(method, gateway, path)
        status, body = await send_for_body(client, request, CALL_TIMEOUT_SECONDS)
    finally:
        await client.close()
    if status != expected_status:
        detail = body.decode(errors="replace")[:200]
        raise FailureError(BackendRefused(detail, None, status))
    return body
