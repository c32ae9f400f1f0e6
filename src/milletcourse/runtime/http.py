"""The HTTP client interface that all outgoing traffic uses.

Two implementations exist: `aiohttp_client` over TCP and `memory_network` in the simulator. The
errors make a distinction that at-most-once writes depend on: `BackendUnreachable` means that no
byte was sent, `BackendLost` means that bytes may have been sent.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

JSON_CONTENT_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One outgoing request.

    Attributes:
        method: Upper-case HTTP method.
        address: `host:port` of the server.
        path: Path with query string.
        body: Whole body; empty for none.
        headers: Header fields.
        is_dedicated: Sent on a connection that carries nothing else. The transport then never sends
            it twice, and no late answer to another request passes for its own.
    """

    method: str
    address: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)
    is_dedicated: bool = False


class HttpResponse(Protocol):
    """A response whose body is read at once or in chunks."""

    status: int
    headers: Mapping[str, str]

    async def read(self) -> bytes:
        """The whole body.

        Raises:
            FailureError: `BackendLost` when the connection fails before the end.
        """

    def chunks(self) -> AsyncIterator[bytes]:
        """Body chunks as they arrive; raises like `read`."""

    def abort(self) -> None:
        """Make a pending read fail with `BackendLost`."""

    async def close(self) -> None:
        """Discard the response; the server sees a disconnect when it is still sending."""


class HttpClient(Protocol):
    """Sends requests."""

    async def send(self, request: HttpRequest, timeout_seconds: float) -> HttpResponse:
        """Send a request and wait for the response's head.

        Args:
            request: What to send.
            timeout_seconds: Bound on the time until the head has arrived.

        Raises:
            FailureError: `BackendUnreachable` or `BackendLost`.
        """


async def send_for_body(
    client: HttpClient, request: HttpRequest, timeout_seconds: float
) -> tuple[int, bytes]:
    """Send a request and read the whole answer: (status, body)."""
    response = await client.send(request, timeout_seconds)
    try:
        return response.status, await response.read()
    finally:
        await response.close()


def json_request(
    method: str,
    address: str,
    path: str,
    document: object = None,
    headers: Mapping[str, str] | None = None,
    is_dedicated: bool = False,
) -> HttpRequest:
    """Build a request with a JSON body."""
    body = b"" if document is None else msgspec.json.encode(document)
    fields = {"Content-Type": JSON_CONTENT_TYPE, **(headers or {})}
    return HttpRequest(method, address, path, body, fields, is_dedicated)
