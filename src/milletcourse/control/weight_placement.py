"""Plans which weights engines load; performs no I/O.

Compares the weight versions in the Model objects with those that engines report and orders a
bounded number of loads at a time. A model is never unloaded from its last serving engine: during a
version change, the engines of a place switch one after another while the others keep serving.
"""

from __future__ import annotations

from dataclasses import dataclass

from milletcourse.policy.objects import EngineSpec, ModelSpec
from milletcourse.routing.load import EngineLoadState

MAX_LOADS_AT_ONCE = 2
"""The weight store slows down when more than two or three servers load at the same time."""


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order for one engine to load one weight version."""

    engine: str
    model: str
    weight_version: str


def plan_loads(
    engines: dict[str, EngineSpec],
    models: dict[str, ModelSpec],
    states: dict[str, EngineLoadState],
    running: frozenset[str],
) -> list[LoadOrder]:
    """Return the load orders to send now.

    Args:
        engines: Engines of the place.
        models: All models.
        states: Load state by engine; engines without a report get no orders.
        running: Engines with an order in progress.

    Returns:
        Orders for different engines, so that at most `MAX_LOADS_AT_ONCE` are in progress.
    """
    budget = MAX_LOADS_AT_ONCE - len(running)
    orders: list[LoadOrder] = []
    for name in sorted(engines):
        if len(orders) >= budget:
            break
        if name in running or engines[name].leaving:
            continue
        order = _next_order(name, engines[name], models, states)
        if order is not None:
            orders.append(order)
    return orders


def _next_order(
    name: str,
    engine: EngineSpec,
    models: dict[str, ModelSpec],
    states: dict[str, EngineLoadState],
) -> LoadOrder | None:
    state = states.get(name)
    if state is None or state.report is None or state.report.leaving:
        return None
    for model in engine.models:
        wanted = models.get(model)
        if wanted is not None and state.report.models.get(model) != wanted.weight_version:
            return LoadOrder(name, model, wanted.weight_version)
    return None
