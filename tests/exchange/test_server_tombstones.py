"""Departed servers whose entries are restored with an older snapshot of the store."""

from __future__ import annotations

import pytest

from milletcourse.exchange.messages.records import InstanceRecord
from milletcourse.exchange.servers.instance_table import REREGISTRATION_SECONDS, InstanceTable
from milletcourse.exchange.servers.server_tombstones import VERIFICATION_SECONDS

START = 1_700_000_000_000


def record(name: str, started_ms: int = 0) -> InstanceRecord:
    """An entry of the discovery."""
    return InstanceRecord(name, "s", f"{name}:1", started_ms=started_ms)


def known(table: InstanceTable) -> set[str]:
    """Names of the servers that may be used."""
    return set(table.of_service("s"))


@pytest.mark.parametrize("listed", [0, START, START - 5])
@pytest.mark.parametrize("reported", [0, START])
def test_a_departed_server_stays_departed_whoever_reported_its_start(
    listed: int, reported: int
) -> None:
    """Its entry may lack a start time that its answers reported."""
    table = InstanceTable()
    table.replace_all([record("a"), record("b")], 0.0)
    table.on_start_seen("a", reported)
    table.remove("a", 1.0)
    table.on_store_restored(2.0)
    table.replace_all([record("a", listed if reported else 0), record("b")], 2.0)
    assert known(table) == {"b"}
    table.remove("a", 3.0)
    table.expire_unverified(2.0 + VERIFICATION_SECONDS)
    assert known(table) == {"b"}


def test_a_lasting_entry_is_accepted_later_and_a_new_start_at_once() -> None:
    """A server may have been removed by mistake, and may have restarted since."""
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


def test_a_server_that_an_older_snapshot_lacks_is_unverified_not_removed() -> None:
    """It may have registered after the snapshot, even if the store was never seen unavailable."""
    table = InstanceTable()
    table.replace_all([record("a"), record("b")], 0.0)
    table.on_store_restored(2.0)
    table.replace_all([record("a")], 2.0)
    assert known(table) == {"a", "b"}
    table.expire_unverified(2.0 + REREGISTRATION_SECONDS)
    assert known(table) == {"a"}


def test_without_a_restore_an_entry_that_returns_is_used_at_once() -> None:
    """It is treated like an entry that had lapsed."""
    table = InstanceTable()
    table.replace_all([record("a")], 0.0)
    table.remove("a", 1.0)
    table.on_entry(record("a"), 1.5)
    assert known(table) == {"a"}
