"""Parses and writes the header fields of exchanges under configurable names.

The product has default names; a platform adapter may supply others. Only the names differ, not
their meaning.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from milletcourse.errors import FailureError, MalformedRequest
from milletcourse.exchange.messages.head_conflicts import has_conflicts
from milletcourse.exchange.messages.messages import (
    AnswerHead,
    Dispatch,
    ExchangeRequest,
    HeaderField,
    PromptPart,
)
from milletcourse.exchange.messages.signal_headers import (
    NO_BACK_OFF,
    BackOffHeader,
    read_back_off,
    read_leaving,
    read_limit,
)

CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Hop-by-hop fields (RFC 9110, 7.6.1) and fields of the body's framing."""
RETRY_AFTER = b"retry-after"
BACK_OFF_STATUSES = frozenset({429, 503})
"""Statuses of refusals in which a server may request a back-off."""
MAX_PROMPT_PARTS = 256
MAX_TOKEN_DIGITS = 9
"""A request with more tokens is refused; sums of such numbers fit into the messages of gateways."""
MAX_DEADLINE_SECONDS = 24 * 3600.0


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the header fields that control an exchange."""

    request_id: str = "Milletcourse-Request-Id"
    key: str = "Milletcourse-Key"
    tenant: str = "Milletcourse-Tenant"
    deadline_ms: str = "Milletcourse-Deadline-Ms"
    last_event_id: str = "Last-Event-ID"
    resumes: str = "Milletcourse-Resumes"
    """In requests that resume a stream: id of the client's attempt that got its first event."""
    model: str = "Milletcourse-Model"
    token_usage: str = "Milletcourse-Tokens"
    prompt_parts: str = "Milletcourse-Prompt-Parts"
    instance: str = "Milletcourse-Instance"
    weight_version: str = "Milletcourse-Weight-Version"
    cache_salt: str = "Milletcourse-Cache-Salt"
    cache_source: str = "Milletcourse-Cache-Source"
    cache_target: str = "Milletcourse-Cache-Target"
    priority: str = "Milletcourse-Priority"
    """Dropped from client requests, and set only for streams that go on: a server that supports
    priorities lets urgent requests preempt running ones, whose prompts are then processed again.
    Among new requests the less urgent are refused earlier instead."""
    signature: str = "Milletcourse-Signature"
    not_executed: str = "Milletcourse-Not-Executed"
    answer_instance: str = "Milletcourse-Answer-Instance"
    answer_weight_version: str = "Milletcourse-Answer-Weight-Version"
    request_limit: str = "Milletcourse-Request-Limit"
    """In answers: requests per second that the server accepts from all gateways together."""
    rejection_limit: str = "Milletcourse-Rejection-Limit"
    """In answers: a server that must reject more requests than this in a second crashes."""
    leaving: str = "Milletcourse-Leaving"
    """In answers: whether the server is shutting down."""
    router_only: tuple[str, ...] = ()
    """Further fields that only a router may set; dropped from client requests."""


