"""Messages of the engine protocol.

The form is the OpenAI-compatible completions API as engines publish it, with the members that
common engines add: `cache_salt`, `priority` and `kv_transfer_params`, plus resume and cancel of
streams, cache events, load reports and fenced orders.
"""

from __future__ import annotations

import msgspec

INCARNATION_HEADER = "X-Engine-Incarnation"


class KvTransfer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Where an engine may import missing blocks from before it computes.

    Attributes:
        source: Address of a KV store or an engine.
        blocks: Number of leading blocks to import.
    """

    source: str
    blocks: int


class EngineCompletion(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `POST /v1/completions` at an engine.

    Attributes:
        model: Model name.
        prompt: Rendered prompt.
        max_tokens: Number of tokens to generate.
        request_id: Chosen by the router, unique for the request.
        attempt: Rises by one each time the router starts the answer at an engine anew.
        cache_salt: Hex root of the hash chain.
        weight_version: Version that must serve; the engine refuses another.
        adapter: Adapter name, empty for none.
        priority: Lower runs first.
        generated: Text generated so far by a former attempt, to be continued.
        generated_tokens: Number of tokens in `generated`; the first new token has this offset.
        kv_transfer_params: Import order, if any.
        tenant: Opaque name for the engine's own records of provenance.
        stream: Always true between router and engine.
    """

    model: str
    prompt: str
    max_tokens: int
    request_id: str
    attempt: int
    cache_salt: str
    weight_version: str
    adapter: str = ""
    priority: int = 1
    generated: str = ""
    generated_tokens: int = 0
    kv_transfer_params: KvTransfer | None = None
    tenant: str = ""
    stream: bool = True


class EngineUsage(msgspec.Struct, frozen=True):
    """Token counts of a finished answer."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class EngineToken(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of an engine's answer stream.

    Attributes:
        id: The request id.
        attempt: The attempt that the event belongs to.
        offset: Index of the token in the answer.
        text: The token's text; empty in the last event.
        usage: Present in the last event only.
        error: Code of a failure that ends the stream, if any.
    """

    id: str
    attempt: int
    offset: int
    text: str = ""
    usage: EngineUsage | None = None
    error: str = ""


class EngineLoad(msgspec.Struct, frozen=True):
    """Load report of an engine.

    Attributes:
        incarnation: Changes with each start of the engine.
        queued_prefill_tokens: Prompt tokens that wait for computation.
        queued_by_priority: The same, split by the requests' priority.
        running: Sequences that generate.
        waiting: Requests that have not started.
        free_blocks: Blocks not pinned by a running request.
        prefill_tokens_per_second: Speed of prompt computation.
        models: Loaded weight version by model.
        leaving: True when the engine is being stopped.
        age_seconds: Age of the report when it was answered.
    """

    incarnation: str
    queued_prefill_tokens: int
    running: int
    waiting: int
    free_blocks: int
    prefill_tokens_per_second: float
    models: dict[str, str]
    leaving: bool = False
    age_seconds: float = 0.0
    queued_by_priority: dict[int, int] = {}


class CacheEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """Blocks stored and evicted, with the event's sequence number."""

    sequence: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class CacheEvents(msgspec.Struct, frozen=True):
    """A page of cache events.

    Attributes:
        incarnation: The engine's incarnation.
        first_sequence: Sequence number of the first event of the page.
        events: The events; a jump in their sequence numbers means that some were lost.
        next_sequence: Sequence number to ask for next.
    """

    incarnation: str
    first_sequence: int
    events: tuple[CacheEvent, ...]
    next_sequence: int


class EngineFeed(msgspec.Struct, frozen=True):
    """Load and cache events in one answer, so that a follower asks once a period."""

    load: EngineLoad
    events: CacheEvents


class EngineOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """A fenced order to an engine.

    Attributes:
        fencing_token: Token of the lease under which the order is given.
        kind: `load`, `unload` or `drain`.
        model: Model the order is about.
        weight_version: Version to load.
    """

    fencing_token: int
    kind: str
    model: str = ""
    weight_version: str = ""


class KvImport(msgspec.Struct, frozen=True):
    """Order to import blocks in the background."""

    source: str
    blocks: tuple[str, ...]


class KvExport(msgspec.Struct, frozen=True):
    """Order to export blocks to a KV store."""

    store: str
    blocks: tuple[str, ...]


class KvBlock(msgspec.Struct, frozen=True):
    """A block of KV cache as it travels between engines and stores.

    The payload itself is left out in the stand-ins; `payload_bytes` gives its size.

    Attributes:
        block: Hex chain hash, which is the store's key.
        payload_bytes: Size of the KV data.
        producer_tenant: Ground truth for checks: tenant whose request computed it.
        producer_version: Ground truth for checks: weight version that computed it.
        producer_incarnation: Ground truth for checks: engine incarnation that computed it.
    """

    block: str
    payload_bytes: int
    producer_tenant: str
    producer_version: str
    producer_incarnation: str


class KvBlocks(msgspec.Struct, frozen=True):
    """Several blocks."""

    blocks: tuple[KvBlock, ...]


class KvKeys(msgspec.Struct, frozen=True):
    """Hex hashes asked for, in chain order."""

    blocks: tuple[str, ...]
