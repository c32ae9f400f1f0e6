"""Exchanges with the other gateways which new software versions they know."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.messages.origin_messages import OriginMessage, OriginStep, SendMessage
from milletcourse.exchange.resumption.origin_holders import OriginHolders
from milletcourse.exchange.resumption.software_versions import ServiceVersion, SoftwareVersions
from milletcourse.exchange.resumption.version_announcements import VersionAnnouncements


class VersionAnnouncer:
    """Announces versions until all gateways know them, and replies to announcements."""

    def __init__(
        self,
        own_name: str,
        versions: SoftwareVersions,
        holders: OriginHolders,
        send: SendMessage,
        now: Callable[[], float],
    ) -> None:
        """Start without any announcement.

        Args:
            own_name: Name of this gateway.
            versions: Software versions that may have begun streams.
            holders: The other gateways.
            send: Sends messages.
            now: Monotonic time.
        """
        self._own_name = own_name
        self._versions = versions
        self._holders = holders
        self._send = send
        self._now = now
        self._announcements = VersionAnnouncements()

    def on_new_version(self, seen: ServiceVersion) -> None:
        """A version has been seen; it is announced while streams may not begin there yet."""
        now = self._now()
        if seen.version in self._versions.held(seen.service, now):
            self._announcements.begin(seen, now + self._versions.hold_seconds)
            self.announce()

    def announce(self) -> None:
        """Ask the gateways that aren't known to know a version; called repeatedly."""
        if not self._holders.are_known:
            return
        others = self._holders.peers
        for complete in self._announcements.take_complete(others):
            self._versions.on_known_to_all(complete)
        for seen, name in self._announcements.due(others, self._now()):
            services = {seen.service: seen.version}
            self._send(name, OriginMessage(OriginStep.SEEN, self._own_name, services=services))

    def on_seen(self, message: OriginMessage) -> None:
        """Another gateway has seen new versions, which may not be listed here yet."""
        now = self._now()
        for service, version in message.services.items():
            self._versions.on_seen(service, version, now)
        self.on_known(message)
        sole = self._versions.sole_versions(message.services, now)
        known = {
            service: version
            for service, version in message.services.items()
            if sole.get(service, version) == version
        }
        self._send(message.sender, OriginMessage(OriginStep.KNOWN, self._own_name, services=known))

    def on_known(self, message: OriginMessage) -> None:
        """Another gateway knows versions, and takes no other ones for the only ones."""
        for service, version in message.services.items():
            self._announcements.on_known(ServiceVersion(service, version), message.sender)
        self.announce()
