"""Simulated operators, who change objects through the administration API."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import msgspec

from milletcourse.errors import FailureError
from milletcourse.runtime.http import HttpRequest
from milletcourse.runtime.memory_http import MemoryHttpClient
from milletcourse.simulation.deployment import OPERATOR, key_of
from milletcourse.simulation.world import World

OPERATOR_TIMEOUT_SECONDS = 30.0


@dataclass(slots=True)
class OperatorAnswers:
    """Change ids, grouped by the answer that the operator received."""

    accepted: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    unknown: list[str] = field(default_factory=list)


class SimulatedOperator:
    """One named operator; several can change the same object concurrently."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.answers = OperatorAnswers()
        self._name = name
        self._random = random.Random(f"{world.seed}/operator/{name}")
        self._client = MemoryHttpClient(world.client_host)

    async def change(self, kind: str, name: str, spec: dict[str, Any], router: int) -> str:
        """Read one object and update it by compare-and-set, both through one router.

        Returns:
            `accepted`, `refused` or `unknown`.
        """
        address = self.world.routers[router].host.address
        path = f"/admin/v1/objects/{kind}/{name}"
        headers = {"Authorization": f"Bearer {key_of(OPERATOR)}"}
        change_id = f"{self._name}-{self._random.getrandbits(64):016x}"
        try:
            version = await self._version(address, path, headers)
            body = msgspec.json.encode({"spec": spec, "version": version, "change_id": change_id})
            request = HttpRequest("PUT", address, path, body, headers, False)
            response = await self._client.send(request, OPERATOR_TIMEOUT_SECONDS)
            document = msgspec.json.decode(await response.read())
        except FailureError:
            return self._record_answer(change_id, "unknown")
        if response.status == 200:
            return self._record_answer(change_id, "accepted")
        answer = "refused" if document["run_state"] == "not_run" else "unknown"
        return self._record_answer(change_id, answer)

    async def _version(self, address: str, path: str, headers: dict[str, str]) -> int:
        request = HttpRequest("GET", address, path, b"", headers)
        response = await self._client.send(request, OPERATOR_TIMEOUT_SECONDS)
        body = await response.read()
        return int(msgspec.json.decode(body)["version"]) if response.status == 200 else 0

    def _record_answer(self, change_id: str, answer: str) -> str:
        self.world.record_event(f"operator {self._name} {answer}")
        getattr(self.answers, answer).append(change_id)
        return answer

    def check(self) -> None:
        """Check that accepted changes were committed and refused ones were not."""
        committed = self.world.platform.core.committed_change_ids
        for change_id in self.answers.accepted:
            if change_id not in committed:
                self.world.record_violation("accepted-is-true", change_id)
        for change_id in self.answers.refused:
            if change_id in committed:
                self.world.record_violation("refused-is-true", change_id)
