"""Which requests the entry ledger reports as late after the store's acknowledgement."""

from __future__ import annotations

import pytest

from soak.entry_ledger import PROPAGATION_SECONDS, UNVERIFIED_SECONDS, EntryLedger
from soak.signal_ledger import Arrival

BOUND = 2.0


def _late(ledger: EntryLedger, sent_at: float, disturbed: bool = False) -> bool:
    arrival = Arrival("s-1@1700", "front-1", sent_at, sent_at)
    return bool(ledger.late([arrival], BOUND, lambda *_: disturbed))


def test_a_request_beyond_the_bound_is_late_unless_its_gateway_was_disturbed() -> None:
    """The bound starts at the acknowledgement."""
    ledger = EntryLedger()
    ledger.on_draining("s-1", 10.0, is_removed=False)
    assert not _late(ledger, 10.0 + BOUND)
    assert _late(ledger, 10.1 + BOUND)
    assert not _late(ledger, 10.1 + BOUND, disturbed=True)


@pytest.mark.parametrize("heard_for", [PROPAGATION_SECONDS - 0.1, PROPAGATION_SECONDS + 0.1])
def test_a_lost_mark_counts_from_its_rewrite_only_if_no_gateway_could_know_it(
    heard_for: float,
) -> None:
    """A gateway that already knew that the server drains must not use it again."""
    ledger = EntryLedger()
    ledger.on_draining("s-1", 10.0, is_removed=False)
    ledger.on_unavailable(10.0 + heard_for)
    ledger.on_restored(12.0)
    assert _late(ledger, 10.1 + BOUND) is (heard_for > PROPAGATION_SECONDS)
    assert _late(ledger, 12.1 + BOUND)


def test_an_entry_removed_just_after_a_restore_counts_as_removed_later() -> None:
    """It may have been lost in the restore; an entry that is marked as draining was not."""
    ledger = EntryLedger()
    ledger.on_unavailable(9.0)
    ledger.on_restored(10.0)
    ledger.on_draining("s-1", 10.1, is_removed=True)
    assert not _late(ledger, 10.0 + UNVERIFIED_SECONDS)
    assert _late(ledger, 10.1 + UNVERIFIED_SECONDS)
    said = EntryLedger()
    said.on_unavailable(9.0)
    said.on_restored(10.0)
    said.on_draining("s-1", 10.1, is_removed=False)
    assert _late(said, 10.2 + BOUND)
