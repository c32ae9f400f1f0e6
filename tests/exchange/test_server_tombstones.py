"""Servers that had gone, and whose entries an older copy of the store brings back."""

from __future__ import annotations

import pytest

from milletcourse.exchange.messages.records import InstanceRecord
from milletcourse.exchange.servers.instance_table import REREGISTRATION_SECONDS, InstanceTable
from milletcourse.exchange.servers.server_tombstones import VERIFICATION_SECONDS

START = 1_700_000_000_000


def record(name: str, started_ms: int = 0) -> InstanceRecord:
    """An entry."""
    return InstanceRecord(name, "s", f"{name}:1", started_ms=started_ms)


def known(table: InstanceTable) -> set[str]:
    """Servers that may be used."""
    return set(table.of_service("s"))


@pytest.mark.parametrize("listed", [0, START, START - 5])
@pytest.mark.parametrize("told", [0, START])
def test_a_server_that_is_gone_stays_gone_whoever_told_its_start(listed: int, told: int) -> None:
    """Its entry may know nothing of a start that its answers told."""
    table = InstanceTable()
    table.replace_all([record("a"), record("b")], 0.0)
    table.on_start_seen("a", told)
    table.remove("a", 1.0)
    table.on_store_restored(2.0)
    table.replace_all([record("a", listed if told else 0), record("b")], 2.0)
    assert known(table) == {"b"}
    table.remove("a", 3.0)
    table.expire_unverified(2.0 + VERIFICATION_SECONDS)
    assert known(table) == {"b"}


def test_an_entry_that_stays_is_believed_and_a_new_start_at_once() -> None:
    """A server may have been gone by mistake, and may have started again since."""
    table = InstanceTable()
    table.replace_all([record("a", START), record("b", START)], 0.0)
    table.remove("a", 1.0)
    table.remove("b", 1.0)
    table.on_store_restored(2.0)
    table.replace_all([record("a", START), record("b", START + 9)], 2.0)
    assert known(table) == {"b"}
    table.expire_unverified(1.9 + VERIFICATION_SECONDS)
    assert known(table) == {"b"}
    table.expire_unverified(2.0 + VERIFICATION_SECONDS)
    assert known(table) == {"a", "b"}


def test_a_server_that_an_older_copy_lacks_is_doubtful_not_gone() -> None:
    """It may have entered after the copy, also when the store wasn't missed for a moment."""
    table = InstanceTable()
    table.replace_all([record("a"), record("b")], 0.0)
    table.on_store_restored(2.0)
    table.replace_all([record("a")], 2.0)
    assert known(table) == {"a", "b"}
    table.expire_unverified(2.0 + REREGISTRATION_SECONDS)
    assert known(table) == {"a"}


def test_without_a_return_an_entry_that_comes_back_is_used_at_once() -> None:
    """As one that had lapsed."""
    table = InstanceTable()
    table.replace_all([record("a")], 0.0)
    table.remove("a", 1.0)
    table.on_entry(record("a"), 1.5)
    assert known(table) == {"a"}
