"""Profiles a gateway by request stage, over loopback: `profile_gateway.py [REQUESTS]`.

The gateway and the stand-ins of its servers and store run in one process, so only functions of the
gateway are counted. Times are measured by cProfile, whose overhead inflates small functions.
"""

from __future__ import annotations

import cProfile
import pstats
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from gateway_behaviours import stream_of_four
from gateway_harness import Harness, run_with_gateway

DEFAULT_REQUESTS = 2000
SERVERS = 45
STAGES = {
    "read a request": [("client_connection.py", "data_received")],
    "parse the request head": [("dialect.py", "read_request")],
    "find route and tenant": [
        ("exchange_runner.py", "_find_route"),
        ("exchange_runner.py", "_find_tenant"),
    ],
    "apply the tenant's limit": [("tenant_limits.py", "try_spend"), ("tenant_limits.py", "settle")],
    "choose a server": [("instance_selector.py", "choose")],
    "of which: filter candidates": [("server_candidates.py", "of_service")],
    "connect": [("connection_pool.py", "acquire")],
    "build the server request": [("dispatch_builder.py", "build"), ("dialect.py", "request_head")],
    "parse the answer": [("dialect.py", "read_answer")],
    "relay events": [("answer_relay.py", "pass_events")],
    "write logs and metrics": [("recorder.py", "served"), ("recorder.py", "attempt")],
    "publish load": [("peers.py", "_tick")],
}


def _microseconds(stats: pstats.Stats, functions: list[tuple[str, str]], requests: int) -> float:
    total = 0.0
    for (path, _, name), (_, _, _, cumulative, _) in stats.stats.items():  # type: ignore[attr-defined]
        if any(path.endswith(f"/{module}") and name == function for module, function in functions):
            total += cumulative
    return total / requests * 1e6


def main(requests: int) -> None:
    """Serve streams one after another and print each stage's time per request."""
    profile = cProfile.Profile()

    async def scenario(harness: Harness) -> None:
        for number in range(SERVERS):
            await harness.add_server(f"e-{number}", "engine", stream_of_four, 1)
        await harness.start()
        client = await harness.client()
        prompt = {"Model": "model-1", "Token_Usage": "900,80", "Prompt_Prefix": "5c:600,91:300"}
        profile.enable()
        for number in range(requests):
            answer = await client.ask("/stream/", f"id-{number}", **prompt)
            assert answer.status == 200, answer
        profile.disable()

    run_with_gateway(scenario)
    stats = pstats.Stats(profile)
    for stage, functions in STAGES.items():
        print(f"{stage}: {_microseconds(stats, functions, requests):.0f} us")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_REQUESTS)
