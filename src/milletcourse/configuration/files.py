"""Reads policy objects from TOML files and validates them before they are sent.

A file contains `[[objects]]` tables with `kind`, `name` and `spec`.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec
from returns.pipeline import is_successful

from milletcourse.errors import FailureError, InvalidObject
from milletcourse.policy.objects import (
    AppServerSpec,
    EngineSpec,
    KvStoreSpec,
    RouterSetSpec,
    Spec,
    WorkloadSpec,
    parse_spec,
)


class ObjectDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One object in a file."""

    kind: str
    name: str
    spec: dict[str, Any]


class _File(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    objects: tuple[ObjectDocument, ...] = ()


def load_objects(path: Path) -> tuple[ObjectDocument, ...]:
    """Read and validate a file.

    Raises:
        FailureError: `InvalidObject` with the first invalid key.
    """
    try:
        parsed = tomllib.loads(path.read_text())
        documents = msgspec.convert(parsed, _File).objects
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise _invalid("file", str(path), f"a readable TOML file ({error})") from error
    except msgspec.ValidationError as error:
        raise _invalid("objects", str(path), str(error)) from error
    check_objects(documents)
    return documents


def check_objects(documents: tuple[ObjectDocument, ...]) -> None:
    """Validate the objects and the references between them.

    Raises:
        FailureError: `InvalidObject` with the first invalid key.
    """
    specs: dict[tuple[str, str], Spec] = {}
    for document in documents:
        key = (document.kind, document.name)
        if key in specs:
            raise _invalid(f"{document.kind}.{document.name}", document.name, "a unique name")
        parsed = parse_spec(document.kind, document.name, document.spec)
        if not is_successful(parsed):
            raise FailureError(parsed.failure())
        specs[key] = parsed.unwrap()
    for (kind, name), spec in specs.items():
        _check_references(f"{kind}.{name}", spec, specs)


def _check_references(path: str, spec: Spec, specs: dict[tuple[str, str], Spec]) -> None:
    if isinstance(spec, EngineSpec | KvStoreSpec | AppServerSpec):
        _check_reference(f"{path}.place", "Place", spec.place, specs)
    if isinstance(spec, EngineSpec):
        for model in spec.models:
            _check_reference(f"{path}.models", "Model", model, specs)
    if isinstance(spec, WorkloadSpec):
        for model in spec.match.models:
            _check_reference(f"{path}.match.models", "Model", model, specs)
    if isinstance(spec, RouterSetSpec):
        for member in spec.members:
            _check_reference(f"{path}.members.place", "Place", member.place, specs)


def _check_reference(key: str, kind: str, name: str, specs: dict[tuple[str, str], Spec]) -> None:
    if (kind, name) not in specs:
        names = ", ".join(sorted(item for found, item in specs if found == kind)) or "none defined"
        raise _invalid(key, name, f"a {kind}: {names}")


def _invalid(key: str, value: str, allowed: str) -> FailureError:
    return FailureError(InvalidObject(f"{key}: {value}", None, key, value, allowed))
