"""What log lines say of a connection to a server and of what arrived on it."""

from __future__ import annotations

import msgspec


class ConnectionUse(msgspec.Struct, frozen=True):
    """One request on a connection.

    Attributes:
        connection: Number of the connection within this process.
        request: Ordinal number of the request on that connection.
        answer_seconds: Time from its send to the head of its answer, None when none came.
    """

    connection: int
    request: int
    answer_seconds: float | None


class SurplusData(msgspec.Struct, frozen=True):
    """Data from a server that doesn't name the pending request.

    Attributes:
        address: `host:port` of the server.
        connection: Number of the connection within this process.
        requests: Requests that the connection has carried, with the pending one.
        pending_id: Id of the pending request; empty when none was pending.
        request_id: Id that the answer carries; empty for none.
        status: Its HTTP status; 0 for data that was not parsed.
        not_executed: It says that the server did not execute a request.
        seconds_after_send: Time since the latest request was sent on the connection.
        is_taken: It was taken for the answer to the pending request.
    """

    address: str
    connection: int
    requests: int
    pending_id: str
    request_id: str
    status: int
    not_executed: bool
    seconds_after_send: float
    is_taken: bool
