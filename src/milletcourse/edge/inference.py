"""OpenAI-compatible inference endpoints."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any

import falcon.asgi
import msgspec

from milletcourse.backends.engine_messages import EngineUsage
from milletcourse.edge.asgi import decode_json, respond_json
from milletcourse.edge.context import EdgeContext, bearer_tenant
from milletcourse.edge.problems import problem_document
from milletcourse.errors import Failure, FailureError, MalformedRequest
from milletcourse.policy.compiled import RequestFacts
from milletcourse.prefix.blocks import ChatMessage, render_chat
from milletcourse.streams.attempt_planner import AnswerToken, InferenceRequest
from milletcourse.streams.resume_token import digest_request

CLASS_HEADER = "X-Request-Class"
REQUEST_ID_HEADER = "X-Request-Id"
LAST_EVENT_ID_HEADER = "Last-Event-ID"
DEFAULT_MAX_TOKENS = 64
MAX_TOKENS_LIMIT = 100_000
DONE_EVENT = b"data: [DONE]\n\n"


class ContentPart(msgspec.Struct, frozen=True):
    """A part of a message's content; only text is supported."""

    type: str
    text: str = ""


class ChatMessageBody(msgspec.Struct, frozen=True):
    """A message as sent by the client."""

    role: str
    content: str | tuple[ContentPart, ...]

    def message(self) -> ChatMessage:
        """The message with its content joined into one text."""
        if isinstance(self.content, str):
            return ChatMessage(self.role, self.content)
        return ChatMessage(self.role, "".join(part.text for part in self.content))


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed response."""

    include_usage: bool = False


class ChatBody(msgspec.Struct, frozen=True):
    """Body of `POST /v1/chat/completions`; unknown members are ignored."""

    model: str
    messages: tuple[ChatMessageBody, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None

    def prompt(self) -> str:
        """The rendered prompt."""
        if not self.messages:
            raise FailureError(MalformedRequest("messages must not be empty"))
        return render_chat([item.message() for item in self.messages])


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of `POST /v1/completions`; unknown members are ignored."""

    model: str
    prompt: str
    stream: bool = False
    max_tokens: int | None = None
    stream_options: StreamOptions | None = None
    max_completion_tokens: int | None = None


Body = ChatBody | CompletionBody


class _ResponseFormat:
    """Encodes responses as chat or plain completions."""

    def __init__(self, chat: bool, request_id: str, model: str, created: int) -> None:
        prefix = "chatcmpl" if chat else "cmpl"
        self._chat = chat
        self._head: dict[str, Any] = {
            "id": f"{prefix}-{request_id}",
            "object": "text_completion",
            "created": created,
            "model": model,
        }
        if chat:
            self._head["object"] = "chat.completion"
        self._chunk_head = dict(self._head)
        if chat:
            self._chunk_head["object"] = "chat.completion.chunk"
        choice = b'"delta":{"content":' if chat else b'"text":'
        prefix_document = msgspec.json.encode(self._chunk_head)[:-1]
        self._chunk_prefix = prefix_document + b',"choices":[{"index":0,' + choice
        self._chunk_suffix = (b"}" if chat else b"") + b',"finish_reason":null}]}\n\n'

    def token_event(self, event_id: str, text: str) -> bytes:
        """SSE event of one token."""
        return b"".join(
            (
                b"id: ",
                event_id.encode(),
                b"\ndata: ",
                self._chunk_prefix,
                msgspec.json.encode(text),
                self._chunk_suffix,
            )
        )

    def finish_event(self, usage: EngineUsage, include_usage: bool) -> bytes:
        """SSE events after the last token."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        choice["delta" if self._chat else "text"] = {} if self._chat else ""
        events = _sse_data({**self._chunk_head, "choices": [choice]})
        if include_usage:
            events += _sse_data({**self._chunk_head, "choices": [], "usage": usage_document(usage)})
        return events + DONE_EVENT

    def complete_response(self, text: str, usage: EngineUsage) -> dict[str, Any]:
        """The body of a response that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {**self._head, "choices": [choice], "usage": usage_document(usage)}


