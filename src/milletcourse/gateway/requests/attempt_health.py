"""Counts the end of an attempt for or against its server, but not what the path to it caused."""

from __future__ import annotations

from milletcourse.exchange.messages.messages import AbortCause, AttemptResult
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.servers.server_connection import LossCause
from milletcourse.gateway.state.context import GatewayContext

CLOSED_BY_SERVER = (LossCause.RESET, LossCause.CLOSED)
"""Losses that may mean that the server's process has terminated."""


class AttemptHealth:
    """Updates the health of one attempt's server.

    Attributes:
        through: Name of the gateway that relays the connection; empty for a direct one.
    """

    def __init__(self, context: GatewayContext, instance: Instance) -> None:
        self.through = ""
        self._context = context
        self._instance = instance

    def on_end(
        self,
        result: AttemptResult,
        loss: LossCause | None,
        abort_cause: AbortCause | None,
        counts: bool,
    ) -> None:
        """Count the result of an attempt.

        Args:
            result: How it ended.
            loss: Why its connection delivered no complete answer, None if it did.
            abort_cause: Why this gateway aborted it, None if it did not.
            counts: Whether a result without an answer tells something about the server.
        """
        if loss in CLOSED_BY_SERVER:
            # Counts when it is known whether the path or the server was at fault.
            self._instance.health.on_aborted()
        elif abort_cause is AbortCause.SERVER_SILENT:
            self._instance.health.on_aborted()
            self.on_silence()
        elif abort_cause is AbortCause.HANDED_OVER:
            # The silence of the server has already been recorded in its health.
            self._instance.health.on_aborted()
        elif result is AttemptResult.ANSWERED or counts:
            self._context.note_result(self._instance, result)
        else:
            self._instance.health.on_aborted()

    def on_silence(self) -> None:
        """Count the server's silence against it, once the path to it has been checked."""
        if self.through:
            self._context.note_result(self._instance, AttemptResult.LOST)
            return
        record = self._instance.record
        check = self._context.server_links.check(record.address, record.zone)
        check.add_done_callback(lambda _: self.on_path_checked(AttemptResult.LOST))

    def on_path_checked(self, result: AttemptResult) -> None:
        """Count a closed or silent connection against the server, if the path to it works.

        Args:
            result: How the attempt ended.
        """
        # The gateway that relayed a connection may have closed it.
        if not self.through and not self._context.paths.is_lost(self._instance.record.address):
            self._context.note_result(self._instance, result)
