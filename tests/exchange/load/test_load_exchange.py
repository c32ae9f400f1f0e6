"""Load exchange between gateways: knowledge of the fleet, message counts, and message loss."""

from __future__ import annotations

import random

import pytest

from load_fleet import ZONES, Fleet
from milletcourse.exchange.load.load_exchange import (
    DIGEST_SECONDS,
    STALE_SECONDS,
    TICK_SECONDS,
    LoadExchange,
)
from milletcourse.exchange.messages.messages import AttemptResult, ExchangeRequest, PromptPart
from milletcourse.exchange.messages.peer_messages import (
    InstanceLoad,
    PeerMessage,
    ServerNotice,
    ServerState,
    short_key,
)
from milletcourse.exchange.messages.records import InstanceRecord, ServiceRecord
from milletcourse.exchange.placement.instance_selector import InstanceSelector
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import InstanceTable
from milletcourse.exchange.servers.server_health import (
    MAX_REPORTED_FAILURES,
    SUSPICION_FAILURES,
    ServerHealth,
    ServerTally,
)


@pytest.mark.parametrize("size", [1, 3, 7, 30])
def test_each_gateway_knows_the_load_of_all_others(size: int) -> None:
    """Each gateway knows the exact load a few ticks after a change, also in a zone of one."""
    fleet = Fleet(size, size)
    for _ in range(4):
        fleet.shuffle_loads()
        fleet.run(3 * DIGEST_SECONDS + 2 * TICK_SECONDS)
        for name in fleet.names:
            assert fleet.known(name) == fleet.expected(name)
            failing = fleet.exchanges[name].failing(fleet.now)
            assert {load.key for load in fleet.expected(name) if load.failures} <= set(failing)


def test_what_a_gateway_sends_does_not_grow_with_the_fleet() -> None:
    """A follower sends one message a tick at most; a reader as many as it has followers."""
    sent = {}
    for size in (12, 60):
        fleet = Fleet(size, 1)
        for _ in range(40):
            fleet.shuffle_loads()
            fleet.run(TICK_SECONDS)
        follower = fleet.names[-1]
        sent[size] = fleet.sent[follower]
        digests = 40 * TICK_SECONDS / DIGEST_SECONDS + 1
        assert fleet.sent[fleet.readers[0]] <= digests * (size / ZONES + ZONES)
    assert max(sent.values()) <= 40


@pytest.mark.parametrize(("servers", "sums"), [(45, 20), (300, 20), (1_000, 7), (3_000, 5)])
def test_sums_of_many_servers_are_sent_less_often(servers: int, sums: int) -> None:
    """The traffic to a follower doesn't grow without bound with the number of servers."""
    reader = LoadExchange("reader")
    reader.set_gateways(["follower"], [])
    now, sent = 100.0, 0
    for tick in range(40):
        # A tick takes a little longer than its pause.
        now += TICK_SECONDS + 0.001
        load = [InstanceLoad(1, 0, tick + 1)]
        reader.on_message(PeerMessage("follower", tick + 1, load, is_follower=True), now)
        own = [InstanceLoad(key, 0, 1 + tick % 2) for key in range(2, servers + 1)]
        sent += len(reader.tick(now, own, ""))
    assert sent == pytest.approx(sums, abs=1)


def test_without_a_reader_load_is_gossiped_to_all() -> None:
    """The load of a stopped gateway expires."""
    fleet = Fleet(9, 5)
    fleet.shuffle_loads()
    fleet.run(0.5)
    fleet.stopped.add(fleet.readers[0])
    fleet.run(2 * STALE_SECONDS + 1.0)
    followers = [name for name in fleet.names if fleet.reader_of(name) == fleet.readers[0]]
    for name in followers:
        for own in followers:
            if own != name:
                for load in fleet.loads[own]:
                    assert (
                        fleet.exchanges[name].others_load(load.key, fleet.now).running
                        >= load.running
                    )
    fleet.stopped.clear()
    fleet.run(2 * STALE_SECONDS + 1.0)
    for name in fleet.names:
        assert fleet.known(name) == fleet.expected(name)


@pytest.mark.parametrize("origin", [0, 5])
def test_notices_reach_every_gateway_and_do_not_loop(origin: int) -> None:
    """Notices of a reader or of a follower arrive even while a third of the messages is lost."""
    fleet = Fleet(12, origin)
    fleet.loss = 0.3
    fleet.run(1.0)
    notice = ServerNotice("e-1", "model-1", 2, ServerState.LOADING)
    fleet.exchanges[fleet.names[origin]].notify(notice)
    fleet.run(1.0)
    for name in fleet.names:
        if name != fleet.names[origin]:
            assert any(notice in message.notices for message in fleet.received[name])
    for name in fleet.names:
        fleet.received[name].clear()
    fleet.run(3.0)
    assert not any(message.notices for received in fleet.received.values() for message in received)


