"""Measures membership and configuration in a simulated cluster of a given size."""

from __future__ import annotations

import gc
import resource
import tracemalloc

import msgspec

from member_cluster import MemberCluster
from milletcourse.membership.messages import MemberState

REGIONS = 4
ZONES = 13
STEADY_SECONDS = 10.0
SETTLE_SECONDS = 8.0
LOSS = 0.01
LOSS_SECONDS = 30.0
SIMULTANEOUS_DEATHS = 41
RESTARTED_MEMBERS = 150
STEP_SECONDS = 0.25
TIMEOUT_SECONDS = 60.0
PARTITION_SECONDS = 20.0


class MembersMeasurement(msgspec.Struct, frozen=True):
    """Measurements of one run.

    Attributes:
        members: Cluster size.
        bytes_per_second_per_node: Sent by a node in steady state, including headers.
        datagrams_per_second_per_node: Sent by a node in steady state.
        core_fraction_per_node: Processor time per virtual time in steady state.
        resident_bytes_per_node: Memory allocated for one member's state.
        dead_known_seconds_max: Time until every live member knows of one death.
        many_dead_known_seconds_max: The same for many simultaneous deaths.
        false_deaths: Live members that any member declares dead at 1% datagram loss.
        change_in_force_seconds_max: Time until one change is in force, all members alive.
        change_with_dead_seconds_max: The same for a change right after many deaths.
        change_after_heal_seconds_max: Time from the end of a zone partition until all members have
            the change.
        change_bytes_per_node: Bytes sent per node for one change.
        herd_settled_seconds: Time until all members know the new incarnations after many members
            restarted together.
        lower_revisions_applied: Must be 0.
        seed: Seed of the run.
    """

    members: int
    bytes_per_second_per_node: float
    datagrams_per_second_per_node: float
    core_fraction_per_node: float
    resident_bytes_per_node: int
    dead_known_seconds_max: float
    many_dead_known_seconds_max: float
    false_deaths: int
    change_in_force_seconds_max: float
    change_with_dead_seconds_max: float
    change_after_heal_seconds_max: float
    change_bytes_per_node: float
    herd_settled_seconds: float
    lower_revisions_applied: int
    seed: int


def places() -> list[str]:
    """Return the zones, spread over the regions."""
    return [f"region-{index % REGIONS}/zone-{index}" for index in range(ZONES)]


