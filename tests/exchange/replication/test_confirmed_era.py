"""Which eras of the store are confirmed, and by what."""

from __future__ import annotations

import pytest

from milletcourse.exchange.messages.store_place import UNKNOWN_ERA, StorePlace
from milletcourse.exchange.replication.confirmed_era import (
    FIRST_ERA,
    OPERATOR_REWRITE_SECONDS,
    ConfirmedEra,
    EraEvidence,
)

FOUND_AT = 100.0


class Evidence:
    """Notes why eras were confirmed."""

    def __init__(self) -> None:
        self.told: list[tuple[int, EraEvidence]] = []

    def __call__(self, era: int, evidence: EraEvidence) -> None:
        self.told.append((era, evidence))


def _returned(
    ended_at: StorePlace | None = StorePlace(1, 20),
) -> tuple[ConfirmedEra, Evidence]:
    """A store that was known up to (1, 20), and was found at (2, 15)."""
    evidence = Evidence()
    eras = ConfirmedEra(evidence)
    eras.on_era(StorePlace(2, 15), ended_at, FOUND_AT)
    return eras, evidence


@pytest.mark.parametrize("era", [UNKNOWN_ERA, FIRST_ERA])
def test_a_store_that_never_came_back_is_believed_at_once(era: int) -> None:
    """Nothing can be lost; nothing is told either."""
    evidence = Evidence()
    eras = ConfirmedEra(evidence)
    eras.on_era(StorePlace(era, 15), None, FOUND_AT)
    assert eras.confirms(FOUND_AT) and not evidence.told


@pytest.mark.parametrize("ended_at", [None, StorePlace(1, 20)])
def test_a_return_is_in_doubt_until_the_operator_had_the_time_to_write(
    ended_at: StorePlace | None,
) -> None:
    """At a process that lived through it, and at one that has just started."""
    eras, evidence = _returned(ended_at)
    assert not eras.confirms(FOUND_AT + OPERATOR_REWRITE_SECONDS - 0.01)
    assert eras.confirms(FOUND_AT + OPERATOR_REWRITE_SECONDS)
    assert evidence.told == [(2, EraEvidence.TIME)]


def test_a_configuration_that_is_written_after_the_return_was_found_confirms_it() -> None:
    """The operator writes the newest one whole."""
    eras, evidence = _returned()
    eras.on_configuration(StorePlace(2, 10), StorePlace(1, 10))
    assert not eras.confirms(FOUND_AT)
    eras.on_configuration(StorePlace(2, 16), StorePlace(2, 10))
    assert eras.confirms(FOUND_AT) and evidence.told == [(2, EraEvidence.WRITTEN)]


@pytest.mark.parametrize(
    ("revision", "known", "is_rewritten"),
    [
        (12, StorePlace(1, 10), True),
        (10, StorePlace(1, 10), False),
        (8, StorePlace(1, 10), False),
        (12, None, False),
        (12, StorePlace(0, 10), False),
    ],
)
def test_a_change_at_a_revision_that_had_none_before_the_return_was_written_after_it(
    revision: int, known: StorePlace | None, is_rewritten: bool
) -> None:
    """The operator may write before anybody looks; an older change may come from the copy."""
    eras, _ = _returned()
    eras.on_configuration(StorePlace(2, revision), known)
    assert eras.confirms(FOUND_AT) is is_rewritten


def test_a_change_beyond_what_was_known_before_the_return_proves_nothing() -> None:
    """It may be one that was never heard of, and stood in the copy."""
    eras, _ = _returned(StorePlace(1, 11))
    eras.on_configuration(StorePlace(2, 12), StorePlace(1, 10))
    assert not eras.confirms(FOUND_AT)


def test_what_another_gateway_found_counts_for_its_era_alone() -> None:
    """A second return puts all in doubt again; a later era says nothing of this one."""
    eras, _ = _returned()
    eras.on_peer_confirmed(1)
    assert not eras.confirms(FOUND_AT)
    eras.on_peer_confirmed(2)
    assert eras.confirms(FOUND_AT)
    eras.on_era(StorePlace(3, 15), StorePlace(2, 18), FOUND_AT)
    assert not eras.confirms(FOUND_AT)
    eras.on_peer_confirmed(4)
    assert not eras.confirms(FOUND_AT), "the store has come back once more since"
    eras.on_peer_confirmed(3)
    assert eras.confirms(FOUND_AT)


def test_an_era_that_is_told_before_it_is_found_here_counts_beside_absurd_ones() -> None:
    """The list of gateways comes before the configuration, and anybody may write into it."""
    eras, evidence = _returned()
    for era in (10**9, 3, -7):
        eras.on_peer_confirmed(era)
    eras.on_era(StorePlace(3, 15), StorePlace(2, 18), FOUND_AT)
    assert eras.confirms(FOUND_AT) and evidence.told == [(3, EraEvidence.ANNOUNCED)]
    eras.on_era(StorePlace(4, 15), StorePlace(3, 18), FOUND_AT)
    assert not eras.confirms(FOUND_AT)
