"""Which failures are those of a path, of this gateway, or of a server."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from milletcourse.exchange.servers.relay_selector import (
    FIRST_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    RelayPeer,
    RelaySelector,
)
from milletcourse.exchange.servers.server_paths import (
    PROBE_INTERVAL_SECONDS,
    UNCONFIRMED_SECONDS,
    ServerPaths,
)

SERVICES = {"e-1": "engine", "e-2": "engine", "e-3": "engine", "a-1": "app", "a-2": "app"}


def new_paths() -> ServerPaths:
    """Paths to five servers of two services, heard at time 10."""
    paths = ServerPaths()
    paths.set_services(SERVICES)
    paths.on_heard("engine", 10.0)
    return paths


def test_a_failure_is_one_of_the_path_only_if_another_gateway_reaches_the_server() -> None:
    """A crashed server must not be looked for through other gateways."""
    paths = new_paths()
    paths.on_failed("e-1", 11.0)
    assert not paths.is_lost("e-1")
    paths.on_reached_by_other("e-1")
    assert paths.is_lost("e-1") and not paths.is_lost("e-2")
    paths.on_connected("e-1", 12.0)
    assert not paths.is_lost("e-1")


def test_a_gateway_is_isolated_only_when_servers_of_all_services_fail() -> None:
    """All servers of one service may be down; a gateway that hears another service isn't cut."""
    paths = new_paths()
    for address in ("e-1", "e-2", "e-3"):
        paths.on_failed(address, 11.0)
    assert not paths.is_isolated
    paths.on_failed("a-1", 11.1)
    assert paths.is_isolated and paths.is_lost("a-2")
    paths.on_heard("app", 11.2)
    assert not paths.is_isolated


def test_only_a_server_of_the_same_service_proves_a_path() -> None:
    """A gateway cut off from one service blamed its servers, since it heard another service."""
    paths = new_paths()
    paths.on_failed("e-1", 11.0)
    paths.on_heard("app", 11.1)
    assert not paths.is_path_proven("e-1", 11.0)
    assert paths.other_server("e-1", 11.1) in ("e-2", "e-3")
    paths.on_heard("engine", 11.2)
    assert paths.is_path_proven("e-1", 11.0)


def test_a_server_that_is_alone_in_its_service_is_path_proven_by_any() -> None:
    """Else its crash would never count."""
    paths = ServerPaths()
    paths.set_services({"e-1": "engine", "a-1": "app"})
    paths.on_failed("e-1", 11.0)
    assert paths.other_server("e-1", 11.1) == "a-1"
    paths.on_heard("app", 11.1)
    assert paths.is_path_proven("e-1", 11.0)


def test_servers_of_unaffected_services_are_probed_first() -> None:
    """Only they tell a lost service from a gateway that is cut off."""
    paths = new_paths()
    paths.on_failed("e-1", 11.0)
    probed = paths.next_probe(11.1)
    assert probed in ("a-1", "a-2")
    assert paths.next_probe(11.1 + PROBE_INTERVAL_SECONDS / 2) is None


def test_an_isolated_gateway_is_not_stuck_on_servers_that_are_really_down() -> None:
    """Probes of dead servers alone would never end the isolation."""
    paths = new_paths()
    paths.on_failed("e-1", 11.0)
    paths.on_failed("a-1", 11.0)
    now = 11.0
    probed = set()
    for _ in range(2 * len(SERVICES)):
        now += PROBE_INTERVAL_SECONDS
        probed.add(paths.next_probe(now))
    assert probed >= set(SERVICES)


def test_each_lost_path_is_tried_again_at_once_after_an_isolation() -> None:
    """With one probe a quarter second a large fleet would come back only after many seconds."""
    paths = new_paths()
    for address in SERVICES:
        paths.on_failed(address, 11.0)
        paths.on_reached_by_other(address)
    paths.on_connected("a-1", 20.0)
    assert not paths.is_isolated and paths.is_lost("e-1")
    assert paths.may_try("e-1", 20.0)


def test_unexplained_failures_are_forgotten() -> None:
    """A server that came back must not be probed for ever."""
    paths = new_paths()
    paths.on_failed("e-1", 11.0)
    paths.on_heard("app", 11.5)
    assert paths.next_probe(11.0 + UNCONFIRMED_SECONDS) is None
    assert not paths.needs_probes


def test_connections_that_were_quiet_since_a_silent_failure_are_in_doubt() -> None:
    """A cut is first seen at one server; pooled connections to the others are dead as well."""
    paths = new_paths()
    paths.on_failed("e-1", 11.0, is_refused=True)
    assert paths.silent_at < 11.0
    paths.on_reached_by_other("e-1")
    assert paths.silent_at == 11.0
    paths.on_failed("e-2", 12.0)
    assert paths.silent_at == 11.0
    paths.on_unacknowledged(12.0)
    assert paths.silent_at == 12.0


