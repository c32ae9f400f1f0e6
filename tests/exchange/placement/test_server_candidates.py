"""Candidates for a request: unhealthy servers when there are no others, backing-off ones never."""

from __future__ import annotations

import pytest

from milletcourse.exchange.limits.permit_retry_delays import PermitRetryDelays
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.mechanisms import ALL_MECHANISMS
from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.exchange.messages.records import InstanceRecord, ServiceRecord
from milletcourse.exchange.placement.server_candidates import ServerCandidates
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import InstanceTable

SERVICE = ServiceRecord("app")
BACKOFF_SECONDS = 10.0
NOW = 100.0


class Servers:
    """Two servers with their state."""

    def __init__(self) -> None:
        self.table = InstanceTable()
        self.loads = LoadExchange("g-1")
        self.candidates = ServerCandidates(
            self.table, VersionGate(8.0), self.loads, ALL_MECHANISMS, PermitRetryDelays()
        )
        for name in ("s-1", "s-2"):
            self.table.upsert(InstanceRecord(name, "app", f"{name}:1"))

    def back_off(self, name: str) -> None:
        """A server requests a back-off."""
        instance = self.table.get(name)
        assert instance is not None
        self.loads.signals.on_back_off(instance.key, BACKOFF_SECONDS, NOW)

    def fail(self, name: str, result: AttemptResult) -> None:
        """Attempts at a server end with a result until it is avoided."""
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
def test_an_unhealthy_or_busy_server_is_preferred_to_one_in_back_off(result: AttemptResult) -> None:
    """A gateway's own judgement ranks servers; a server's own request excludes it."""
    servers = Servers()
    servers.back_off("s-1")
    servers.fail("s-2", result)
    assert servers.chosen() == ["s-2"]


@pytest.mark.parametrize("result", [AttemptResult.LOST, AttemptResult.REJECTED])
def test_no_server_is_chosen_when_all_back_off_whatever_their_health(result: AttemptResult) -> None:
    """The request is then refused at once."""
    servers = Servers()
    for name in ("s-1", "s-2"):
        servers.fail(name, result)
        servers.back_off(name)
    assert servers.chosen() == []
    assert servers.chosen(BACKOFF_SECONDS + 0.1) == ["s-1", "s-2"]
