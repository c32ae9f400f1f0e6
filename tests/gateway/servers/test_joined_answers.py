"""The beginning of a surplus answer never joins with the answer to the next request."""

from __future__ import annotations

import asyncio

import pytest

from answer_feed import EARLIER_ID, PENDING_ID, Delivered, deliver
from gateway_harness import Harness, run_with_gateway
from gateway_standin import answer, chunk
from milletcourse.exchange.messages.messages import AnswerHead
from surplus_servers import SurplusServers

BODY = b"body of r-2"
SERVED = {"Request-Id": PENDING_ID, "Server-Signature": "s-1.r-2"}
SURPLUS = {
    "success": answer(
        200, b"body of r-1", {"Request-Id": EARLIER_ID, "Server-Signature": "s-1.r-1"}
    ),
    "failure": answer(409, b"", {"Request-Id": EARLIER_ID, "Server-Signature": "s-1.r-1"}),
    "full": answer(503, b"", {"Not-Executed": "1", "Request-Id": EARLIER_ID}),
    "wrong version": answer(421, b"", {"Instance-Id": "s-1", "Request-Id": EARLIER_ID}),
    "id last": answer(
        429, b"", {"Retry-After": "1", "Not-Executed": "1", "Request-Id": EARLIER_ID}
    ),
}
STATUSES = (200, 409)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("surplus", SURPLUS)
def test_a_cut_surplus_answer_does_not_change_the_next_one(surplus: str, status: int) -> None:
    """Guards against the status or a field of one answer being read as another one's."""
    cut_answer = SURPLUS[surplus]
    wrong: list[tuple[bytes, int, AnswerHead | None]] = []

    async def scenario() -> None:
        for length in range(len(cut_answer) + 1):
            for piece_bytes in (1, 4096):
                data = cut_answer[:length] + answer(status, BODY, SERVED)
                delivered = await deliver(data, piece_bytes)
                if delivered.is_complete and not _is_own(delivered, status):
                    wrong.append((cut_answer[:length], piece_bytes, delivered.head))

    asyncio.run(scenario())
    assert not wrong, (len(wrong), wrong[0])


def _is_own(delivered: Delivered, status: int) -> bool:
    head = delivered.head
    if head is None or head.not_executed or delivered.body != BODY:
        return False
    return (head.status, head.reason) == (status, b"Stand-in")


CONFLICTS = (
    ("Request-Id", EARLIER_ID),
    ("Server-Signature", "other"),
    ("Instance-Id", "s-2"),
    ("Weight-Versions", "7"),
    ("Transfer-Encoding", "identity"),
)


@pytest.mark.parametrize(("name", "value"), CONFLICTS)
def test_fields_that_contradict_each_other_make_an_answer_malformed(name: str, value: str) -> None:
    """Guards against the last of several values being used."""
    fields = {**SERVED, "Instance-Id": "s-1", "Weight-Versions": "6"}
    first = answer(200, b"", fields, length=False)[:-2]
    data = b"%b%b: %b\r\nTransfer-Encoding: chunked\r\n\r\n" % (
        first,
        name.encode(),
        value.encode(),
    )

    async def scenario() -> None:
        delivered = await deliver(data + chunk(b"abc") + chunk(b""))
        assert delivered.head is None and not delivered.is_complete

    asyncio.run(scenario())


@pytest.mark.parametrize("surplus", SURPLUS)
def test_requests_beside_cut_surplus_answers_run_once(surplus: str) -> None:
    """Guards against a second run after a refusal that was never sent for the request."""
    cuts = iter(range(8, len(SURPLUS[surplus]), 7))

    async def scenario(harness: Harness) -> None:
        servers = SurplusServers()
        behaviour = servers.answer_after(lambda server, _: SURPLUS[surplus][: next(cuts, 8)])
        for number in range(2):
            await harness.add_server(f"s-{number}", "app", behaviour)
        await harness.start(RetrySlack=1000)
        statuses = {}
        for number in range(16):
            client = await harness.client()
            name = f"id-{number}"
            result = await client.ask("/unsafe/", name)
            statuses[name] = result.status
            assert result.status != 200 or result.body == name.encode()
            client.close()
        assert servers.surplus
        assert not [name for name, count in servers.runs.items() if count > 1]
        assert not [name for name in servers.runs if statuses[name] in (409, 421, 429, 503)]

    run_with_gateway(scenario)
