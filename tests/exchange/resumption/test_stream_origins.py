"""What is known of the streams that clients resume, and which versions may have begun them."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.messages.origin_messages import (
    MAX_NAME_LENGTH,
    OriginMessage,
    OriginReport,
    OriginStep,
    decode_origin_message,
    encode_origin_message,
    is_origin_message,
)
from milletcourse.exchange.messages.peer_messages import PeerMessage, encode_message
from milletcourse.exchange.resumption import stream_origins
from milletcourse.exchange.resumption.origin_holders import (
    HOLDERS_PER_STREAM,
    RECORDERS_PER_STREAM,
    OriginHolders,
)
from milletcourse.exchange.resumption.origin_record import (
    MAX_RECORDED_ORIGINS,
    OriginRecord,
    RecordedOrigins,
)
from milletcourse.exchange.resumption.software_versions import (
    MAX_HORIZON_SECONDS,
    MIN_HORIZON_SECONDS,
    ServiceVersion,
    SoftwareVersions,
)
from milletcourse.exchange.resumption.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    stream_key,
)

KEY = stream_key("tenant-1", "request-1")
MAX_OBJECT_BYTES = 1_048_576
HOLD_SECONDS = 2.0


def origin(version: str | None, expires_at: float = 10.0) -> StreamOrigin:
    """An origin that another gateway told."""
    return StreamOrigin("engine", version, expires_at, is_own=False)


# -- origins ------------------------------------------------------------------------------------


def test_a_reused_request_id_makes_the_version_unknown_until_both_streams_are_over() -> None:
    """Two streams under one id can't be told apart, so neither version is guessed."""
    origins = StreamOrigins()
    origins.record(KEY, origin("v1", 10.0), 0.0)
    origins.record(KEY, origin("v2", 8.0), 1.0)
    origins.record(KEY, origin("v2", 9.0), 2.0)
    found = origins.find(KEY, 9.5)
    assert found is not None and found.software_version is None
    assert origins.find(KEY, 10.0) is None
    origins.record(KEY, origin("v2", 20.0), 10.5)
    found = origins.find(KEY, 11.0)
    assert found is not None and found.software_version == "v2"


def test_a_renewed_origin_lives_until_the_latest_try_has_expired() -> None:
    """A try that ends earlier doesn't shorten it, and an own stream stays an own one."""
    origins = StreamOrigins()
    origins.record(KEY, StreamOrigin("engine", "v1", 10.0, is_own=True), 0.0)
    origins.record(KEY, origin("v1", 5.0), 1.0)
    assert [key for key, _ in origins.own_of_service("engine", 9.0)] == [KEY]
    origins.drop_expired(10.0)
    assert len(origins) == 0


def test_the_oldest_origins_are_dropped_beyond_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """A dropped stream is unknown; the others are kept."""
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 3)
    origins = StreamOrigins()
    for key in range(5):
        origins.record(key, origin("v1"), 0.0)
        origins.record(0, origin("v1"), 0.0)
    assert [key for key in range(5) if origins.find(key, 1.0) is not None] == [0, 3, 4]


@given(st.text(), st.text(), st.text(), st.text())
def test_streams_of_other_tenants_have_other_keys(
    tenant: str, request_id: str, other_tenant: str, other_id: str
) -> None:
    """No split of the two names gives the same key, whatever they contain."""
    is_same = (tenant, request_id) == (other_tenant, other_id)
    assert (stream_key(tenant, request_id) == stream_key(other_tenant, other_id)) is is_same


def test_a_long_request_id_takes_no_more_memory_than_a_short_one() -> None:
    """Ids come from clients."""
    assert 0 <= stream_key("tenant-1", "x" * 65536) < 2**64


# -- versions -----------------------------------------------------------------------------------


class Versions:
    """Versions of a service whose listed servers a test sets."""

    def __init__(self) -> None:
        self.listed: set[str] = set()
        self.new: list[ServiceVersion] = []
        self.core = SoftwareVersions(
            lambda service, version: version in self.listed, self.new.append, HOLD_SECONDS
        )
        self.core.on_record_read()

    def start(self, version: str, now: float) -> None:
        """A server of a version is listed."""
        self.listed.add(version)
        self.core.on_seen("engine", version, now)

    def stop(self, version: str, now: float) -> None:
        """The last server of a version goes."""
        self.listed.discard(version)
        self.core.on_seen("engine", version, now)