class HeaderDialect:
    """Parses requests and answers, and writes dispatches, under one set of names."""

    def __init__(self, names: HeaderNames) -> None:
        self.names = names
        self._request_id = names.request_id.lower().encode()
        self._key = names.key.lower().encode()
        self._deadline = names.deadline_ms.lower().encode()
        self._last_event_id = names.last_event_id.lower().encode()
        self._resumes = names.resumes.lower().encode()
        self._model = names.model.lower().encode()
        self._token_usage = names.token_usage.lower().encode()
        self._prompt_parts = names.prompt_parts.lower().encode()
        self._signature = names.signature.lower().encode()
        self._not_executed = names.not_executed.lower().encode()
        self._answer_instance = names.answer_instance.lower().encode()
        self._answer_version = names.answer_weight_version.lower().encode()
        self._request_limit = names.request_limit.lower().encode()
        self._rejection_limit = names.rejection_limit.lower().encode()
        self._leaving = names.leaving.lower().encode()
        self._single = frozenset(
            (
                self._request_id,
                self._signature,
                self._not_executed,
                self._answer_instance,
                self._answer_version,
                b"content-length",
                b"transfer-encoding",
            )
        )
        """Fields that decide what an answer means, and where it ends."""
        set_by_router = (
            names.key,
            names.tenant,
            names.deadline_ms,
            names.last_event_id,
            names.instance,
            names.weight_version,
            names.cache_salt,
            names.cache_source,
            names.cache_target,
            names.priority,
            *names.router_only,
        )
        self._dropped = CONNECTION_FIELDS | {name.lower().encode() for name in set_by_router}

    # -- requests of clients --------------------------------------------------------------------

    def read_request(
        self, method: bytes, target: bytes, fields: list[HeaderField], received_at: float
    ) -> ExchangeRequest:
        """Parses the head of a client's request; the body is added later.

        Raises:
            FailureError: `MalformedRequest` that names the invalid field.
        """
        values = _single_values(fields)
        listed = _connection_options(values)
        kept = [
            field
            for field in fields
            if field.name.lower() not in self._dropped and field.name.lower() not in listed
        ]
        declared = values.get(self._token_usage)
        usage = self._read_usage(declared)
        request_id = _text(values.get(self._request_id))
        if not request_id:
            raise FailureError(MalformedRequest(f"{self.names.request_id} is missing"))
        return ExchangeRequest(
            method=method,
            target=target,
            host=_text(values.get(b"host")),
            fields=kept,
            body=b"",
            request_id=request_id,
            key=_text(values.get(self._key)),
            deadline_seconds=self._read_deadline(values.get(self._deadline)),
            last_event_id=_text(values.get(self._last_event_id)),
            resumes=_text(values.get(self._resumes)),
            model=_text(values.get(self._model)),
            prompt_parts=self._read_parts(values.get(self._prompt_parts)),
            prompt_tokens=usage[0],
            output_tokens=usage[1],
            received_at=received_at,
            declares_tokens=declared is not None,
        )

    def request_id_of(self, fields: list[HeaderField]) -> str:
        """A request's id, for logs of requests that can't be parsed."""
        return _text(_single_values(fields).get(self._request_id))

    def _read_deadline(self, value: bytes | None) -> float | None:
        if value is None:
            return None
        try:
            seconds = float(value) / 1000.0
        except ValueError:
            seconds = math.nan
        if not 0.0 <= seconds <= MAX_DEADLINE_SECONDS:
            raise FailureError(MalformedRequest(f"{self.names.deadline_ms} is not a valid time"))
        return seconds

    def _read_usage(self, value: bytes | None) -> tuple[int, int]:
        if value is None:
            return 0, 0
        numbers = [_read_tokens(number) for number in value.split(b",")]
        if len(numbers) != 2 or numbers[0] is None or numbers[1] is None:
            raise FailureError(
                MalformedRequest(f"{self.names.token_usage} does not hold two numbers of tokens")
            )
        return numbers[0], numbers[1]

    def _read_parts(self, value: bytes | None) -> tuple[PromptPart, ...]:
        if not value:
            return ()
        items = value.split(b",")
        if len(items) > MAX_PROMPT_PARTS:
            raise FailureError(MalformedRequest(f"{self.names.prompt_parts} has too many parts"))
        return tuple(self._read_part(item.strip()) for item in items)

    def _read_part(self, item: bytes) -> PromptPart:
        name, _, number = item.partition(b":")
        tokens = _read_tokens(number)
        if tokens is None or not _is_hexadecimal(name):
            raise FailureError(MalformedRequest(f"{self.names.prompt_parts} has a malformed part"))
        return PromptPart(name.decode("latin-1"), tokens)

    # -- requests to servers --------------------------------------------------------------------

    def request_head(self, request: ExchangeRequest, dispatch: Dispatch) -> bytes:
        """The head of a request as sent to a server, including body framing."""
        lines = [request.method + b" " + request.target + b" HTTP/1.1\r\n"]
        lines.extend(field.name + b": " + field.value + b"\r\n" for field in request.fields)
        lines.extend(
            f"{name}: {value}\r\n".encode("latin-1")
            for name, value in self._dispatch_fields(dispatch)
        )
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            lines.append(b"Content-Length: %d\r\n" % len(request.body))
        lines.append(b"\r\n")
        return b"".join(lines)

    def _dispatch_fields(self, dispatch: Dispatch) -> Iterable[tuple[str, str]]:
        names = self.names
        yield names.deadline_ms, str(max(int(dispatch.deadline_seconds * 1000), 1))
        yield names.instance, dispatch.instance
        if dispatch.tenant:
            yield names.tenant, dispatch.tenant
        if dispatch.weight_version is not None:
            yield names.weight_version, str(dispatch.weight_version)
        if dispatch.cache_salt:
            yield names.cache_salt, dispatch.cache_salt
        if dispatch.cache_source:
            yield names.cache_source, dispatch.cache_source
        if dispatch.cache_target:
            yield names.cache_target, dispatch.cache_target
        if dispatch.last_event_id:
            yield names.last_event_id, dispatch.last_event_id
        if dispatch.priority is not None:
            yield names.priority, str(dispatch.priority)

    # -- answers of servers ---------------------------------------------------------------------

    def read_answer(self, status: int, reason: bytes, fields: list[HeaderField]) -> AnswerHead:
        """Parses the head of a server's answer."""
        values = _single_values(fields)
        options = _connection_options(values)
        kept = [
            field
            for field in fields
            if field.name.lower() not in CONNECTION_FIELDS and field.name.lower() not in options
        ]
        version = values.get(self._answer_version, b"").strip()
        length = values.get(b"content-length")
        return AnswerHead(
            status=status,
            reason=reason,
            fields=kept,
            request_id=_text(values.get(self._request_id)),
            signed=self._signature in values,
            instance=_text(values.get(self._answer_instance)),
            not_executed=self._not_executed in values,
            weight_version=int(version) if version.isdigit() else None,
            keep_alive_seconds=_keep_alive_seconds(values.get(b"keep-alive")),
            content_length=int(length) if length is not None and length.isdigit() else None,
            chunked=b"chunked" in values.get(b"transfer-encoding", b"").lower(),
            closing=b"close" in options,
            encoded=b"content-encoding" in values,
            event_stream=values.get(b"content-type", b"").lower().startswith(b"text/event-stream"),
            limit=read_limit(_all_values(self._request_limit, values, fields)),
            rejection_limit=read_limit(_all_values(self._rejection_limit, values, fields)),
            leaving=read_leaving(_all_values(self._leaving, values, fields)),
            back_off=_read_back_off(status, values, fields),
            has_conflicts=has_conflicts(reason, fields, self._single),
        )