class PathsMachine(RuleBasedStateMachine):
    """Any order of events keeps these: a path that works is used, and probes are bounded."""

    addresses = st.sampled_from(sorted(SERVICES))

    def __init__(self) -> None:
        super().__init__()
        self.paths = new_paths()
        self.now = 10.0
        self.tried_at: list[float] = []

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds

    @rule(address=addresses, is_refused=st.booleans(), ago=st.floats(0.0, 0.5))
    def fail(self, address: str, is_refused: bool, ago: float) -> None:
        """A connection that began some time ago failed."""
        self.paths.on_failed(address, self.now - ago, is_refused)

    @rule(address=addresses)
    def reached_by_other(self, address: str) -> None:
        """Another gateway reached a server."""
        self.paths.on_reached_by_other(address)

    @rule(service=st.sampled_from(["engine", "app"]))
    def hear(self, service: str) -> None:
        """A server was heard."""
        self.paths.on_heard(service, self.now)

    @rule(address=addresses)
    def connect(self, address: str) -> None:
        """A direct connection came up."""
        self.paths.on_connected(address, self.now)
        assert not self.paths.is_lost(address)
        assert not self.paths.is_isolated

    @rule()
    def probe(self) -> None:
        """The prober asks for a path."""
        if self.paths.next_probe(self.now) is not None:
            self.tried_at.append(self.now)

    @rule(address=addresses)
    def remove(self, address: str) -> None:
        """A server leaves and comes back."""
        self.paths.set_services({item: name for item, name in SERVICES.items() if item != address})
        assert address not in self.paths.lost_addresses()
        self.paths.set_services(SERVICES)

    @invariant()
    def probes_keep_their_interval(self) -> None:
        """Probes cost connections, so that their rate is bounded."""
        pairs = zip(self.tried_at, self.tried_at[1:], strict=False)
        assert all(
            later - earlier >= PROBE_INTERVAL_SECONDS - 1e-9 or later == earlier
            for earlier, later in pairs
        )

    @invariant()
    def lost_paths_have_failed(self) -> None:
        """Only a failed path is lost, unless all are."""
        if not self.paths.needs_probes:
            assert not any(self.paths.is_lost(address) for address in SERVICES)


TestPathsMachine = PathsMachine.TestCase


def new_selector(peers: int, zone: str = "z-1") -> RelaySelector:
    """A selector with gateways in two zones by turns."""
    selector = RelaySelector(zone, random.Random(1))
    selector.set_peers(
        RelayPeer(f"front-{number}", f"127.0.0.1:{number + 1}", f"z-{number % 2 + 1}")
        for number in range(peers)
    )
    return selector


def test_gateways_that_did_not_help_are_left_out_for_a_growing_time() -> None:
    """Most of the others may be cut off, too: asking them again and again costs each request."""
    selector = new_selector(1)
    (peer,) = selector.candidates("z-1", 5, 0.0)
    selector.on_failed(peer, 0.0)
    selector.on_failed(peer, 0.0)
    assert not selector.candidates("z-1", 5, FIRST_PAUSE_SECONDS * 0.99)
    assert selector.candidates("z-1", 5, FIRST_PAUSE_SECONDS) == [peer]
    now = FIRST_PAUSE_SECONDS
    for _ in range(10):
        selector.on_failed(peer, now)
        pause = peer.paused_until - now
        now = peer.paused_until
    assert pause == MAX_PAUSE_SECONDS
    selector.on_opened(peer)
    selector.on_failed(peer, now)
    assert peer.paused_until == now + FIRST_PAUSE_SECONDS


def test_connections_spread_over_the_gateways_that_help() -> None:
    """Five gateways that lean on two must not all choose the same one."""
    selector = new_selector(4)
    for _ in range(400):
        selector.on_opened(selector.candidates("z-1", 1, 0.0)[0])
    counts = sorted(peer.connections for peer in selector.candidates("z-1", 4, 0.0))
    assert counts[0] >= 90


def test_gateways_on_the_way_are_preferred() -> None:
    """Traffic that crosses zones is billed."""
    selector = new_selector(4, zone="z-2")
    assert selector.candidates("z-2", 1, 0.0)[0].zone == "z-2"


def test_state_of_gateways_that_stay_is_kept() -> None:
    """The list is set again whenever any gateway comes or goes."""
    selector = new_selector(2)
    peer = selector.candidates("z-1", 1, 0.0)[0]
    selector.on_opened(peer)
    selector.set_peers([RelayPeer(peer.name, peer.address, peer.zone)])
    assert selector.candidates("z-1", 1, 0.0)[0].connections == 1
    selector.set_peers([])
    assert selector.peer_count == 0
