"""`milletcourse explain-request`: what gateways' logs say of one request."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import Annotated, Any

import typer

from milletcourse.reports.log_lines import read_documents

SHARED_FIELDS = frozenset({"event", "node", "timestamp"})
STATE_EVENTS = frozenset(
    {
        "configuration-in-force",
        "store-lost",
        "store-reached",
        "server-leaving",
        "instance-gone",
        "instance-ejected",
        "instance-back",
        "server-limit-named",
        "server-limit-changed",
        "server-limit-ended",
        "server-resting",
        "version-named",
        "weight-order",
        "lease-held",
        "lease-lost",
        "stopping",
    }
)
"""Events that change what a gateway believes; the latest of each is shown beside the request."""


def explain_request(
    request_id: Annotated[str, typer.Argument(help="Identity of the request.")],
) -> None:
    """Gather a request's lines from the logs on standard input, in order, with the belief behind.

    Lines may carry other text before the JSON object. The exit code is 1 when no line tells of the
    request; successes and frequent events are logged at a bounded rate.
    """
    found = list(explain_lines(sys.stdin, request_id))
    if not found:
        typer.echo(f"no line tells of request {request_id}", err=True)
        raise typer.Exit(1)
    for line in found:
        typer.echo(line)


def explain_lines(lines: Iterable[str], request_id: str) -> Iterator[str]:
    """The lines of one request in order of time, each node's belief before its first line."""
    documents = sorted(
        read_documents(lines), key=lambda document: str(document.get("timestamp", ""))
    )
    states: dict[str, dict[str, dict[str, Any]]] = {}
    shown: set[str] = set()
    for document in documents:
        node = str(document.get("node", ""))
        event = str(document.get("event", ""))
        if event == "started":
            states.pop(node, None)
        if event in STATE_EVENTS:
            about = str(document.get("instance", document.get("kind", "")))
            states.setdefault(node, {})[f"{event} {about}"] = document
        if document.get("request_id") != request_id:
            continue
        if node not in shown:
            shown.add(node)
            latest = states.get(node, {}).values()
            for state_line in sorted(latest, key=lambda item: str(item.get("timestamp", ""))):
                yield f"  believed: {_render(state_line)}"
        yield _render(document)


def _render(document: dict[str, Any]) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in document.items() if name not in SHARED_FIELDS
    )
    return (
        f"{document.get('timestamp', '')} {document.get('node', '')} {document['event']} {fields}"
    )
