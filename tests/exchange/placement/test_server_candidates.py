"""Servers that may get a request: the sick when there are no others, the unwilling never."""

from __future__ import annotations

import pytest

from milletcourse.exchange.limits.ask_pauses import AskPauses
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.mechanisms import ALL_MECHANISMS
from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.exchange.messages.records import InstanceRecord, ServiceRecord
from milletcourse.exchange.placement.server_candidates import ServerCandidates
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import InstanceTable

SERVICE = ServiceRecord("app")
REST_SECONDS = 10.0
NOW = 100.0


class Servers:
    """Two servers, and what is known of them."""

    def __init__(self) -> None:
        self.table = InstanceTable()
        self.loads = LoadExchange("g-1")
        self.candidates = ServerCandidates(
            self.table, VersionGate(8.0), self.loads, ALL_MECHANISMS, AskPauses()
        )
        for name in ("s-1", "s-2"):
            self.table.upsert(InstanceRecord(name, "app", f"{name}:1"))

    def rest(self, name: str) -> None:
        """A server asks for rest."""
        instance = self.table.get(name)
        assert instance is not None
        self.loads.signals.on_back_off(instance.key, REST_SECONDS, NOW)

    def fail(self, name: str, result: AttemptResult) -> None:
        """Attempts at a server end so, until it is passed over."""
        instance = self.table.get(name)
        assert instance is not None
        for _ in range(4):
            instance.health.on_result(result, NOW)
        assert instance.health.is_ejected(NOW) or instance.health.is_busy(NOW)

    def chosen(self, later: float = 0.0) -> list[str]:
        """Names of the servers that may get a request."""
        found = self.candidates.of_service(SERVICE, "", (), NOW + later)
        return sorted(instance.name for instance in found)


@pytest.mark.parametrize("result", [AttemptResult.LOST, AttemptResult.REJECTED])
def test_a_sick_or_busy_server_is_used_rather_than_one_that_rests(result: AttemptResult) -> None:
    """What a gateway judges is a reason to prefer others; a server's own word is none to weigh."""
    servers = Servers()
    servers.rest("s-1")
    servers.fail("s-2", result)
    assert servers.chosen() == ["s-2"]


@pytest.mark.parametrize("result", [AttemptResult.LOST, AttemptResult.REJECTED])
def test_no_server_is_chosen_when_all_rest_however_they_do(result: AttemptResult) -> None:
    """So that the request is refused at once."""
    servers = Servers()
    for name in ("s-1", "s-2"):
        servers.fail(name, result)
        servers.rest(name)
    assert servers.chosen() == []
    assert servers.chosen(REST_SECONDS + 0.1) == ["s-1", "s-2"]
