"""Gateways with a known defect, run as real processes to verify that a soak detects it.

`python3 tests/soak/mutants.py NAME` runs one instead of `python3 -m milletcourse.platform`.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

import msgspec

from milletcourse.exchange.attempts.planned_stop import ConnectionState, PlannedStop, StopPhase
from milletcourse.exchange.limits.quota_owner import OwnerRole
from milletcourse.exchange.limits.quota_owner_selector import QuotaOwnerSelector, SelectedOwner
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.messages import feed_messages
from milletcourse.exchange.messages.feed_messages import FeedKind
from milletcourse.exchange.messages.messages import AbortCause
from milletcourse.exchange.messages.records import ExchangeConfiguration
from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.exchange.replication.configuration_lag import ConfigurationLag, LagVerdict
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.node import GatewayNode
from milletcourse.gateway.requests.answer_relay import AnswerRelay
from milletcourse.gateway.requests.stream_handover import StreamHandover
from milletcourse.gateway.servers.call_client import MAX_REPLY_BYTES
from milletcourse.gateway.servers.server_permits import Permit, ServerPermits
from milletcourse.gateway.store.feed_client import FeedClient
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.registration import Registration
from milletcourse.platform import object_store
from milletcourse.platform.documents import ConfigurationDecoder
from milletcourse.platform.start import start
from milletcourse.runtime import responsive_timer
from milletcourse.runtime.responsive_clock import ResponsiveClock

LOSES_EVERY = 50
LATE_CONTENT_SECONDS = 3.0


def cut_at_the_signal() -> None:
    """A stop closes everything immediately."""

    async def stop(node: GatewayNode) -> None:
        node.close()

    GatewayNode.stop = stop  # type: ignore[method-assign]


def drop_what_was_sent_ahead() -> None:
    """During a stop, a connection closes after its first answer and drops pipelined requests."""
    original = ClientConnection._is_last_answer

    def is_last_answer(connection: ClientConnection) -> bool:
        return connection._edge.asks_clients_to_disconnect() or original(connection)

    ClientConnection._is_last_answer = is_last_answer  # type: ignore[method-assign]


def close_busy_connections() -> None:
    """A stop closes connections even while requests run on them."""

    def may_close(stop: PlannedStop, _: ConnectionState, now: float) -> bool:
        return stop.phase(now) is not StopPhase.DRAINING

    PlannedStop.may_close = may_close  # type: ignore[method-assign]


def lose_answers() -> None:
    """Every fiftieth server answer aborts its client's connection."""
    original = AnswerRelay.pass_whole
    passed = 0

    def pass_whole(relay: AnswerRelay, *answer: object) -> None:
        nonlocal passed
        passed += 1
        if passed % LOSES_EVERY == 0:
            relay._client.abort()
            return
        original(relay, *answer)  # type: ignore[arg-type]

    AnswerRelay.pass_whole = pass_whole  # type: ignore[method-assign]


def end_the_running_answer_first() -> None:
    """A silent server's attempt is aborted before another server has resumed the stream."""
    original = StreamHandover.on_silent

    def on_silent(handover: StreamHandover) -> None:
        original(handover)
        if handover._successor is not None and handover.current is not None:
            handover.current.attempt.end(AbortCause.SERVER_SILENT)

    StreamHandover.on_silent = on_silent  # type: ignore[method-assign]


def take_a_pause_for_silence() -> None:
    """Time in which the process was stopped counts as server silence, and pending input is not read
    before the decision.
    """
    ResponsiveClock.seconds = lambda clock: clock._now()  # type: ignore[method-assign]
    responsive_timer.RECHECK_DELAY_SECONDS = 0.0


def read_no_limit() -> None:
    """Server limits are ignored in server selection."""

    async def take(permits: ServerPermits, instance: Instance, *_: int) -> Permit:
        return permits.without_limit(instance)

    ServerPermits.take = take  # type: ignore[method-assign]
    ServerPermits.blocking_cause = lambda *_: None  # type: ignore[method-assign]


def keep_limits_alone() -> None:
    """Each gateway applies server limits alone, without requesting permits from a quota owner."""

    def select(selector: QuotaOwnerSelector, *_: object) -> SelectedOwner:
        return SelectedOwner(selector._own_name, OwnerRole.HOME)

    QuotaOwnerSelector.select = select  # type: ignore[method-assign]


