"""`milletcourse config`: check, apply, get and compare policy objects."""

from __future__ import annotations

import asyncio
import secrets
import sys
import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from milletcourse.cli.admin_client import (
    AdminClient,
    KeyOption,
    RouterOption,
    refusal,
    with_admin,
)
from milletcourse.configuration.files import ObjectDocument, load_objects
from milletcourse.errors import ChangeUnknown, FailureError, InvalidObject
from milletcourse.settings import load_settings

WAIT_POLL_SECONDS = 0.2
WAIT_TIMEOUT_SECONDS = 60.0

app = typer.Typer(
    help="Check, apply, read and compare settings and policy objects.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

FileArgument = Annotated[Path, typer.Argument(help="TOML file.")]


@app.command("check")
def check(file: FileArgument) -> None:
    """Check a file of policy objects, or a router's settings file, offline."""
    if _is_settings(file):
        load_settings(file, {})
        sys.stdout.write(f"{file.name}: settings are valid\n")
        return
    documents = load_objects(file)
    sys.stdout.write(f"{file.name}: {len(documents)} objects are valid\n")


def _is_settings(file: Path) -> bool:
    try:
        document = tomllib.loads(file.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise FailureError(
            InvalidObject(str(error), None, "file", str(file), f"a readable TOML file ({error})")
        ) from error
    return "objects" not in document


@app.command("get")
def get(
    router: RouterOption = "",
    key: KeyOption = "",
    kind: Annotated[str, typer.Option(help="Only this kind.")] = "",
) -> None:
    """Print the objects in force at a router, one JSON document a line."""
    path = f"/admin/v1/objects?kind={kind}" if kind else "/admin/v1/objects"
    answer = with_admin(router, key, lambda admin: admin.expect("GET", path))
    for item in answer["objects"]:
        sys.stdout.write(msgspec.json.encode(item).decode() + "\n")


@app.command("diff")
def diff(file: FileArgument, router: RouterOption = "", key: KeyOption = "") -> None:
    """Show which objects of a file differ from those in force; exit 1 when any does."""
    documents = load_objects(file)
    in_force = with_admin(router, key, _objects_in_force)
    changed = [item for item in documents if _differs(item, in_force)]
    for item in changed:
        verb = "change" if (item.kind, item.name) in in_force else "add"
        sys.stdout.write(f"{verb} {item.kind} {item.name}\n")
    if changed:
        raise typer.Exit(1)


@app.command("apply")
def apply(
    file: FileArgument,
    router: RouterOption = "",
    key: KeyOption = "",
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until the change is in force at all routers.")
    ] = False,
    dry_run: Annotated[
        bool,
        typer.Option("--dry-run", help="Only show which back ends each workload gains or loses."),
    ] = False,
) -> None:
    """Compare-and-set the objects of a file that differ from those in force."""
    documents = load_objects(file)
    with_admin(router, key, lambda admin: _apply(admin, documents, wait, dry_run))


async def _objects_in_force(admin: AdminClient) -> dict[tuple[str, str], dict[str, Any]]:
    answer = await admin.expect("GET", "/admin/v1/objects")
    return {(item["kind"], item["name"]): item for item in answer["objects"]}


def _differs(document: ObjectDocument, in_force: dict[tuple[str, str], dict[str, Any]]) -> bool:
    found = in_force.get((document.kind, document.name))
    return found is None or found["spec"] != document.spec


async def _apply(
    admin: AdminClient, documents: tuple[ObjectDocument, ...], wait: bool, dry_run: bool
) -> None:
    in_force = await _objects_in_force(admin)
    revision = 0
    for document in documents:
        if not _differs(document, in_force):
            continue
        found = in_force.get((document.kind, document.name))
        version = found["version"] if found else 0
        answer = await _put(admin, document, version, dry_run)
        revision = max(revision, answer["revision"])
        sys.stdout.write(msgspec.json.encode(answer).decode() + "\n")
    if wait and revision:
        await _wait_for_rollout(admin, revision)


async def _put(
    admin: AdminClient, document: ObjectDocument, version: int, dry_run: bool
) -> dict[str, Any]:
    """Submit one change; its change id stays the same if the request is sent again."""
    body = {
        "spec": document.spec,
        "version": version,
        "change_id": secrets.token_hex(16),
        "dry_run": dry_run,
    }
    path = f"/admin/v1/objects/{document.kind}/{document.name}"
    status, answer = await admin.call("PUT", path, body)
    if status != 200:
        raise FailureError(refusal(status, answer))
    return answer


async def _wait_for_rollout(admin: AdminClient, revision: int) -> None:
    waited_seconds = 0.0
    while waited_seconds < WAIT_TIMEOUT_SECONDS:
        rollout = await admin.expect("GET", f"/admin/v1/rollout/{revision}")
        if rollout["complete"]:
            sys.stdout.write(f"revision {revision} is in force everywhere\n")
            return
        await asyncio.sleep(WAIT_POLL_SECONDS)
        waited_seconds += WAIT_POLL_SECONDS
    lagging = ", ".join(rollout["lagging"] + rollout["unreachable"])
    raise FailureError(
        ChangeUnknown(f"revision {revision} is accepted but not yet in force at {lagging}")
    )
