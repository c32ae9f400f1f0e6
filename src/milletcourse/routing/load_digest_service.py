"""Exchanges load digests of followed engines with the routers of the same place."""

from __future__ import annotations

from milletcourse.backends.engine_messages import EngineLoad
from milletcourse.errors import FailureError
from milletcourse.membership.failure_detector import FailureDetector
from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.routing.load import LoadTable
from milletcourse.routing.load_digest import (
    FOLLOW_ALL_MAX_ENGINES,
    DigestEntry,
    digest_entry,
    engine_key,
    followed_engines,
)
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.datagrams import DatagramEndpoint
from milletcourse.runtime.tasks import TaskSet
from milletcourse.wire.envelope import Envelope, EnvelopeCodec, MessageType
from milletcourse.wire.load_digest import MAX_ENTRIES, decode_load_digest, encode_load_digest

DIGEST_SECONDS = 3.0
"""Keeps digests at a third of the 5 KB/s budget of control traffic in a place with 32 routers."""


class LoadDigestService:
    """Sends and receives load digests."""

    def __init__(
        self,
        policy: CompiledPolicy,
        loads: LoadTable,
        detector: FailureDetector,
        codec: EnvelopeCodec,
        clock: Clock,
        tasks: TaskSet,
    ) -> None:
        self._policy = policy
        self._loads = loads
        self._detector = detector
        self._codec = codec
        self._clock = clock
        self._tasks = tasks
        self._endpoint: DatagramEndpoint | None = None
        self._names: dict[int, str] = {}

    def start(self, endpoint: DatagramEndpoint) -> None:
        """Start sending."""
        self._endpoint = endpoint
        self._tasks.spawn(self._run(), "load-digest")

    def followed(self) -> list[str]:
        """Engines that this router polls itself."""
        places = {name: spec.place for name, spec in self._policy.engines.items()}
        return followed_engines(self._detector.own, self._detector.live(), places)

    def on_envelope(self, envelope: Envelope) -> None:
        """Apply a digest of another router."""
        try:
            entries = decode_load_digest(envelope.body)
        except FailureError:
            return
        now = self._clock.monotonic()
        for entry in entries:
            name = self._name(entry.engine_key)
            if name is not None:
                self._loads.on_report(name, self._load(name, entry), now)

    def _name(self, key: int) -> str | None:
        if len(self._names) != len(self._policy.engines):
            self._names = {engine_key(name): name for name in self._policy.engines}
        name = self._names.get(key)
        return name if name in self._policy.engines else None

    def _load(self, name: str, entry: DigestEntry) -> EngineLoad:
        models = {}
        if entry.serving:
            for model in self._policy.engines[name].models:
                spec = self._policy.models.get(model)
                models[model] = spec.weight_version if spec else ""
        return EngineLoad(
            incarnation=f"digest/{entry.incarnation_key}",
            queued_prefill_tokens=entry.queued_prefill_tokens,
            running=0,
            waiting=0,
            free_blocks=0,
            prefill_tokens_per_second=entry.prefill_tokens_per_second,
            models=models,
            leaving=entry.leaving,
            age_seconds=DIGEST_SECONDS / 2,
        )

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(DIGEST_SECONDS)
            if len(self._policy.engines) > FOLLOW_ALL_MAX_ENGINES:
                self._send()

    def _send(self) -> None:
        own = self._detector.own
        entries = self._entries()
        peers = [
            item
            for item in self._detector.live()
            if item.place == own.place and item.name != own.name
        ]
        for start in range(0, len(entries), MAX_ENTRIES):
            body = encode_load_digest(entries[start : start + MAX_ENTRIES])
            envelope = Envelope(MessageType.LOAD_DIGEST, own.name, own.incarnation, body)
            payload = self._codec.encode(envelope)
            for peer in peers:
                if self._endpoint is not None:
                    self._endpoint.send(payload, peer.datagram_address)

    def _entries(self) -> list[DigestEntry]:
        entries = []
        for name in self.followed():
            report = self._loads.state(name).report
            spec = self._policy.engines[name]
            if report is None:
                continue
            serving = all(
                model in self._policy.models
                and report.models.get(model) == self._policy.models[model].weight_version
                for model in spec.models
            )
            entries.append(digest_entry(name, report, serving))
        return entries
