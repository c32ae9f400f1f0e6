"""This gateway's share of the retries that all gateways may spend, by service."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.admission.retry_budget import RetryBudget, shared_retry_budget
from milletcourse.gateway.state.settings import GatewayBounds

RETRY_BUDGET_SHARE = 0.8
"""Share of the allowed retries that the gateways use; the remainder covers windows that differ
between gateways."""


class RetryBudgets:
    """Creates the budget of a service when it is first asked for."""

    def __init__(
        self, bounds: GatewayBounds, members: Callable[[], int], now: Callable[[], float]
    ) -> None:
        """Start without budgets.

        Args:
            bounds: Bounds on retries.
            members: Number of gateways that share the budgets.
            now: Monotonic time.
        """
        self._bounds = bounds
        self._members = members
        self._now = now
        self._budgets: dict[str, RetryBudget] = {}

    def set_bounds(self, bounds: GatewayBounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self.reset()

    def reset(self) -> None:
        """Divide the budgets anew."""
        self._budgets.clear()

    def budget(self, service: str) -> RetryBudget:
        """This gateway's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._new_budget()
        return budget

    def _new_budget(self) -> RetryBudget:
        return shared_retry_budget(
            self._now(),
            ratio=self._bounds.retry_ratio * RETRY_BUDGET_SHARE,
            slack=self._bounds.retry_slack * RETRY_BUDGET_SHARE,
            window_seconds=self._bounds.budget_window,
            members=self._members(),
        )
