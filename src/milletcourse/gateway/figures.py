"""The interface of a gateway's figures, and the one that keeps none."""

from __future__ import annotations

from typing import Protocol

from milletcourse.exchange.messages import AttemptResult


class Figures(Protocol):
    """Takes what is counted."""

    def on_end(self, outcome: str) -> None:
        """A request has its final outcome."""

    def on_attempt(self, result: AttemptResult) -> None:
        """An attempt ended."""

    def on_first_answer(self, seconds: float) -> None:
        """The first byte of an answer went to a client."""

    def on_ejection(self) -> None:
        """A server was ejected."""

    def on_order(self, reply: str) -> None:
        """A server replied to an order, or did not."""

    def on_store_failure(self) -> None:
        """A call to the object store gave nothing."""


class NoFigures:
    """Counts nothing: for gateways without a metrics port, which then import less."""

    def on_end(self, outcome: str) -> None:
        """See `Figures`."""

    def on_attempt(self, result: AttemptResult) -> None:
        """See `Figures`."""

    def on_first_answer(self, seconds: float) -> None:
        """See `Figures`."""

    def on_ejection(self) -> None:
        """See `Figures`."""

    def on_order(self, reply: str) -> None:
        """See `Figures`."""

    def on_store_failure(self) -> None:
        """See `Figures`."""
