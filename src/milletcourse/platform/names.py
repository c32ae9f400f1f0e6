"""Names on the platform: header fields, paths, kinds of objects."""

from __future__ import annotations

from milletcourse.exchange.messages.dialect import HeaderNames
from milletcourse.gateway.adapter import ObjectKinds

HEADER_NAMES = HeaderNames(
    request_id="Request-Id",
    key="Api-Key",
    tenant="Tenant",
    deadline_ms="Deadline-Ms",
    last_event_id="Last-Event-Id",
    resumes="Resumes",
    model="Model",
    token_usage="Token-Usage",
    prompt_parts="Prompt-Prefix",
    instance="Expected-Instance",
    weight_version="Expected-Version",
    cache_salt="Cache-Salt",
    cache_source="Kv-Source",
    cache_target="Kv-Target",
    priority="Request-Priority",
    signature="Server-Signature",
    not_executed="Not-Executed",
    answer_instance="Instance-Id",
    answer_weight_version="Weight-Versions",
    request_limit="Server-Limit",
    rejection_limit="Server-Brittle",
    leaving="Server-Leaving",
    router_only=("Kv-From", "Kv-Backup", "Hold", "Pin-Ms"),
)
KINDS = ObjectKinds(
    configuration="config",
    configuration_name="main",
    instances="servers",
    targets="versions",
    gateways="milletcourse-gateways",
    leases="milletcourse-leases",
    origins="milletcourse-stream-origins",
    rollout_lease="roll-out",
)
STORE_ERA_HEADER = b"store-era"
"""Header field of the store's answers, in lower case."""
READY_PATH = "/milletcourse/ready"
OBJECTS_PATH = "/milletcourse/objects"
ORDER_PATH = "/milletcourse/order"
REPORT_PATH = "/milletcourse/report"
SETTINGS_VARIABLE = "MILLETCOURSE_SETTINGS"