def usage_document(usage: EngineUsage) -> dict[str, Any]:
    """Token counts in the OpenAI format."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }


def error_event(failure: Failure) -> bytes:
    """SSE event that terminates a stream that could not be completed."""
    document = {**problem_document(failure), "message": failure.detail, "code": failure.code}
    return b"event: error\n" + _sse_data({"error": document})


def _sse_data(document: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(document) + b"\n\n"


class _SseStream:
    """Stream of SSE events; closing it cancels the work at the engine."""

    def __init__(self, events: AsyncIterator[bytes]) -> None:
        self._events = events

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        return await anext(self._events)

    async def close(self) -> None:
        """Called by falcon when the response ends, for any reason."""
        await self._events.aclose()  # type: ignore[attr-defined]


class InferenceResource:
    """`/v1/chat/completions` and `/v1/completions`."""

    def __init__(self, context: EdgeContext, random_source: random.Random) -> None:
        self._context = context
        self._random = random_source

    async def on_post_chat(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Chat completion."""
        raw = await request.stream.read()
        await self._serve(request, response, raw, decode_json(raw, ChatBody))

    async def on_post_plain(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Plain completion."""
        raw = await request.stream.read()
        await self._serve(request, response, raw, decode_json(raw, CompletionBody))

    async def _serve(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        raw: bytes,
        body: Body,
    ) -> None:
        self._context.check_serving()
        tenant = bearer_tenant(request, self._context.policy)
        inference = self._inference_request(request, tenant, raw, body)
        digest = digest_request(tenant, raw)
        response_format = _ResponseFormat(
            isinstance(body, ChatBody),
            inference.request_id,
            body.model,
            int(self._context.clock.wall()),
        )
        answer = self._context.answers.answer(inference, digest)
        response.set_header(REQUEST_ID_HEADER, inference.request_id)
        if self._context.is_draining():
            response.set_header("Connection", "close")
        if body.stream:
            await self._respond_stream(response, answer, response_format, body)
        else:
            await self._respond_whole(response, answer, response_format)

    def _inference_request(
        self, request: falcon.asgi.Request, tenant: str, raw: bytes, body: Body
    ) -> InferenceRequest:
        limit = body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
        if not 1 <= limit <= MAX_TOKENS_LIMIT:
            raise FailureError(MalformedRequest(f"max_tokens must be 1 to {MAX_TOKENS_LIMIT}"))
        prompt = body.prompt if isinstance(body, CompletionBody) else body.prompt()
        if not prompt:
            raise FailureError(MalformedRequest("prompt must not be empty"))
        facts = RequestFacts(
            tenant, body.model, request_class=request.get_header(CLASS_HEADER) or "default"
        )
        token = request.get_header(LAST_EVENT_ID_HEADER)
        if token is None:
            request_id = f"{self._random.getrandbits(128):032x}"
            return InferenceRequest(request_id, facts, prompt, limit)
        point = self._context.resume_tokens.decode(token, digest_request(tenant, raw))
        return InferenceRequest(point.request_id, facts, prompt, limit, point)

    async def _respond_stream(
        self,
        response: falcon.asgi.Response,
        answer: AsyncIterator[list[AnswerToken]],
        response_format: _ResponseFormat,
        body: Body,
    ) -> None:
        """Start the stream with its first tokens; an earlier refusal is a problem document."""
        started_at = self._context.clock.monotonic()
        first = await self._first_tokens(answer)
        self._context.metrics.first_token_seconds.observe(
            self._context.clock.monotonic() - started_at
        )
        include_usage = body.stream_options is not None and body.stream_options.include_usage
        response.content_type = "text/event-stream"
        response.set_header("Cache-Control", "no-cache")
        response.stream = _SseStream(self._events(first, answer, response_format, include_usage))

    async def _first_tokens(self, answer: AsyncIterator[list[AnswerToken]]) -> list[AnswerToken]:
        try:
            return await anext(answer)
        except FailureError as error:
            self._context.metrics.requests.labels(error.failure.code).inc()
            raise
        except StopAsyncIteration:
            return []

    async def _events(
        self,
        first: list[AnswerToken],
        answer: AsyncIterator[list[AnswerToken]],
        response_format: _ResponseFormat,
        include_usage: bool,
    ) -> AsyncIterator[bytes]:
        outcome = "client_gone"
        usage: EngineUsage | None = None
        async with aclosing(answer):  # type: ignore[type-var]
            try:
                yield self._token_events(response_format, first)
                usage = _last_usage(first)
                async for tokens in answer:
                    yield self._token_events(response_format, tokens)
                    usage = _last_usage(tokens)
                if usage is not None:
                    yield response_format.finish_event(usage, include_usage)
                else:
                    yield DONE_EVENT
                outcome = "served"
            except FailureError as error:
                outcome = error.failure.code
                yield error_event(error.failure)
            finally:
                self._context.metrics.requests.labels(outcome).inc()

    def _token_events(self, response_format: _ResponseFormat, tokens: list[AnswerToken]) -> bytes:
        encode = self._context.resume_tokens.encode
        return b"".join(
            response_format.token_event(encode(item.point), item.text) for item in tokens
        )

    async def _respond_whole(
        self,
        response: falcon.asgi.Response,
        answer: AsyncIterator[list[AnswerToken]],
        response_format: _ResponseFormat,
    ) -> None:
        outcome = "client_gone"
        texts: list[str] = []
        usage: EngineUsage | None = None
        try:
            async with aclosing(answer):  # type: ignore[type-var]
                async for tokens in answer:
                    texts.extend(item.text for item in tokens)
                    usage = _last_usage(tokens)
            outcome = "served"
        except FailureError as error:
            outcome = error.failure.code
            raise
        finally:
            self._context.metrics.requests.labels(outcome).inc()
        assert usage is not None
        respond_json(response, response_format.complete_response("".join(texts), usage))


def _last_usage(tokens: list[AnswerToken]) -> EngineUsage | None:
    return tokens[-1].usage if tokens else None


class ModelsResource:
    """`GET /v1/models`: models that at least one workload permits for the tenant."""

    def __init__(self, context: EdgeContext) -> None:
        self._context = context

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """List the tenant's models."""
        self._context.check_serving()
        policy = self._context.policy
        tenant = bearer_tenant(request, policy)
        names = [name for name in sorted(policy.models) if policy.any_class_permitted(tenant, name)]
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "milletcourse"}
            for name in names
        ]
        respond_json(response, {"object": "list", "data": models})
