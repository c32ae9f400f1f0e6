"""Writes a typed failure as the final answer of a request."""

from __future__ import annotations

from milletcourse.edge.problems import PROBLEM_CONTENT_TYPE, problem_body
from milletcourse.errors import Failure
from milletcourse.exchange.messages.messages import HeaderField
from milletcourse.gateway.clients.client_connection import ClientConnection


def refuse(client: ClientConnection, failure: Failure) -> None:
    """Answer with a problem document, and with Retry-After if the failure has one."""
    fields = [HeaderField(b"Content-Type", PROBLEM_CONTENT_TYPE.encode())]
    if failure.retry_after_seconds is not None:
        value = f"{failure.retry_after_seconds:.2f}".encode()
        fields.append(HeaderField(b"Retry-After", value))
    client.send_whole(failure.http_status, b"", fields, problem_body(failure))
