"""`milletcourse explain-request`: the history of one request, from the logs of the gateways."""

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
        "server-rejection-limit-named",
        "server-rejection-limit-changed",
        "server-rejection-limit-ended",
        "server-resting",
        "version-named",
        "weight-order",
        "lease-held",
        "lease-lost",
        "stopping",
        "path-lost",
        "path-restored",
        "servers-unreachable",
        "servers-reached",
    }
)
"""Events that change the cached state of a gateway; the latest of each precedes the request."""


ENDED_EVENTS = {
    "path-restored": "path-lost",
    "path-lost": "path-restored",
    "servers-reached": "servers-unreachable",
    "servers-unreachable": "servers-reached",
}
"""Events that end the state of another one."""


def explain_request(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
) -> None:
    """Print a request's log lines from standard input in order, with the state of each gateway.

    The lines of the client's other attempts at the same stream are included.
    Lines may have a prefix before the JSON object. The exit code is 1 if no line concerns the
    request; successes and frequent events are logged at a bounded rate.
    """
    found = list(explain_lines(sys.stdin, request_id))
    if not found:
        typer.echo(f"no line concerns request {request_id}", err=True)
        raise typer.Exit(1)
    for line in found:
        typer.echo(line)


def explain_lines(lines: Iterable[str], request_id: str) -> Iterator[str]:
    """The lines of one request in order of time, preceded by the known state of each node.

    If its client resumed a stream, the lines of all attempts at that stream are included.
    """
    documents = sorted(
        read_documents(lines), key=lambda document: str(document.get("timestamp", ""))
    )
    request_ids = _attempts_at_stream(documents, request_id)
    states: dict[str, dict[str, dict[str, Any]]] = {}
    shown: set[str] = set()
    for document in documents:
        node = str(document.get("node", ""))
        event = str(document.get("event", ""))
        if event == "started":
            states.pop(node, None)
        if event in STATE_EVENTS:
            _remember(states.setdefault(node, {}), event, document)
        if document.get("request_id") not in request_ids:
            continue
        if node not in shown:
            shown.add(node)
            latest = states.get(node, {}).values()
            for state_line in sorted(latest, key=lambda item: str(item.get("timestamp", ""))):
                yield f"  believed: {_render(state_line)}"
        yield _render(document)


def _attempts_at_stream(documents: list[dict[str, Any]], request_id: str) -> set[str]:
    """Ids of the attempts at the stream that a request began or resumed, with its own id."""
    resumed = (
        str(document["resumes"])
        for document in documents
        if document.get("request_id") == request_id and document.get("resumes")
    )
    first_id = next(resumed, request_id)
    later = {
        str(document["request_id"])
        for document in documents
        if document.get("resumes") == first_id and document.get("request_id")
    }
    return {request_id, first_id} | later


def _remember(state: dict[str, dict[str, Any]], event: str, document: dict[str, Any]) -> None:
    """Keep the latest line of an event; one that ends another replaces it."""
    about = str(document.get("instance", document.get("address", document.get("kind", ""))))
    state.pop(f"{ENDED_EVENTS.get(event, '')} {about}", None)
    state[f"{event} {about}"] = document


def _render(document: dict[str, Any]) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in document.items() if name not in SHARED_FIELDS
    )
    return (
        f"{document.get('timestamp', '')} {document.get('node', '')} {document['event']} {fields}"
    )