def ask_resting_servers() -> None:
    """Back-off requests of servers are received and ignored."""
    ServerSignals.on_back_off = lambda *_: False  # type: ignore[method-assign]


def use_leaving_servers() -> None:
    """Draining announced in answers is ignored; only the server's store entry counts."""
    ServerSignals.on_leaving = lambda *_, **__: False  # type: ignore[method-assign]


def know_no_era() -> None:
    """A revision without its era is used as a position in the store's history."""
    object_store._read_era = lambda reply: 0


def leave_entries_lost() -> None:
    """A gateway's entry that a restore of the store lost is not rewritten."""
    Registration._compare_with_list = lambda _: None  # type: ignore[method-assign]


def serve_by_an_old_configuration() -> None:
    """Announced configurations arrive late, and requests are not refused in the meantime."""
    original = FeedClient._fetch_one

    async def fetch_one(client: FeedClient, *question: object) -> object:
        await asyncio.sleep(LATE_CONTENT_SECONDS)
        return await original(client, *question)  # type: ignore[arg-type]

    FeedClient._fetch_one = fetch_one  # type: ignore[assignment,method-assign]
    ConfigurationLag.judge = lambda *_: LagVerdict.UNAFFECTED  # type: ignore[method-assign]
    ConfigurationLag.may_affect = lambda *_: False  # type: ignore[method-assign]


def keep_old_routes() -> None:
    """Each configuration comes into force with the routes of the first one."""
    original = ConfigurationDecoder.decode
    first: list[ExchangeConfiguration] = []

    def decode(decoder: ConfigurationDecoder, spec: bytes) -> ExchangeConfiguration:
        found = original(decoder, spec)
        first.append(found)
        return msgspec.structs.replace(found, routes=first[0].routes)

    ConfigurationDecoder.decode = decode  # type: ignore[method-assign]


def copy_whole_contents() -> None:
    """Followers receive each content in full instead of as a patch."""
    original = KindMirror.since

    def since(
        mirror: KindMirror, position: StorePosition | None, _: bool = False
    ) -> FeedKind | None:
        return original(mirror, position)

    KindMirror.since = since  # type: ignore[method-assign]
    feed_messages.COMPRESSED_FROM_BYTES = MAX_REPLY_BYTES


MUTANTS: dict[str, Callable[[], None]] = {
    "cut-at-the-signal": cut_at_the_signal,
    "drop-what-was-sent-ahead": drop_what_was_sent_ahead,
    "close-busy-connections": close_busy_connections,
    "lose-answers": lose_answers,
}
"""Defects that planned maintenance reveals."""
SILENCE_MUTANTS: dict[str, Callable[[], None]] = {
    "end-the-running-answer-first": end_the_running_answer_first,
    "take-a-pause-for-silence": take_a_pause_for_silence,
}
"""Defects that only silent and full servers, or suspended gateways, reveal."""
LIMIT_MUTANTS: dict[str, Callable[[], None]] = {
    "read-no-limit": read_no_limit,
    "keep-limits-alone": keep_limits_alone,
}
"""Defects that only servers with rate limits reveal."""
SIGNAL_MUTANTS: dict[str, Callable[[], None]] = {
    "ask-resting-servers": ask_resting_servers,
    "use-leaving-servers": use_leaving_servers,
}
"""Defects that only backing-off and draining servers reveal."""
COPY_MUTANTS: dict[str, Callable[[], None]] = {
    "know-no-era": know_no_era,
    "leave-entries-lost": leave_entries_lost,
}
"""Defects that only restores of the store from older snapshots reveal; the second one shows only if
a snapshot lacks gateway entries."""
LARGE_MUTANTS: dict[str, Callable[[], None]] = {
    "serve-by-an-old-configuration": serve_by_an_old_configuration,
    "keep-old-routes": keep_old_routes,
    "copy-whole-contents": copy_whole_contents,
}
"""Defects that only large configurations over links of low bandwidth reveal."""
ALL_MUTANTS = (
    MUTANTS | SILENCE_MUTANTS | LIMIT_MUTANTS | SIGNAL_MUTANTS | COPY_MUTANTS | LARGE_MUTANTS
)

if __name__ == "__main__":
    ALL_MUTANTS[sys.argv[1]]()
    start(sys.argv[2:])