def test_a_version_may_have_begun_streams_until_the_horizon_after_its_last_server() -> None:
    """A version with a listed server never expires."""
    versions = Versions()
    versions.start("v1", 0.0)
    assert versions.core.sole("engine", 10 * MIN_HORIZON_SECONDS) == "v1"
    at = 20 * MIN_HORIZON_SECONDS
    versions.start("v2", at)
    versions.stop("v1", at + 1.0)
    assert versions.core.sole("engine", at + 1.0 + 0.9 * MIN_HORIZON_SECONDS) is None
    assert versions.core.sole("engine", at + 1.1 + MIN_HORIZON_SECONDS) == "v2"
    assert versions.new == [ServiceVersion("engine", "v1"), ServiceVersion("engine", "v2")]


def test_a_long_stream_extends_the_horizon_up_to_its_bound() -> None:
    """Clients choose how long they wait."""
    versions = Versions()
    versions.core.extend_horizon(24 * 3600.0)
    assert versions.core.horizon_seconds == MAX_HORIZON_SECONDS


def test_a_version_that_appears_beside_an_older_one_is_held_for_a_while() -> None:
    """Versions that are listed together at a start aren't."""
    versions = Versions()
    versions.start("v1", 0.0)
    versions.start("v2", 0.01)
    assert versions.core.held("engine", 0.02) == {}
    versions.start("v3", 5.0)
    assert versions.core.held("engine", 5.0 + 0.9 * HOLD_SECONDS) == {
        "v3": pytest.approx(0.1 * HOLD_SECONDS)
    }
    assert versions.core.held("engine", 5.0 + HOLD_SECONDS) == {}
    versions.start("v4", 9.0)
    assert set(versions.core.held("engine", 9.1)) == {"v4"}
    versions.core.on_known_to_all(ServiceVersion("engine", "v4"))
    assert versions.core.held("engine", 9.1) == {}


def test_no_version_is_the_only_one_before_the_record_has_been_read() -> None:
    """A gateway that has just started can't know the others; after a horizon it has seen them."""
    versions = Versions()
    versions.core = SoftwareVersions(
        lambda service, version: version in versions.listed, versions.new.append, HOLD_SECONDS
    )
    versions.start("v1", 0.0)
    assert versions.core.sole("engine", 1.0) is None and versions.core.is_mixed("engine", 1.0)
    assert versions.core.sole("engine", MIN_HORIZON_SECONDS + 0.1) == "v1"


def test_versions_that_nobody_recorded_count_for_one_horizon() -> None:
    """They may have begun streams before this gateway started."""
    versions = Versions()
    versions.start("v1", 0.0)
    versions.core.on_unknown(0.0)
    assert versions.core.sole("engine", 1.0) is None and versions.core.is_mixed("engine", 1.0)
    assert versions.core.sole("engine", MIN_HORIZON_SECONDS + 0.1) == "v1"


def test_an_unknown_version_is_no_second_version() -> None:
    """A server whose restart is known before its new entry."""
    versions = Versions()
    versions.start("v1", 0.0)
    versions.core.on_seen("engine", None, 1.0)
    assert versions.core.sole("engine", 1.0) == "v1"


# -- holders and messages -----------------------------------------------------------------------


@pytest.mark.parametrize("gateways", [2, 7, 79, 420])
def test_all_gateways_agree_on_the_holders_of_a_stream(gateways: int) -> None:
    """Whatever the order in which they know each other."""
    names = [f"front-{number}" for number in range(gateways)]
    count = min(HOLDERS_PER_STREAM, gateways)
    found = set()
    for own in names[:10]:
        holders = OriginHolders(own)
        holders.set_peers([name for name in reversed(names) if name != own])
        found.add(frozenset(holders.of_stream(KEY)))
        assert own not in holders.receivers(KEY)
    assert len(found) == 1 and len(found.pop()) == count


