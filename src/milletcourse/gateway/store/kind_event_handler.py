"""What a mirror of one kind of objects reports to the state that is built from these objects."""

from __future__ import annotations

from typing import Protocol

from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.gateway.store.object_store import ObjectChange, StoredObject


class KindEventHandler(Protocol):
    """Receives the lists and changes that a mirror reads."""

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """Handle the list of all objects, as of a call sent at this time."""

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """Handle the changes since the last list or changes; there may be none."""

    def on_caught_up(self) -> None:
        """Handle that the objects are known as they were after this gateway started; once.

        A first list may be older than that.
        """

    def on_unavailable(self) -> None:
        """Handle a failed call."""

    def on_new_era(self, position: StorePosition, before: StorePosition | None) -> None:
        """Handle a new era of the store; its objects follow as a list or as changes.

        Args:
            position: Position at which the store was found.
            before: Latest known position of the era that ended when the store was restored from an
                older snapshot; None for the first era.
        """

    def on_change_announced(
        self, effect: ConfigurationEffect | None, not_committed_at: float | None
    ) -> None:
        """Handle the announcement of a published change that hasn't arrived here yet.

        The change is pending until the next list or changes.

        Args:
            effect: What it changes for requests, None when that isn't known.
            not_committed_at: Monotonic time at which it wasn't committed yet; None when only the
                proofs of freshness bound that time.
        """

    def on_pending_proof(self, sent_at: float) -> None:
        """Handle a proof that only announced changes were missing when a call was sent."""


class NoOpEventHandler:
    """A `KindEventHandler` that ignores all events; subclasses override those that they need."""

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindEventHandler`."""

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindEventHandler`."""

    def on_caught_up(self) -> None:
        """See `KindEventHandler`."""

    def on_unavailable(self) -> None:
        """See `KindEventHandler`."""

    def on_new_era(self, position: StorePosition, before: StorePosition | None) -> None:
        """See `KindEventHandler`."""

    def on_change_announced(
        self, effect: ConfigurationEffect | None, not_committed_at: float | None
    ) -> None:
        """See `KindEventHandler`."""

    def on_pending_proof(self, sent_at: float) -> None:
        """See `KindEventHandler`."""