def test_a_digest_of_another_reader_is_dropped() -> None:
    """Otherwise the load of a gateway could count twice: only its own reader includes it once."""
    fleet = Fleet(6, 2)
    fleet.shuffle_loads()
    fleet.run(0.5)
    follower = fleet.names[3]
    before = fleet.known(follower)
    other_reader = fleet.exchanges[fleet.readers[1]]
    fleet.loads[fleet.readers[1]] = [InstanceLoad(1, 1, 1)]
    for outgoing in other_reader.tick(fleet.now + 1.0, fleet.loads[fleet.readers[1]], ""):
        if outgoing.message.scope.name == "FLEET":
            assert not fleet.exchanges[follower].on_message(outgoing.message, fleet.now)
    assert fleet.known(follower) == before


# -- choices of many gateways with the same sums ------------------------------------------------


def _selector(
    seed: int, servers: int, loads: LoadExchange | None = None
) -> tuple[InstanceSelector, InstanceTable]:
    table = InstanceTable()
    for number in range(servers):
        zone = f"zone-{number % ZONES}"
        name = f"e{number:02}"
        address = f"10.0.0.{number}:1"
        table.upsert(InstanceRecord(name, "s", address, zone, weight_versions={"m": 1}))
    loads = loads or LoadExchange(f"g{seed}")
    gate = VersionGate(8.0)
    return InstanceSelector(table, gate, loads, "zone-0", random.Random(seed)), table


def _prompt(shared_tokens: int, output_tokens: int = 0) -> ExchangeRequest:
    parts = (PromptPart("aa", shared_tokens), PromptPart("bb", 50))
    tokens = shared_tokens + 50
    return ExchangeRequest(
        b"POST", b"/", "h", [], b"", "id", "", None, "", "m", parts, tokens, output_tokens, 0.0
    )


def test_gateways_with_the_same_sums_choose_different_servers() -> None:
    """The least loaded server doesn't receive the requests of all gateways."""
    service = ServiceRecord("s", ("m",))
    chosen: dict[str, int] = {}
    for seed in range(60):
        selector, table = _selector(seed, 45)
        for instance in table:
            instance.in_flight = 0 if instance.name == "e00" else 4
        choice = selector.choose(service, _prompt(60), "scope", (), 0.0)
        assert choice is not None
        instance = choice.instance
        chosen[instance.name] = chosen.get(instance.name, 0) + 1
    assert 1 <= chosen["e00"] <= 40


def test_a_server_that_fails_several_gateways_gets_no_work_from_any() -> None:
    """Each gateway sees a single failure, which alone doesn't eject the server."""
    fleet = Fleet(9, 3)
    key = short_key("e00")
    for name in fleet.names[3:6]:
        fleet.loads[name] = [InstanceLoad(key, 0, 0, 1, 0)]
    for name in fleet.names[6:]:
        fleet.loads[name] = [InstanceLoad(key, 0, 0, 0, 1)]
    fleet.run(0.5)
    for seed, name in enumerate(fleet.names):
        selector, table = _selector(seed, 2, fleet.exchanges[name])
        failing_server, other = table.get("e00"), table.get("e01")
        assert failing_server is not None and other is not None
        if name in fleet.names[3:6]:
            failing_server.health.on_result(AttemptResult.LOST, fleet.now)
            assert not failing_server.health.is_ejected(fleet.now)
        other.in_flight = 30
        choice = selector.choose(ServiceRecord("s", ("m",)), _prompt(60), "scope", (), fleet.now)
        assert choice is not None and choice.instance is other


def test_failures_at_one_gateway_alone_cause_no_suspicion() -> None:
    """The gateway's own link may be at fault. Failures among many answers cause none either."""
    health = ServerHealth()
    assert not health.is_suspected(ServerTally(MAX_REPORTED_FAILURES, 0), 0.0)
    assert health.is_suspected(ServerTally(SUSPICION_FAILURES, 0), 0.0)
    assert not health.is_suspected(ServerTally(SUSPICION_FAILURES, 2 * SUSPICION_FAILURES), 0.0)
    for _ in range(9):
        health.on_result(AttemptResult.LOST, 1.0)
    assert health.tally(1.0) == ServerTally(MAX_REPORTED_FAILURES, 0)
    assert health.tally(9.0) == ServerTally(0, 0)


def test_long_shared_parts_go_to_their_home_from_every_gateway() -> None:
    """The home server is chosen for any random sample; a server assumed to have the prompt cached
    is compared with it."""
    service = ServiceRecord("s", ("m",))
    request = _prompt(8000)
    names = set()
    for seed in range(20):
        selector, table = _selector(seed, 45)
        choice = selector.choose(service, request, "scope", (), 0.0)
        assert choice is not None
        names.add(choice.instance.name)
    assert len(names) == 1
    home = names.pop()
    selector, table = _selector(1, 45)
    holder = next(instance for instance in table if instance.name != home)
    selector.note_sent(holder, request, "scope", 0.0)
    at_home = table.get(home)
    assert at_home is not None
    at_home.in_flight_tokens = 100_000
    choice = selector.choose(service, request, "scope", (), 0.0)
    assert choice is not None and choice.instance is holder
