"""`milletcourse explain`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated
from urllib.parse import urlencode

import msgspec
import typer
from returns.pipeline import is_successful

from milletcourse.cli.admin_client import KeyOption, RouterOption, with_admin
from milletcourse.configuration.files import load_objects
from milletcourse.errors import FailureError
from milletcourse.policy.compiled import CompiledPolicy, RequestFacts
from milletcourse.policy.explain import Explanation, explain
from milletcourse.policy.objects import ObjectKey, parse_spec


def run_explain(
    tenant: Annotated[str, typer.Option(help="Tenant of the request.")],
    model: Annotated[str, typer.Option(help="Requested model.")] = "",
    application: Annotated[str, typer.Option(help="Requested application.")] = "",
    request_class: Annotated[str, typer.Option("--class", help="Request class.")] = "default",
    file: Annotated[
        Path | None, typer.Option(help="Explain a file of objects offline instead of a router.")
    ] = None,
    router: RouterOption = "",
    key: KeyOption = "",
) -> None:
    """Show for each engine whether a tenant's request is permitted, and the reason if not."""
    facts = RequestFacts(tenant, model, application, request_class)
    explanation = _offline(file, facts) if file else _online(facts, router, key)
    sys.stdout.write(f"workload      {explanation.workload}\n")
    sys.stdout.write(f"reuse scope   {explanation.reuse_scope}\n")
    sys.stdout.write(f"reuse tenants {', '.join(explanation.reuse_tenants)}\n")
    for item in explanation.backends:
        verdict = "permitted" if item.permitted else f"refused: {item.reason}"
        sys.stdout.write(f"{item.name:16} {item.place:16} {verdict}\n")


def _offline(file: Path, facts: RequestFacts) -> Explanation:
    policy = CompiledPolicy()
    for item in load_objects(file):
        spec = parse_spec(item.kind, item.name, item.spec).unwrap()
        policy.apply(ObjectKey(item.kind, item.name), spec)
    result = explain(policy, facts)
    if not is_successful(result):
        raise FailureError(result.failure())
    return result.unwrap()


def _online(facts: RequestFacts, router: str, key: str) -> Explanation:
    query = {
        "tenant": facts.tenant,
        "model": facts.model,
        "application": facts.application,
        "class": facts.request_class,
    }
    path = f"/admin/v1/explain?{urlencode({k: v for k, v in query.items() if v})}"
    answer = with_admin(router, key, lambda admin: admin.expect("GET", path))
    return msgspec.convert(answer, Explanation)
