"""Counts the end of an attempt for or against its server, but not what the path to it caused."""

from __future__ import annotations

from milletcourse.exchange.messages.answer_end import LossCause
from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.exchange.servers.instance_table import Instance
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
        counts: bool,
    ) -> None:
        """Count the result of an attempt.

        Args:
            result: How it ended.
            loss: Why its connection delivered no complete answer, None if it did.
            counts: Whether a result without an answer tells something about the server.
        """
        if result is AttemptResult.ANSWERED:
            self._note(result)
            return
        if counts and loss is not LossCause.ABORTED and loss not in CLOSED_BY_SERVER:
            self._note(result)
            return
        # A closed connection counts when the exchange has checked why the server closed it.
        self._instance.health.on_aborted()
        if counts and loss is LossCause.ABORTED:
            self.on_silence()

    def on_misdirected(
        self, result: AttemptResult, instance: str, model: str, weight_version: int | None
    ) -> None:
        """Record what a server tells that didn't run the request.

        Args:
            result: `WRONG_INSTANCE` or `WRONG_VERSION`.
            instance: Incarnation that answered; empty when not given.
            model: Model of the request.
            weight_version: Version of the weights that it required, None if none.
        """
        if result is AttemptResult.WRONG_INSTANCE and instance not in ("", self._instance.name):
            self._context.server_states.note_successor(self._instance, instance)
        elif result is AttemptResult.WRONG_VERSION and weight_version is not None:
            newest = self._context.gate.newest(model)
            now = self._context.now()
            self._instance.on_version_refused(model, weight_version, newest, now)

    def on_silence(self) -> None:
        """Count the server's silence against it, once the path to it has been checked."""
        if self.through:
            self._note(AttemptResult.LOST)
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
        if not self.through and not self._has_lost_path():
            self._note(result)

    def _note(self, result: AttemptResult) -> None:
        """Update the server's health; only gateways that reach it report its failures."""
        is_reported = not self.through and not self._has_lost_path()
        self._context.server_states.note_result(self._instance, result, is_reported)

    def _has_lost_path(self) -> bool:
        return self._context.paths.is_lost(self._instance.record.address)
