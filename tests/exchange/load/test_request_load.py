"""Load of requests that have not reached their server is known here and told to nobody."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.messages.records import InstanceRecord
from milletcourse.exchange.servers.instance_table import Instance, UndeliveredLoad
from milletcourse.exchange.servers.request_load import RequestLoad

STEPS = ("on_delivered", "on_undelivered", "on_prompt_read")


def new_instance() -> Instance:
    """A server without load."""
    return Instance(InstanceRecord("s-1", "app", "127.0.0.1:1"))


def test_a_request_counts_here_before_it_counts_at_its_server() -> None:
    """Requests that hung on the way made every server look full to all gateways."""
    instance = new_instance()
    load = RequestLoad(instance, 800, 900)
    assert (instance.in_flight, instance.in_flight_tokens, instance.memory_tokens) == (1, 800, 900)
    assert instance.undelivered == UndeliveredLoad(1, 800, 900)
    load.on_delivered()
    assert instance.undelivered == UndeliveredLoad()
    load.on_undelivered()
    assert instance.undelivered == UndeliveredLoad(1, 800, 900)


@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from(STEPS))))
def test_nothing_is_left_after_the_last_request(steps: list[tuple[int, str]]) -> None:
    """Whatever happens to the requests, closing them leaves no load, and parts never exceed it."""
    instance = new_instance()
    loads = [RequestLoad(instance, 100 * (number + 1), 7 * number) for number in range(3)]
    for number, step in steps:
        getattr(loads[number], step)()
        assert 0 <= instance.undelivered.requests <= instance.in_flight
        assert 0 <= instance.undelivered.tokens <= instance.in_flight_tokens
        assert 0 <= instance.undelivered.memory_tokens <= instance.memory_tokens
    for load in loads:
        load.close()
    assert (instance.in_flight, instance.in_flight_tokens, instance.memory_tokens) == (0, 0, 0)
    assert instance.undelivered == UndeliveredLoad()
