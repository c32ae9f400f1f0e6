"""The software version of a server, as its entries and other gateways' notices report it."""

from __future__ import annotations

from milletcourse.exchange.messages.records import InstanceRecord
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable

BEFORE = InstanceRecord("e-1", "engine", "127.0.0.1:1", started_ms=1000, software_version="v1")


def _table() -> tuple[InstanceTable, Instance]:
    table = InstanceTable()
    table.upsert(BEFORE)
    known = table.get("e-1")
    assert known is not None
    return table, known


def test_software_version_is_unknown_between_a_restart_and_the_new_entry() -> None:
    """The restarted server may have been replaced by another version."""
    table, before = _table()
    assert table.on_start_seen("e-1", 2000)
    restarted = table.get("e-1")
    assert restarted is not None and restarted is not before
    assert restarted.record.software_version is None
    table.upsert(
        InstanceRecord("e-1", "engine", "127.0.0.1:1", started_ms=2000, software_version="v2")
    )
    assert table.get("e-1") is restarted
    assert restarted.record.software_version == "v2"


def test_another_software_version_under_the_same_name_is_a_restart() -> None:
    """An entry may state no start."""
    table, before = _table()
    table.upsert(InstanceRecord("e-1", "engine", "127.0.0.1:1", software_version="v2"))
    after = table.get("e-1")
    assert after is not None and after is not before
