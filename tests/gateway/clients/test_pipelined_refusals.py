"""Requests behind a refused one on the same connection."""

from __future__ import annotations

from typing import Any

from gateway_harness import Harness, run_with_gateway
from gateway_standin import Client, ClientAnswer, configuration, serve_whole

BODY = b"x" * 200_000
LIMITS = {**configuration()["Limits"], "MaxBodyBytes": 4_000_000}


async def read_all(client: Client) -> list[ClientAnswer]:
    """Answers until the connection closes."""
    answers = []
    while (answer := await client.read_answer()) is not None:
        answers.append(answer)
    return answers


def test_second_refusal_on_one_connection_is_not_written() -> None:
    """The first one closes the connection; parsing goes on to the end of a piece."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        harness.configuration = configuration(Limits=LIMITS)
        await harness.start()
        assert harness.node is not None
        memory = harness.node.context.client_memory
        errors: list[dict[str, Any]] = []
        harness.node.context.loop.set_exception_handler(lambda _, error: errors.append(error))
        client = await harness.client()
        refused = Client.request_bytes("/safe/", "refused", body=BODY)
        client.writer.write(refused[:-10])
        await harness.until(lambda: memory.received_bytes > len(BODY) - 1000)
        # No large body may be served from now on.
        memory.served_bytes = memory.max_body_bytes
        client.writer.write(refused[-10:] + Client.request_bytes("/safe/", "large", body=BODY))
        assert [answer.status for answer in await read_all(client)] == [503]
        assert not errors
        memory.served_bytes = 0
        assert (await (await harness.client()).ask("/safe/", "beside")).status == 200

    run_with_gateway(scenario)
