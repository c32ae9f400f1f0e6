"""A new software version is announced until all other gateways know it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from milletcourse.exchange.resumption.software_versions import ServiceVersion
from milletcourse.exchange.resumption.version_announcements import (
    ASK_INTERVAL_SECONDS,
    VersionAnnouncements,
)

NEW = ServiceVersion("engine", "v2")
GATEWAYS = ["a", "b", "c"]


def test_gateways_that_do_not_reply_are_asked_again_until_the_end() -> None:
    """Those that replied are not."""
    announcements = VersionAnnouncements()
    announcements.begin(NEW, 2.0)
    assert list(announcements.due(GATEWAYS, 0.0)) == [(NEW, name) for name in GATEWAYS]
    announcements.on_known(NEW, "b")
    assert list(announcements.due(GATEWAYS, 0.9 * ASK_INTERVAL_SECONDS)) == []
    assert list(announcements.due(GATEWAYS, 1.1 * ASK_INTERVAL_SECONDS)) == [(NEW, "a"), (NEW, "c")]
    assert list(announcements.due(GATEWAYS, 2.0)) == []
    announcements.on_known(NEW, "a")
    announcements.on_known(NEW, "c")
    assert announcements.take_complete(GATEWAYS) == []


def test_a_version_is_complete_without_other_gateways() -> None:
    """A gateway that is alone has nobody to ask."""
    announcements = VersionAnnouncements()
    announcements.begin(NEW, 2.0)
    assert announcements.take_complete([]) == [NEW]
    assert announcements.take_complete([]) == []


@given(st.lists(st.sampled_from(["a", "b", "c", "gone"])), st.sets(st.sampled_from(GATEWAYS)))
def test_a_version_is_complete_once_all_listed_gateways_know_it(
    replies: list[str], listed: set[str]
) -> None:
    """Replies come in any order and more than once, also from gateways that have left the list."""
    announcements = VersionAnnouncements()
    announcements.begin(NEW, 2.0)
    for name in replies:
        announcements.on_known(NEW, name)
        announcements.on_known(ServiceVersion("engine", "v3"), name)
    assert announcements.take_complete(sorted(listed)) == ([NEW] if listed <= set(replies) else [])
