"""Gateways with a known defect, run as real processes to see that a soak finds it.

`python3 tests/soak/mutants.py NAME` runs one in the place of `python3 -m milletcourse.platform`.
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
    """A stop ends everything at once."""

    async def stop(node: GatewayNode) -> None:
        node.close()

    GatewayNode.stop = stop  # type: ignore[method-assign]


def drop_what_was_sent_ahead() -> None:
    """The first answer in a stop is the last one, whatever has been read behind it."""
    original = ClientConnection._is_last_answer

    def is_last_answer(connection: ClientConnection) -> bool:
        return connection._edge.asks_clients_to_disconnect() or original(connection)

    ClientConnection._is_last_answer = is_last_answer  # type: ignore[method-assign]


def close_busy_connections() -> None:
    """A stop closes connections whatever is on them."""

    def may_close(stop: PlannedStop, _: ConnectionState, now: float) -> bool:
        return stop.phase(now) is not StopPhase.DRAINING

    PlannedStop.may_close = may_close  # type: ignore[method-assign]


def lose_answers() -> None:
    """Some answers of servers end their client's connection, on any day."""
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
    """A silent server is left before another one has the stream."""
    original = StreamHandover.on_silent

    def on_silent(handover: StreamHandover) -> None:
        original(handover)
        if handover._successor is not None and handover.current is not None:
            handover.current.attempt.end(AbortCause.SERVER_SILENT)

    StreamHandover.on_silent = on_silent  # type: ignore[method-assign]


def take_a_pause_for_silence() -> None:
    """Time in which the process stood still counts, and nothing is read before the judgement."""
    ResponsiveClock.seconds = lambda clock: clock._now()  # type: ignore[method-assign]
    responsive_timer.RECHECK_DELAY_SECONDS = 0.0


def read_no_limit() -> None:
    """Servers are chosen as if they had named no limit."""

    async def take(permits: ServerPermits, instance: Instance, _: int) -> Permit:
        return permits.without_limit(instance)

    ServerPermits.take = take  # type: ignore[method-assign]
    ServerPermits.blocking_cause = lambda *_: None  # type: ignore[method-assign]


def keep_limits_alone() -> None:
    """Each gateway keeps to the limits of servers, and none asks another one."""

    def lender(homes: QuotaOwnerSelector, *_: object) -> SelectedOwner:
        return SelectedOwner(homes._own_name, OwnerRole.HOME)

    QuotaOwnerSelector.select = lender  # type: ignore[method-assign]


def ask_resting_servers() -> None:
    """A rest is heard, and set aside."""
    ServerSignals.on_back_off = lambda *_: False  # type: ignore[method-assign]


def use_leaving_servers() -> None:
    """That a server leaves is read in its entry alone."""
    ServerSignals.on_leaving = lambda *_, **__: False  # type: ignore[method-assign]


def know_no_era() -> None:
    """A revision is taken for a place in the store's history."""
    object_store._read_era = lambda reply: 0


def leave_entries_lost() -> None:
    """What the store lost of a gateway isn't written again."""
    Registration._compare_with_list = lambda _: None  # type: ignore[method-assign]


def serve_by_an_old_configuration() -> None:
    """Announced contents come late, and nothing is refused meanwhile."""
    original = FeedClient._fetch_one

    async def fetch_one(client: FeedClient, *question: object) -> object:
        await asyncio.sleep(LATE_CONTENT_SECONDS)
        return await original(client, *question)  # type: ignore[arg-type]

    FeedClient._fetch_one = fetch_one  # type: ignore[assignment,method-assign]
    ConfigurationLag.judge = lambda *_: LagVerdict.UNAFFECTED  # type: ignore[method-assign]
    ConfigurationLag.may_affect = lambda *_: False  # type: ignore[method-assign]


def keep_old_routes() -> None:
    """A configuration comes into force with the routes of the first one."""
    original = ConfigurationDecoder.decode
    first: list[ExchangeConfiguration] = []

    def decode(decoder: ConfigurationDecoder, spec: bytes) -> ExchangeConfiguration:
        found = original(decoder, spec)
        first.append(found)
        return msgspec.structs.replace(found, routes=first[0].routes)

    ConfigurationDecoder.decode = decode  # type: ignore[method-assign]


def copy_whole_contents() -> None:
    """Followers are told each content whole."""
    original = KindMirror.since

    def since(mirror: KindMirror, place: StorePosition | None, _: bool = False) -> FeedKind | None:
        return original(mirror, place)

    KindMirror.since = since  # type: ignore[method-assign]
    feed_messages.COMPRESSED_FROM_BYTES = MAX_REPLY_BYTES


MUTANTS: dict[str, Callable[[], None]] = {
    "cut-at-the-signal": cut_at_the_signal,
    "drop-what-was-sent-ahead": drop_what_was_sent_ahead,
    "close-busy-connections": close_busy_connections,
    "lose-answers": lose_answers,
}
"""Defects that planned work finds."""
SILENCE_MUTANTS: dict[str, Callable[[], None]] = {
    "end-the-running-answer-first": end_the_running_answer_first,
    "take-a-pause-for-silence": take_a_pause_for_silence,
}
"""Defects that it takes silent and full servers, or held gateways, to find."""
LIMIT_MUTANTS: dict[str, Callable[[], None]] = {
    "read-no-limit": read_no_limit,
    "keep-limits-alone": keep_limits_alone,
}
"""Defects that it takes servers that limit their requests to find."""
SIGNAL_MUTANTS: dict[str, Callable[[], None]] = {
    "ask-resting-servers": ask_resting_servers,
    "use-leaving-servers": use_leaving_servers,
}
"""Defects that it takes servers that rest and leave to find."""
COPY_MUTANTS: dict[str, Callable[[], None]] = {
    "know-no-era": know_no_era,
    "leave-entries-lost": leave_entries_lost,
}
"""Defects that it takes a store that comes back from older copies to find; the second one shows
only when a copy lacks entries."""
LARGE_MUTANTS: dict[str, Callable[[], None]] = {
    "serve-by-an-old-configuration": serve_by_an_old_configuration,
    "keep-old-routes": keep_old_routes,
    "copy-whole-contents": copy_whole_contents,
}
"""Defects that it takes configurations of many routes on narrow links to find."""
ALL_MUTANTS = (
    MUTANTS | SILENCE_MUTANTS | LIMIT_MUTANTS | SIGNAL_MUTANTS | COPY_MUTANTS | LARGE_MUTANTS
)

if __name__ == "__main__":
    ALL_MUTANTS[sys.argv[1]]()
    start(sys.argv[2:])
