"""What the rig takes for a request that came too late after the store's word."""

from __future__ import annotations

import pytest

from soak.drain_ledger import PROPAGATION_SECONDS, UNVERIFIED_SECONDS, DrainLedger
from soak.signal_ledger import Arrival

BOUND = 2.0


def _late(ledger: DrainLedger, sent_at: float, disturbed: bool = False) -> bool:
    arrival = Arrival("s-1@1700", "front-1", sent_at, sent_at)
    return bool(ledger.late([arrival], BOUND, lambda *_: disturbed))


def test_a_request_beyond_the_bound_is_late_unless_its_gateway_was_disturbed() -> None:
    """Counted from the acknowledgement."""
    ledger = DrainLedger()
    ledger.on_draining("s-1", 10.0, is_removed=False)
    assert not _late(ledger, 10.0 + BOUND)
    assert _late(ledger, 10.1 + BOUND)
    assert not _late(ledger, 10.1 + BOUND, disturbed=True)


@pytest.mark.parametrize("heard_for", [PROPAGATION_SECONDS - 0.1, PROPAGATION_SECONDS + 0.1])
def test_what_the_store_lost_counts_from_the_writing_again_only_if_nobody_heard(
    heard_for: float,
) -> None:
    """A gateway that knew must not go back."""
    ledger = DrainLedger()
    ledger.on_draining("s-1", 10.0, is_removed=False)
    ledger.on_unavailable(10.0 + heard_for)
    ledger.on_restored(12.0)
    assert _late(ledger, 10.1 + BOUND) is (heard_for > PROPAGATION_SECONDS)
    assert _late(ledger, 12.1 + BOUND)


def test_an_entry_that_goes_just_after_a_return_counts_as_gone_a_while_later() -> None:
    """It may have lapsed while the store was away; one that says so in a word may not."""
    ledger = DrainLedger()
    ledger.on_unavailable(9.0)
    ledger.on_restored(10.0)
    ledger.on_draining("s-1", 10.1, is_removed=True)
    assert not _late(ledger, 10.0 + UNVERIFIED_SECONDS)
    assert _late(ledger, 10.1 + UNVERIFIED_SECONDS)
    said = DrainLedger()
    said.on_unavailable(9.0)
    said.on_restored(10.0)
    said.on_draining("s-1", 10.1, is_removed=False)
    assert _late(said, 10.2 + BOUND)
