"""Load of one request on its server, by what the server has got of it; no input/output.

A request counts at its own gateway from the moment its server is chosen, so that the next choice
takes it into account. The other gateways are told of it only while the server has it: a request
that hangs on the way takes nothing from the server, and must not make it look busy.
"""

from __future__ import annotations

from milletcourse.exchange.servers.instance_table import Instance


class RequestLoad:
    """Adds one request to the load of its server, and removes it step by step."""

    def __init__(self, instance: Instance, prompt_tokens: int, memory_tokens: int) -> None:
        """Add the request, which the server has not got yet.

        Args:
            instance: The server.
            prompt_tokens: Tokens that the server has to prefill.
            memory_tokens: Memory that the request uses while it runs, in tokens.
        """
        self._instance = instance
        self._waiting_tokens = prompt_tokens
        self._memory_tokens = memory_tokens
        self._is_undelivered = False
        instance.in_flight += 1
        instance.in_flight_tokens += prompt_tokens
        instance.memory_tokens += memory_tokens
        self.on_undelivered()

    def on_undelivered(self) -> None:
        """The server has not got the request, or not as far as this gateway knows."""
        if not self._is_undelivered:
            self._is_undelivered = True
            self._count_undelivered(1)

    def on_delivered(self) -> None:
        """The server has got the request."""
        if self._is_undelivered:
            self._is_undelivered = False
            self._count_undelivered(-1)

    def on_prompt_read(self) -> None:
        """The prompt doesn't wait any more: its answer has started, or the attempt is over."""
        self.on_delivered()
        self._instance.in_flight_tokens -= self._waiting_tokens
        self._waiting_tokens = 0

    def close(self) -> None:
        """Remove the request: the attempt is over."""
        self.on_prompt_read()
        self._instance.in_flight -= 1
        self._instance.memory_tokens -= self._memory_tokens

    def _count_undelivered(self, sign: int) -> None:
        undelivered = self._instance.undelivered
        undelivered.requests += sign
        undelivered.tokens += sign * self._waiting_tokens
        undelivered.memory_tokens += sign * self._memory_tokens
