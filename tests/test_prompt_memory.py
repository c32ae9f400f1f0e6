"""The check of memory across an isolation finds each way to break it."""

from __future__ import annotations

from gateway_standin import ReceivedRequest
from prompt_memory import PromptMemory


def _request(tenant: str, salt: str = "s") -> ReceivedRequest:
    headers = {"tenant": tenant, "cache-salt": salt, "prompt-prefix": "aa:10,bb:5"}
    return ReceivedRequest("POST", "/", headers, b"", 0)


def test_use_of_a_part_is_judged_by_its_maker_and_its_user() -> None:
    """Either may be isolated, when the part is used or when it was made."""
    isolated: set[str] = set()
    memory = PromptMemory(isolated.__contains__)
    memory.run(_request("a"))
    memory.run(_request("b"))
    assert not memory.violations
    isolated.add("a")
    memory.run(_request("b"))
    assert len(memory.violations) == 2
    memory.run(_request("a", "own"))
    isolated.clear()
    memory.run(_request("b", "own"))
    assert len(memory.violations) == 4


def test_a_part_is_found_only_under_its_salt() -> None:
    """Another salt reads it anew; the last part is the request's own."""
    memory = PromptMemory(lambda tenant: True)
    memory.run(_request("a"))
    memory.run(_request("b", "other"))
    assert memory.shared_reads == 2 and not memory.violations
