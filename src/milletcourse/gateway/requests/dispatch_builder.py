"""Builds the headers that a gateway adds to one attempt, and records what was sent to KV stores."""

from __future__ import annotations

from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.messages.messages import Dispatch
from milletcourse.exchange.messages.records import ServiceRecord
from milletcourse.exchange.placement.prompt_chain import PromptChain, prompt_chain
from milletcourse.exchange.placement.reuse_scope import cache_salt
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.state.context import GatewayContext

MIN_TRANSFERRED_SHARED_TOKENS = 32
"""Shorter shared prefixes are computed again rather than transferred, since servers cache blocks of
16 tokens."""


CONTINUATION_PRIORITY = 4
"""Rank of a stream that goes on, one above that of requests without a rank: its client has already
read events, and bears less silence than one that waits for the first."""


class DispatchBuilder:
    """Builds the dispatch of one attempt.

    Attributes:
        weight_version: Weight version that the server must run, None for plain applications.
        cache_salt: Salt of the latest dispatch; empty without one.
    """

    def __init__(self, context: GatewayContext, job: ExchangeJob, instance: Instance) -> None:
        self.weight_version: int | None = None
        self.cache_salt = ""
        self._context = context
        self._job = job
        self._instance = instance
        self._sent_chain: PromptChain | None = None
        self._sent_to = ""

    def build(self, last_event_id: str, goes_on: bool) -> Dispatch:
        """Build the dispatch from the current state.

        Args:
            last_event_id: Id of the event after which a stream resumes; empty for none.
            goes_on: Whether it is a stream that has begun.
        """
        job = self._job
        dispatch = Dispatch(
            instance=self._instance.name,
            deadline_seconds=job.deadline_at - self._context.now(),
            tenant=job.tenant.name if job.tenant else "",
            last_event_id=last_event_id,
            priority=CONTINUATION_PRIORITY if goes_on else None,
        )
        if job.service.models:
            self._add_model(dispatch)
        return dispatch

    def _add_model(self, dispatch: Dispatch) -> None:
        job = self._job
        context = self._context
        model = job.request.model
        version = self.weight_version = self._instance.version(model)
        if version is None:
            return
        if context.gate.is_superseded(model, version, context.now()):
            context.record.tally.on_superseded(job.route.name)
        dispatch.weight_version = version
        dispatch.cache_salt = self.cache_salt = cache_salt(job.scope, version)
        if job.request.shared_tokens >= MIN_TRANSFERRED_SHARED_TOKENS:
            self._add_kv_cache_stores(dispatch)

    def _add_kv_cache_stores(self, dispatch: Dispatch) -> None:
        """Name the KV store that the server reads cached state from and writes its own to."""
        chain = prompt_chain(self._job.request, dispatch.cache_salt)
        store = self._store(chain)
        if store is None:
            return
        dispatch.cache_source = store.store_address
        if self._should_send(store, chain):
            dispatch.cache_target = store.store_address
            self._sent_chain = chain
            self._sent_to = store.store_address

    def _store(self, chain: PromptChain) -> ServiceRecord | None:
        """The KV store for this prompt's state, None when there is none or it is unreachable."""
        job = self._job
        context = self._context
        if Mechanism.KV_CACHE_STORE not in context.mechanisms:
            return None
        zone = context.selector.home_zone(job.service, job.request, job.scope)
        store = job.table.cache_store(
            zone or self._instance.record.zone, chain.keys[chain.shared - 1]
        )
        if store is None or store.store_address in context.cache_store_availability.unreachable:
            return None
        return store

    def _should_send(self, store: ServiceRecord, chain: PromptChain) -> bool:
        context = self._context
        if Mechanism.STORE_CAPACITY not in context.mechanisms:
            return True
        return context.cache_stores.should_send(
            store, chain, context.members, context.settings.bounds.reuse, context.now()
        )

    def on_whole_answer(self) -> None:
        """Record that the server, having read the whole prompt, sends its state to the KV store."""
        if self._sent_chain is not None:
            self._context.cache_stores.on_sent(self._sent_to, self._sent_chain)
