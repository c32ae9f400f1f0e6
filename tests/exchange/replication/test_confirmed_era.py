"""Which eras of the store are confirmed, and for what reason."""

from __future__ import annotations

import pytest

from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.exchange.replication.confirmed_era import (
    FIRST_ERA,
    OPERATOR_REWRITE_SECONDS,
    ConfirmedEra,
    EraEvidence,
)

OBSERVED_AT = 100.0


class ConfirmationLog:
    """Records confirmed eras and the reasons."""

    def __init__(self) -> None:
        self.confirmations: list[tuple[int, EraEvidence]] = []

    def __call__(self, era: int, evidence: EraEvidence) -> None:
        self.confirmations.append((era, evidence))


def _restored(
    ended_at: StorePosition | None = StorePosition(1, 20),
) -> tuple[ConfirmedEra, ConfirmationLog]:
    """A store that was known up to (1, 20), and is observed at (2, 15) after a restore."""
    log = ConfirmationLog()
    eras = ConfirmedEra(log)
    eras.on_era(StorePosition(2, 15), ended_at, OBSERVED_AT)
    return eras, log


@pytest.mark.parametrize("era", [UNKNOWN_ERA, FIRST_ERA])
def test_a_store_that_was_never_restored_is_trusted_at_once(era: int) -> None:
    """Nothing can be lost, and no confirmation is reported."""
    log = ConfirmationLog()
    eras = ConfirmedEra(log)
    eras.on_era(StorePosition(era, 15), None, OBSERVED_AT)
    assert eras.confirms(OBSERVED_AT) and not log.confirmations


@pytest.mark.parametrize("ended_at", [None, StorePosition(1, 20)])
def test_a_restored_store_is_unconfirmed_until_the_operator_had_time_to_write(
    ended_at: StorePosition | None,
) -> None:
    """At a process that ran during the restore, and at one that has just started."""
    eras, log = _restored(ended_at)
    assert not eras.confirms(OBSERVED_AT + OPERATOR_REWRITE_SECONDS - 0.01)
    assert eras.confirms(OBSERVED_AT + OPERATOR_REWRITE_SECONDS)
    assert log.confirmations == [(2, EraEvidence.TIME)]


def test_a_configuration_that_is_written_after_the_restore_was_observed_confirms_it() -> None:
    """The operator always writes the newest configuration in full."""
    eras, log = _restored()
    eras.on_configuration(StorePosition(2, 10), StorePosition(1, 10))
    assert not eras.confirms(OBSERVED_AT)
    eras.on_configuration(StorePosition(2, 16), StorePosition(2, 10))
    assert eras.confirms(OBSERVED_AT) and log.confirmations == [(2, EraEvidence.WRITTEN)]


@pytest.mark.parametrize(
    ("revision", "known", "is_rewritten"),
    [
        (12, StorePosition(1, 10), True),
        (10, StorePosition(1, 10), False),
        (8, StorePosition(1, 10), False),
        (12, None, False),
        (12, StorePosition(0, 10), False),
    ],
)
def test_a_change_at_a_revision_that_had_none_before_the_restore_was_written_after_it(
    revision: int, known: StorePosition | None, is_rewritten: bool
) -> None:
    """The operator may write before any gateway polls; an older change may be from the snapshot."""
    eras, _ = _restored()
    eras.on_configuration(StorePosition(2, revision), known)
    assert eras.confirms(OBSERVED_AT) is is_rewritten


def test_a_change_beyond_what_was_known_before_the_restore_proves_nothing() -> None:
    """It may be a change in the snapshot that this gateway never received."""
    eras, _ = _restored(StorePosition(1, 11))
    eras.on_configuration(StorePosition(2, 12), StorePosition(1, 10))
    assert not eras.confirms(OBSERVED_AT)


def test_a_confirmation_of_another_gateway_counts_for_its_era_only() -> None:
    """A second restore needs its own confirmation; a later era doesn't confirm this one."""
    eras, _ = _restored()
    eras.on_peer_confirmed(1)
    assert not eras.confirms(OBSERVED_AT)
    eras.on_peer_confirmed(2)
    assert eras.confirms(OBSERVED_AT)
    eras.on_era(StorePosition(3, 15), StorePosition(2, 18), OBSERVED_AT)
    assert not eras.confirms(OBSERVED_AT)
    eras.on_peer_confirmed(4)
    assert not eras.confirms(OBSERVED_AT), "the store was restored once more since"
    eras.on_peer_confirmed(3)
    assert eras.confirms(OBSERVED_AT)


def test_an_era_announced_before_it_is_observed_counts_beside_invalid_ones() -> None:
    """The list of gateways is read before the configuration, and any gateway may write to it."""
    eras, log = _restored()
    for era in (10**9, 3, -7):
        eras.on_peer_confirmed(era)
    eras.on_era(StorePosition(3, 15), StorePosition(2, 18), OBSERVED_AT)
    assert eras.confirms(OBSERVED_AT) and log.confirmations == [(3, EraEvidence.ANNOUNCED)]
    eras.on_era(StorePosition(4, 15), StorePosition(3, 18), OBSERVED_AT)
    assert not eras.confirms(OBSERVED_AT)