def measure_members(members: int, seed: int) -> MembersMeasurement:
    """Run the whole sequence of measurements once."""
    tracemalloc.start()
    cluster = MemberCluster(members, places(), seed)
    cluster.network.run(SETTLE_SECONDS)
    gc.collect()
    resident = tracemalloc.get_traced_memory()[0] // members
    tracemalloc.stop()
    steady_bytes, steady_datagrams, core = _measure_steady_state(cluster, members)
    false_deaths = _false_deaths_under_loss(cluster)
    before = cluster.network.datagram_bytes + cluster.network.exchange_bytes
    change = _apply_change(cluster)
    after = cluster.network.datagram_bytes + cluster.network.exchange_bytes
    change_bytes = (after - before) / members - steady_bytes * change
    dead = _kill_members(cluster, 1)
    many_dead = _kill_members(cluster, min(SIMULTANEOUS_DEATHS, members // 10))
    change_with_dead = _apply_change(cluster)
    after_heal = _partition_and_heal(cluster)
    restart_settled = _restart_many(cluster, min(RESTARTED_MEMBERS, members // 3))
    return MembersMeasurement(
        members=members,
        bytes_per_second_per_node=round(steady_bytes, 1),
        datagrams_per_second_per_node=round(steady_datagrams, 2),
        core_fraction_per_node=round(core, 6),
        resident_bytes_per_node=resident,
        dead_known_seconds_max=round(dead, 2),
        many_dead_known_seconds_max=round(many_dead, 2),
        false_deaths=false_deaths,
        change_in_force_seconds_max=round(change, 2),
        change_with_dead_seconds_max=round(change_with_dead, 2),
        change_after_heal_seconds_max=round(after_heal, 2),
        change_bytes_per_node=round(max(change_bytes, 0.0), 1),
        herd_settled_seconds=round(restart_settled, 2),
        lower_revisions_applied=cluster.lower_revisions_applied,
        seed=seed,
    )


def _processor_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _measure_steady_state(cluster: MemberCluster, members: int) -> tuple[float, float, float]:
    network = cluster.network
    bytes_before = network.datagram_bytes + network.exchange_bytes
    datagrams_before = network.datagrams
    processor_before = _processor_seconds()
    network.run(network.now + STEADY_SECONDS)
    scale = members * STEADY_SECONDS
    sent = network.datagram_bytes + network.exchange_bytes - bytes_before
    processor = _processor_seconds() - processor_before
    return sent / scale, (network.datagrams - datagrams_before) / scale, processor / scale


def _run_until(cluster: MemberCluster, done: object, started_at: float) -> float:
    """Advance until a condition holds; return the elapsed seconds, infinity on a timeout."""
    assert callable(done)
    while not done():
        if cluster.network.now - started_at > TIMEOUT_SECONDS:
            return float("inf")
        cluster.network.run(cluster.network.now + STEP_SECONDS)
    return cluster.network.now - started_at


def _apply_change(cluster: MemberCluster) -> float:
    started_at = cluster.network.now
    revision = cluster.commit()
    alive = cluster.alive()
    _run_until(cluster, lambda: all(item.store.revision >= revision for item in alive), started_at)
    times = cluster.applied_at[revision]
    missing = [item for item in alive if item.number not in times]
    return float("inf") if missing else max(times[item.number] for item in alive) - started_at


def _kill_members(cluster: MemberCluster, count: int) -> float:
    started_at = cluster.network.now
    victims = cluster.alive()[-count:]
    for victim in victims:
        victim.stop()
    names = [item.detector.own.name for item in victims]
    alive = cluster.alive()

    def known() -> bool:
        return all(_knows_dead(member, name) for name in names for member in alive)

    return _run_until(cluster, known, started_at)


def _knows_dead(member: object, name: str) -> bool:
    record = member.detector.record(name)  # type: ignore[attr-defined]
    return record is not None and record.state >= MemberState.DEAD


def _partition_and_heal(cluster: MemberCluster) -> float:
    cluster.network.partition(cluster.places[-1])
    cluster.network.run(cluster.network.now + 2.0)
    revision = cluster.commit()
    cluster.network.run(cluster.network.now + PARTITION_SECONDS)
    cluster.network.partition("")
    alive = cluster.alive()
    return _run_until(
        cluster,
        lambda: all(item.store.revision >= revision for item in alive),
        cluster.network.now,
    )


def _restart_many(cluster: MemberCluster, count: int) -> float:
    cluster.network.run(cluster.network.now + SETTLE_SECONDS)
    started_at = cluster.network.now
    restarted = [cluster.restart(item.number) for item in cluster.alive()[:count]]
    alive = cluster.alive()

    def settled() -> bool:
        return all(
            _knows_incarnation(member, item.detector.own.name, item.detector.own.incarnation)
            for item in restarted
            for member in alive
        )

    return _run_until(cluster, settled, started_at)


def _knows_incarnation(member: object, name: str, incarnation: int) -> bool:
    record = member.detector.record(name)  # type: ignore[attr-defined]
    return (
        record is not None
        and record.incarnation >= incarnation
        and record.state is MemberState.ALIVE
    )


def _false_deaths_under_loss(cluster: MemberCluster) -> int:
    """Count the live members that any member newly declares dead during datagram loss."""
    cluster.network.run(cluster.network.now + SETTLE_SECONDS)
    alive = {item.detector.own.name for item in cluster.alive()}
    before = _live_members_seen_dead(cluster, alive)
    cluster.network.loss = LOSS
    falsely_dead: set[str] = set()
    end = cluster.network.now + LOSS_SECONDS
    while cluster.network.now < end:
        cluster.network.run(cluster.network.now + 1.0)
        falsely_dead.update(
            name for viewer, name in _live_members_seen_dead(cluster, alive) - before
        )
    cluster.network.loss = 0.0
    return len(falsely_dead)


def _live_members_seen_dead(cluster: MemberCluster, alive: set[str]) -> set[tuple[str, str]]:
    """Return pairs of a member and a live member that it has declared dead."""
    return {
        (member.detector.own.name, record.name)
        for member in cluster.alive()
        for record in member.detector.dead()
        if record.name in alive
    }
