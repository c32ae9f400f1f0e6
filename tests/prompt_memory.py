"""Prompt parts that stand-in model servers keep, and whether their use crosses an isolation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from gateway_standin import ReceivedRequest

IsIsolated = Callable[[str], bool]
"""Whether a tenant is isolated now."""


@dataclass(frozen=True)
class KeptPart:
    """A prompt part in the memory of a server or of a store of kept parts.

    Attributes:
        maker: Tenant whose request made it.
        was_isolated: The tenant was isolated at that time.
    """

    maker: str
    was_isolated: bool


@dataclass
class PromptMemory:
    """Parts of one server, found only under the salt and after the parts they were made with.

    Attributes:
        is_isolated: Tells which tenants are isolated.
        shared_reads: Parts that another tenant's request may use, and that were read anew.
        violations: Uses of a part of another tenant, of which either was isolated.
    """

    is_isolated: IsIsolated
    shared_reads: int = 0
    violations: list[str] = field(default_factory=list)
    _kept: dict[tuple[str, ...], KeptPart] = field(default_factory=dict)

    def run(self, request: ReceivedRequest) -> None:
        """Read a request's prompt, from what is kept as far as possible."""
        tenant = request.headers.get("tenant", "")
        salt = request.headers.get("cache-salt", "")
        names = [part.split(":")[0] for part in request.headers["prompt-prefix"].split(",")]
        for depth in range(1, len(names) + 1):
            path = (salt, *names[:depth])
            kept = self._kept.get(path)
            if kept is None:
                self._kept[path] = KeptPart(tenant, self.is_isolated(tenant))
                self.shared_reads += depth < len(names)
            elif kept.maker != tenant and self._is_walled(kept, tenant):
                self.violations.append(f"{request.request_id} of {tenant} used {path} of {kept}")

    def _is_walled(self, kept: KeptPart, tenant: str) -> bool:
        return kept.was_isolated or self.is_isolated(kept.maker) or self.is_isolated(tenant)
