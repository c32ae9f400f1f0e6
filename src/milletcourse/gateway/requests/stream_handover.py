"""Offers a stream whose server is silent to another server, while the first one runs on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from milletcourse.exchange.attempts.handover import (
    MAX_OVERLAP_SECONDS,
    Handover,
    HandoverAction,
    HandoverSide,
    HandoverState,
)
from milletcourse.exchange.messages.messages import AbortCause, AttemptResult
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.requests.attempt import Attempt
from milletcourse.gateway.requests.server_attempt import ServerAttempt
from milletcourse.gateway.state.context import GatewayContext


class StreamHandover:
    """Applies the decisions of `Handover` for one request and listens to its attempts.

    Attributes:
        current: The attempt that answers the client, None before the first.
    """

    def __init__(
        self,
        context: GatewayContext,
        open_successor: Callable[[Instance], ServerAttempt | None],
        on_offer_failed: Callable[[ServerAttempt, AttemptResult], None],
    ) -> None:
        """Start without any attempt.

        Args:
            context: Shared state of the gateway.
            open_successor: Creates an attempt at another server than the given one that may
                continue the stream; returns None when there is none or no retry is left for it.
            on_offer_failed: Called when a successor ended and the first server still serves the
                stream.
        """
        self.current: ServerAttempt | None = None
        self._context = context
        self._open_successor = open_successor
        self._on_offer_failed = on_offer_failed
        self._core = Handover()
        self._successor: ServerAttempt | None = None
        self._overlap_timer: asyncio.TimerHandle | None = None

    # -- events of attempts ---------------------------------------------------------------------

    def on_silent(self) -> None:
        """The server of a started stream is silent: offer the stream to another server."""
        if self.current is None or self._successor is not None or not self._core.may_offer:
            return
        server_attempt = self._open_successor(self.current.instance)
        if server_attempt is None:
            return
        self._successor = server_attempt
        self._core.on_offer()
        server_attempt.task = asyncio.get_running_loop().create_task(server_attempt.attempt.run())
        server_attempt.task.add_done_callback(
            lambda task: self._on_successor_end(server_attempt, task)
        )

    def on_sent(self, attempt: Attempt) -> None:
        """The request was sent to a server. From now on both servers may work on it."""
        if self._successor is not None and self._successor.attempt is attempt:
            self._overlap_timer = self._context.loop.call_later(
                MAX_OVERLAP_SECONDS, self._on_overlap_over
            )

    def on_events(self, attempt: Attempt) -> None:
        """Complete events of the stream are about to be relayed."""
        if self._successor is None:
            return
        is_successor = self._successor.attempt is attempt
        side = HandoverSide.SUCCESSOR if is_successor else HandoverSide.FIRST
        self._apply_action(self._core.on_chunk(side), AbortCause.FIRST_CONTINUED)

    # -- calls of the exchange ------------------------------------------------------------------

    def take_over(self) -> ServerAttempt | None:
        """The current attempt has ended: return the successor's, None when there is none."""
        self._core.on_first_end()
        self._stop_timer()
        following, self._successor = self._successor, None
        if following is not None:
            # From now on a disconnect of the client ends this attempt.
            self.current = following
        return following

    def close(self) -> None:
        """The request is over: end the attempt at the other server."""
        self._core.on_request_end()
        if self._successor is not None:
            self._successor.attempt.end(AbortCause.FIRST_CONTINUED)
        else:
            self._release_request()

    def end(self, cause: AbortCause) -> None:
        """Abort all attempts."""
        for server_attempt in (self.current, self._successor):
            if server_attempt is not None:
                server_attempt.attempt.end(cause)

    # -- internals ------------------------------------------------------------------------------

    def _on_overlap_over(self) -> None:
        self._apply_action(self._core.on_overlap_timeout(), AbortCause.OVERLAP_TIMEOUT)

    def _apply_action(self, action: HandoverAction, cause: AbortCause) -> None:
        if action is HandoverAction.WAIT or self.current is None or self._successor is None:
            return
        self._stop_timer()
        if action is HandoverAction.CANCEL_FIRST:
            self.current.attempt.end(AbortCause.HANDED_OVER)
            return
        self._successor.attempt.end(cause)

    def _on_successor_end(
        self, server_attempt: ServerAttempt, task: asyncio.Task[AttemptResult]
    ) -> None:
        is_taken_over = self._successor is not server_attempt
        if task.cancelled() or is_taken_over or self._core.state is HandoverState.HANDED_OVER:
            # The exchange awaits this attempt, or is about to.
            return
        self._successor = None
        self._stop_timer()
        is_undecided = self._core.on_successor_end()
        error = task.exception()
        if error is not None:
            self._context.log.emit("handover-failed", error=repr(error))
        result = AttemptResult.TRUNCATED if error is not None else task.result()
        self._on_offer_failed(server_attempt, result)
        if self._core.state is HandoverState.FINISHED:
            self._release_request()
        elif is_undecided:
            # The successor did not continue the stream, and the first server has sent nothing
            # since. Only in this state is the stream offered again: the events of a server that
            # gets the offer after the answer is complete would be written into the client's next
            # answer.
            self.on_silent()

    def _release_request(self) -> None:
        """Drop the callbacks of a request that is over.

        The reference cycle would keep it, with its body, until a garbage collection.
        """
        self._open_successor = _open_none
        self._on_offer_failed = _ignore_failure

    def _stop_timer(self) -> None:
        if self._overlap_timer is not None:
            self._overlap_timer.cancel()
            self._overlap_timer = None


def _open_none(_: Instance) -> ServerAttempt | None:
    """There are no further attempts for a request that is over."""
    return None


def _ignore_failure(_: ServerAttempt, __: AttemptResult) -> None:
    """No attempt of a request that is over is left."""