@given(st.binary(max_size=200))
def test_malformed_datagrams_are_refused(data: bytes) -> None:
    """Whatever follows the first byte."""
    message = decode_origin_message(b"\xc2" + data)
    assert message is None or isinstance(message, OriginMessage)


def test_messages_survive_encoding_and_are_told_from_load_reports() -> None:
    """Both arrive at the same port."""
    report = OriginReport(KEY, "engine", "v1", 1500)
    message = OriginMessage(OriginStep.TELL, "front-1", [report])
    assert decode_origin_message(encode_origin_message(message)) == message
    assert is_origin_message(encode_origin_message(message))
    assert not is_origin_message(encode_message(PeerMessage("front-1", 1)))
    long_name = OriginReport(KEY, "engine", "v" * (MAX_NAME_LENGTH + 1), 1500)
    told = OriginMessage(OriginStep.TELL, "front-1", [long_name])
    assert decode_origin_message(encode_origin_message(told)) is None


# -- records in the store -----------------------------------------------------------------------


def _restored(record: OriginRecord, written_at: float, read_at: float) -> dict[int, StreamOrigin]:
    """The origins that a gateway reads which starts later."""
    written = record.to_write(written_at)
    assert written is not None
    decoded = msgspec.json.decode(msgspec.json.encode(written), type=RecordedOrigins)
    return dict(decoded.origins(read_at))


@given(
    st.dictionaries(
        st.integers(min_value=0, max_value=2**64 - 1),
        st.tuples(st.sampled_from(["engine", "other"]), st.sampled_from(["v1", "v2", None])),
    )
)
def test_recorded_origins_are_read_as_they_were(
    streams: dict[int, tuple[str, str | None]],
) -> None:
    """Keys keep all their bits, and an ambiguous version stays ambiguous."""
    record = OriginRecord()
    for key, (service, version) in streams.items():
        record.add(key, StreamOrigin(service, version, 12.0, is_own=True))
    if not streams:
        assert record.to_write(2.0) is None
        return
    found = _restored(record, 2.0, 100.0)
    assert found == {
        key: StreamOrigin(service, version, 110.0, is_own=False)
        for key, (service, version) in streams.items()
    }
    assert record.to_write(3.0) is None


def test_a_record_keeps_what_it_held_before_this_start_and_drops_what_has_expired() -> None:
    """What was read alone causes no write; a write that failed is repeated."""
    record = OriginRecord()
    record.add_stored(1, origin("v1", 5.0))
    record.add_stored(2, origin("v1", 20.0))
    assert record.to_write(1.0) is None
    record.add(3, origin("v2", 20.0))
    assert set(_restored(record, 10.0, 10.0)) == {2, 3}
    record.on_not_written()
    assert set(_restored(record, 11.0, 11.0)) == {2, 3}


def test_the_largest_record_fits_into_an_object_of_the_store() -> None:
    """Beyond its maximum the oldest streams are dropped."""
    record = OriginRecord()
    for key in range(MAX_RECORDED_ORIGINS + 10):
        record.add(2**64 - 1 - key, origin("v" * MAX_NAME_LENGTH, 600.0))
    written = record.to_write(0.0)
    assert written is not None
    assert len(msgspec.json.encode(written)) < MAX_OBJECT_BYTES / 2
    assert len(dict(written.origins(0.0))) == MAX_RECORDED_ORIGINS


def test_a_record_with_a_malformed_key_raises_a_value_error() -> None:
    """Another writer may have changed it."""
    with pytest.raises(ValueError):
        list(RecordedOrigins({"engine": {"v1": {"no number": 5}}}).origins(0.0))


def test_the_readers_of_two_zones_record_a_stream() -> None:
    """All gateways agree on them; each gets one message, whether it holds the stream as well."""
    names = [f"gateway-{number}" for number in range(20)]
    readers = names[:4]
    recorders = set()
    for own in names:
        holders = OriginHolders(own)
        holders.set_peers([name for name in names if name != own])
        holders.set_readers(readers)
        receivers = holders.receivers(KEY)
        assert own not in receivers and len(receivers) == len(set(receivers))
        if holders.is_recorder(KEY):
            recorders.add(own)
    assert len(recorders) == RECORDERS_PER_STREAM
    assert recorders <= set(readers)
