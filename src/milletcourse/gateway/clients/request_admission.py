"""Decides which requests of a client connection are taken, as early as that can be known."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from milletcourse.errors import Failure, GatewayExhausted
from milletcourse.exchange.limits.client_memory import ClientMemory, MemoryShare
from milletcourse.exchange.messages.records import EdgeLimits
from milletcourse.gateway.clients.request_reader import ClientRequest
from milletcourse.runtime.clock import elapsed_seconds

HeadCheck = Callable[[ClientRequest], Failure | None]
"""Returns why a request cannot be served, judged by its head; None if it may be."""


def accept_any(_: ClientRequest) -> Failure | None:
    """Check nothing before a request is complete."""
    return None


class AdmissionState(Protocol):
    """State of the gateway by which requests are admitted."""

    def limits(self) -> EdgeLimits:
        """Limits in force."""

    def retry_after(self) -> float:
        """Seconds after which a refused client may retry."""

    @property
    def client_memory(self) -> ClientMemory:
        """Memory that all connections hold for requests."""


class RequestAdmission:
    """Admits the requests of one connection within the limits and the memory of the gateway."""

    def __init__(self, edge: AdmissionState, share: MemoryShare, check_head: HeadCheck) -> None:
        """Admit nothing yet.

        Args:
            edge: State of the gateway.
            share: Memory of the connection.
            check_head: Checks requests whose large bodies have not been received.
        """
        self._edge = edge
        self._share = share
        self._check_head = check_head

    def limits(self) -> EdgeLimits:
        """Limits in force."""
        return self._edge.limits()

    def max_body_bytes(self) -> int:
        """Size of the largest body that can be taken."""
        return min(self._edge.limits().max_body_bytes, self._edge.client_memory.max_body_bytes)

    def check_large_body(self, head: ClientRequest, size: int) -> Failure | None:
        """Why a request with a large body cannot be served, None if it may be.

        Args:
            head: The request without its body.
            size: Size of the body in bytes as far as it is known.
        """
        failure = self._check_head(head)
        if failure is not None or self._share.try_receive(size, elapsed_seconds()):
            return failure
        return self.out_of_memory()

    def admit(self, request: ClientRequest) -> None:
        """Admit a complete request, or note in it why it is refused and drop its body."""
        if self._share.try_serve(request.memory_bytes):
            return
        request.failure = self.out_of_memory()
        request.body = b""
        request.memory_bytes = 0

    def out_of_memory(self) -> Failure:
        """The memory doesn't suffice for the body of a request."""
        return self.exhausted("this gateway has no memory for the body of the request")

    def exhausted(self, detail: str) -> Failure:
        """The gateway lacks the resources for a request, which the client may send again."""
        return GatewayExhausted(detail, self._edge.retry_after())
