"""Client of application servers; the only module that implements their protocol."""

from __future__ import annotations

from dataclasses import dataclass

from milletcourse.errors import FailureError
from milletcourse.runtime.http import HttpClient, HttpRequest, HttpResponse

KEY_HEADER = "Idempotency-Key"


@dataclass(frozen=True, slots=True)
class AppAnswer:
    """Response of an application."""

    status: int
    content_type: str
    body: bytes


class AppClient:
    """Calls application servers."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read(self, address: str, path: str, timeout_seconds: float) -> AppAnswer:
        """Send a read, which may be retried, on a dedicated connection.

        Answers of applications name no request: on a shared connection a late answer to another
        request would pass for the one to this.

        Raises:
            FailureError: `BackendUnreachable` or `BackendLost`.
        """
        request = HttpRequest("GET", address, path, is_dedicated=True)
        return await self._answer(request, timeout_seconds)

    async def write(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        content_type: str,
        key: str,
        timeout_seconds: float,
    ) -> AppAnswer:
        """Send a write exactly once, on a dedicated connection.

        Raises:
            FailureError: `BackendUnreachable` when no byte was sent, `BackendLost` otherwise.
        """
        headers = {"Content-Type": content_type, KEY_HEADER: key}
        request = HttpRequest(method, address, path, body, headers, is_dedicated=True)
        return await self._answer(request, timeout_seconds)

    async def read_operation(
        self, address: str, key: str, timeout_seconds: float
    ) -> AppAnswer | None:
        """Outcome of an operation; None if the application does not report one."""
        try:
            answer = await self.read(address, f"/operations/{key}", timeout_seconds)
        except FailureError:
            return None
        return answer if answer.status == 200 else None

    async def _answer(self, request: HttpRequest, timeout_seconds: float) -> AppAnswer:
        response: HttpResponse = await self._client.send(request, timeout_seconds)
        try:
            body = await response.read()
            return AppAnswer(
                response.status,
                response.headers.get("Content-Type", "application/octet-stream"),
                body,
            )
        finally:
            await response.close()
