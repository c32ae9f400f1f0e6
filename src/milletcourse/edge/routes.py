"""URL routes of a router."""

from __future__ import annotations

import random

import falcon.asgi

from milletcourse.edge.administration import (
    Administration,
    ExplainResource,
    MembersResource,
    ObjectResource,
    ObjectsResource,
    RolloutResource,
)
from milletcourse.edge.applications import ApplicationsSink
from milletcourse.edge.asgi import new_application
from milletcourse.edge.context import EdgeContext
from milletcourse.edge.health import LiveResource, MetricsResource, ReadyResource
from milletcourse.edge.inference import InferenceResource, ModelsResource
from milletcourse.edge.internal import InternalResource
from milletcourse.peers import PEER_PATH, PeerServer

APPLICATIONS_PREFIX = r"/apps/(?P<application>[^/]+)(?:/(?P<path>.*))?"


def build_routes(
    context: EdgeContext,
    admin: Administration,
    applications: ApplicationsSink,
    peers: PeerServer,
    random_source: random.Random,
) -> falcon.asgi.App:
    """Build the falcon application of a router."""
    inference = InferenceResource(context, random_source)
    application = new_application()
    application.add_route("/v1/chat/completions", inference, suffix="chat")
    application.add_route("/v1/completions", inference, suffix="plain")
    application.add_route("/v1/models", ModelsResource(context))
    application.add_sink(applications, prefix=APPLICATIONS_PREFIX)
    application.add_route("/livez", LiveResource())
    application.add_route("/readyz", ReadyResource(context))
    application.add_route("/metrics", MetricsResource(context))
    application.add_route(PEER_PATH, InternalResource(peers))
    application.add_route("/admin/v1/objects", ObjectsResource(admin))
    application.add_route("/admin/v1/objects/{kind}/{name}", ObjectResource(admin))
    application.add_route("/admin/v1/explain", ExplainResource(admin))
    application.add_route("/admin/v1/members", MembersResource(admin))
    application.add_route("/admin/v1/rollout/{revision}", RolloutResource(admin))
    return application
