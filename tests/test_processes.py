"""End-to-end tests with separate processes on loopback, with kills and a planned stop."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec
import openai

from local_processes import LocalDeployment, LocalProcess
from milletcourse.standins.answers import answer_text
from milletcourse.standins.embedded import MODEL, TENANT_KEYS

NURSE = {"Authorization": f"Bearer {TENANT_KEYS['nurses']}"}
RULES_TEXT = "Rest of eleven hours lies between two shifts. " * 300


@dataclass
class StreamResult:
    """Result of one streamed request at a client."""

    text: str = ""
    last_event_id: str = ""
    error_type: str = ""
    done: bool = False


async def read_stream(
    session: aiohttp.ClientSession,
    address: str,
    body: dict[str, object],
    result: StreamResult,
    started: asyncio.Event | None = None,
) -> None:
    """Read one streamed completion into a result until the connection ends."""
    headers = dict(NURSE)
    if result.last_event_id:
        headers["Last-Event-ID"] = result.last_event_id
    url = f"http://{address}/v1/completions"
    try:
        async with session.post(url, json=body, headers=headers) as response:
            if response.status != 200:
                result.error_type = msgspec.json.decode(await response.read())["type"]
                return
            event_id = ""
            async for raw in response.content:
                line = raw.strip()
                if line.startswith(b"id: "):
                    event_id = line[4:].decode()
                elif line == b"data: [DONE]":
                    result.done = True
                elif line.startswith(b"data: "):
                    document = msgspec.json.decode(line[6:])
                    if "error" in document:
                        result.error_type = document["error"]["type"]
                        continue
                    result.text += "".join(item["text"] for item in document["choices"])
                    result.last_event_id = event_id
                    if started is not None:
                        started.set()
    except aiohttp.ClientError:
        return


def streaming_body(index: int, tokens: int) -> dict[str, object]:
    """A streamed request with a shared prefix."""
    prompt = f"{RULES_TEXT} question {index}"
    return {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}


def expected(body: dict[str, object]) -> str:
    """Complete answer to a request; the stand-in engines are deterministic."""
    return answer_text(MODEL, "1", str(body["prompt"]), int(str(body["max_tokens"])))


async def stream_and_resume(
    deployment: LocalDeployment, index: int, started: asyncio.Event
) -> tuple[dict[str, object], StreamResult]:
    """Stream through one router; if it fails, resume at the other one."""
    body = streaming_body(index, 150)
    result = StreamResult()
    async with aiohttp.ClientSession() as session:
        for turn in range(4):
            router = deployment.routers[(index + turn) % 2]
            await read_stream(session, router.http, body, result, started)
            if result.done or result.error_type:
                break
    return body, result


def test_streams_survive_kill_of_engine_and_router(deployment: LocalDeployment) -> None:
    """Every stream is complete and in order, or ends with a typed error."""

    async def scenario() -> list[tuple[dict[str, object], StreamResult]]:
        started = [asyncio.Event() for _ in range(8)]
        tasks = [
            asyncio.create_task(stream_and_resume(deployment, index, started[index]))
            for index in range(8)
        ]
        await asyncio.gather(*(event.wait() for event in started))
        deployment.engines[0].kill()
        deployment.routers[1].kill()
        return await asyncio.gather(*tasks)

    outcomes = asyncio.run(scenario())
    complete = 0
    for body, result in outcomes:
        assert expected(body).startswith(result.text)
        assert result.done or result.error_type.startswith("urn:milletcourse:problem:")
        if result.done:
            assert result.text == expected(body)
            complete += 1
    assert complete >= 6


def test_planned_stop_of_a_router_interrupts_no_request(deployment: LocalDeployment) -> None:
    """SIGTERM under load: requests in flight finish, new connections go to the other router."""

    async def one(index: int, started: asyncio.Event) -> tuple[dict[str, object], StreamResult]:
        body = streaming_body(index, 120)
        result = StreamResult()
        async with aiohttp.ClientSession() as session:
            await read_stream(session, deployment.routers[0].http, body, result, started)
        return body, result

    async def scenario() -> list[tuple[dict[str, object], StreamResult]]:
        started = [asyncio.Event() for _ in range(6)]
        tasks = [asyncio.create_task(one(index, started[index])) for index in range(6)]
        await asyncio.gather(*(event.wait() for event in started))
        deployment.routers[0].terminate()
        return await asyncio.gather(*tasks)

    for body, result in asyncio.run(scenario()):
        assert result.done
        assert result.text == expected(body)
    assert deployment.routers[0].process.wait(timeout=30) == 0


def test_stock_client_streams_and_gets_typed_errors(deployment: LocalDeployment) -> None:
    """The unmodified OpenAI client library works."""
    client = openai.OpenAI(
        base_url=f"http://{deployment.routers[0].http}/v1",
        api_key=TENANT_KEYS["nurses"],
        max_retries=0,
    )
    messages = [{"role": "user", "content": "When do I work?"}]
    stream = client.chat.completions.create(
        model=MODEL, messages=messages, stream=True, max_tokens=12
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices)
    prompt = "<|user|>\nWhen do I work?\n<|assistant|>\n"
    assert text == answer_text(MODEL, "1", prompt, 12)
    whole = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=5)
    assert whole.choices[0].message.content == answer_text(MODEL, "1", prompt, 5)
    assert [item.id for item in client.models.list()] == [MODEL]
    wrong = openai.OpenAI(base_url=f"http://{deployment.routers[0].http}/v1", api_key="none")
    try:
        wrong.models.list()
    except openai.AuthenticationError as error:
        assert error.status_code == 401
    else:
        raise AssertionError("an unknown key was accepted")


def test_client_disconnect_cancels_engine_work(deployment: LocalDeployment) -> None:
    """A client that disconnects mid-stream releases the engine."""

    async def scenario() -> None:
        async with aiohttp.ClientSession() as session:
            response = await session.post(
                f"http://{deployment.routers[0].http}/v1/completions",
                json=streaming_body(0, 5000),
                headers=NURSE,
            )
            await response.content.readany()
            response.close()

    asyncio.run(scenario())
    polls_left = 200
    while running(deployment.engines) and polls_left:
        polls_left -= 1
        asyncio.run(asyncio.sleep(0.05))
    assert running(deployment.engines) == 0


def running(engines: list[LocalProcess]) -> int:
    """Number of requests running at all engines."""
    total = 0
    for engine in engines:
        stats = LocalDeployment().get(engine.http, "/standin/stats")
        total += int(str(stats["running"]))
    return total
