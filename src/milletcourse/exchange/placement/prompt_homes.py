"""Home servers of prompts with shared parts, the same ones at all gateways; no input/output.

A prompt's home is found by consistent hashing, so that gateways send prompts with the same shared
parts to the same server without exchanging messages.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.placement.long_prompt_servers import long_prompt_servers
from milletcourse.exchange.placement.prompt_chain import prompt_chain
from milletcourse.exchange.placement.reuse_scope import is_of_one_tenant
from milletcourse.exchange.servers.instance_table import InstanceTable
from milletcourse.routing.home_ring import HomeRing


class _ServerRoles(msgspec.Struct, frozen=True):
    """Roles of the servers of one service.

    Attributes:
        generation: Generation of the instance table from which the roles were computed.
        for_long_prompts: Names of the servers that take long prompts and are no homes.
        ring: Hash ring of the homes' addresses.
        names: Address -> name of the incarnation at it.
    """

    generation: int
    for_long_prompts: frozenset[str]
    ring: HomeRing
    names: dict[str, str]


class PromptHomes:
    """Homes of the prompts of each service.

    Servers are placed on the ring by address, so that a restarted server keeps its position. By
    names of incarnations each restart would move two sets of prompts: those of the previous
    incarnation, and those that the new incarnation takes from homes that still have them cached.
    """

    def __init__(self, table: InstanceTable, separates_long_prompts: bool) -> None:
        """Create the homes among the servers of a table.

        Args:
            table: The servers.
            separates_long_prompts: Whether some servers take long prompts and are no homes.
        """
        self._table = table
        self._separates_long_prompts = separates_long_prompts
        self._roles: dict[str, _ServerRoles] = {}

    def ranked_homes(self, service: str, request: ExchangeRequest, scope: str) -> Iterator[str]:
        """Names of all homes, in the order of preference for a prompt's shared parts.

        Args:
            service: Service that the request goes to.
            request: The request.
            scope: Reuse scope of its KV cache without the weight version.
        """
        chain = prompt_chain(request, scope)
        if not chain.shared:
            return iter(())
        # A single tenant has few prompts: at one server they all share their first part.
        depth = 1 if is_of_one_tenant(scope) else chain.shared
        roles = self._roles_of(service)
        return (roles.names[address] for address in roles.ring.walk(chain.keys[depth - 1]))

    def for_long_prompts(self, service: str) -> frozenset[str]:
        """Names of the servers that take long prompts; empty when all are homes."""
        return self._roles_of(service).for_long_prompts

    def _roles_of(self, service: str) -> _ServerRoles:
        roles = self._roles.get(service)
        if roles is None or roles.generation != self._table.generation:
            roles = self._roles[service] = self._new_roles(service)
        return roles

    def _new_roles(self, service: str) -> _ServerRoles:
        instances = self._table.of_service(service).values()
        for_long = long_prompt_servers(instances) if self._separates_long_prompts else frozenset()
        names = {
            instance.record.address: instance.name
            for instance in instances
            if instance.name not in for_long
        }
        return _ServerRoles(self._table.generation, for_long, HomeRing(sorted(names)), names)