def _single_values(fields: list[HeaderField]) -> dict[bytes, bytes]:
    values: dict[bytes, bytes] = {}
    for field in fields:
        values[field.name.lower()] = field.value
    return values


def _connection_options(values: dict[bytes, bytes]) -> frozenset[bytes]:
    options = values.get(b"connection")
    if not options:
        return frozenset()
    return frozenset(option.strip().lower() for option in options.split(b","))


def _keep_alive_seconds(value: bytes | None) -> float | None:
    for option in (value or b"").split(b","):
        name, _, number = option.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def _all_values(
    name: bytes, values: dict[bytes, bytes], fields: list[HeaderField]
) -> Sequence[bytes]:
    """Values of all fields of a name; empty for most answers."""
    if name not in values:
        return ()
    return [field.value for field in fields if field.name.lower() == name]


def _read_back_off(
    status: int, values: dict[bytes, bytes], fields: list[HeaderField]
) -> BackOffHeader:
    if status not in BACK_OFF_STATUSES:
        return NO_BACK_OFF
    return read_back_off(_all_values(RETRY_AFTER, values, fields))


def _read_tokens(value: bytes) -> int | None:
    """A number of tokens, None for any other text and for more than a prompt can have."""
    digits = value.strip().lstrip(b"0") or value.strip()[-1:]
    if not digits.isdigit() or len(digits) > MAX_TOKEN_DIGITS:
        return None
    return int(digits)


def _is_hexadecimal(name: bytes) -> bool:
    try:
        int(name, 16)
    except ValueError:
        return False
    return bool(name)


def _text(value: bytes | None) -> str:
    return value.decode("latin-1").strip() if value else ""
