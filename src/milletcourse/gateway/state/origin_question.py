"""Questions to the holders of streams, and what their replies say together."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from itertools import count

from milletcourse.exchange.messages.origin_messages import OriginMessage, OriginStep, SendMessage
from milletcourse.exchange.resumption.origin_holders import OriginHolders
from milletcourse.exchange.resumption.origin_reports import read_report
from milletcourse.exchange.resumption.stream_origins import StreamOrigin
from milletcourse.gateway.telemetry.resumption_recorder import ResumptionRecorder
from milletcourse.runtime.responsive_clock import ResponsiveClock
from milletcourse.runtime.responsive_timer import responsive_timeout

ASK_TIMEOUT_SECONDS = 0.15
"""How long a request waits for the holders of a stream; one in another region replies in less."""


class OriginQuestion:
    """Collects the replies of a stream's holders until the question is decided.

    Attributes:
        asked: Names of the holders that are asked: all without this gateway.
        decided: Done once a holder knows the stream, or all have replied.
        origin: Where the stream began, None while no holder knows it.
    """

    def __init__(self, own_name: str, holders: list[str]) -> None:
        """Start without any reply.

        Args:
            own_name: Name of this gateway.
            holders: Names of the holders, which may include this gateway.
        """
        self.asked = [name for name in holders if name != own_name]
        self.decided: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.origin: StreamOrigin | None = None
        self._holder_count = len(holders)
        self._sole_versions: dict[str, dict[str, str]] = {}
        """By holder that replied, and by service."""

    def on_reply(
        self, holder: str, origin: StreamOrigin | None, sole_versions: dict[str, str]
    ) -> None:
        """A holder replied.

        Args:
            holder: Its name.
            origin: Where the stream began, None when the holder doesn't know it.
            sole_versions: By service, the only software version that may have begun streams, as far
                as the holder knows; services are missing of which it has seen several, or whose
                earlier versions it doesn't know.
        """
        if holder not in self.asked:
            return
        self._sole_versions[holder] = sole_versions
        if origin is not None:
            self.origin = origin
        is_complete = len(self._sole_versions) == len(self.asked)
        if (origin is not None or is_complete) and not self.decided.done():
            self.decided.set_result(None)

    def is_contradicted(self, service: str, version: str) -> bool:
        """Whether a holder has seen several versions of a service, or another one."""
        replies = self._sole_versions.values()
        return any(versions.get(service) != version for versions in replies)

    def has_majority(self) -> bool:
        """Whether more than half of the holders don't know the stream.

        A gateway that has seen several versions would have told them before it relayed the first
        event.
        """
        replies = len(self._sole_versions)
        own = self._holder_count - len(self.asked)
        return replies > 0 and 2 * (replies + own) > self._holder_count


class OriginQuestions:
    """Asks the holders of streams, and assigns their replies."""

    def __init__(
        self,
        own_name: str,
        holders: OriginHolders,
        send: SendMessage,
        clock: ResponsiveClock,
        record: ResumptionRecorder,
    ) -> None:
        """Start without any question.

        Args:
            own_name: Name of this gateway.
            holders: Which gateways keep the origin of a stream.
            send: Sends messages.
            clock: Responsive time of the event loop, used for the timeout of holders.
            record: Counts questions that not all holders replied to.
        """
        self._own_name = own_name
        self._holders = holders
        self._send = send
        self._clock = clock
        self._record = record
        self._request_numbers = count(1)
        self._pending: dict[int, OriginQuestion] = {}

    async def ask(self, key: int, services: Sequence[str]) -> OriginQuestion:
        """Ask the holders of a stream for its origin, and wait for their replies.

        Args:
            key: Key of the stream.
            services: Services that may continue it.
        """
        question = OriginQuestion(self._own_name, self._holders.of_stream(key))
        if not question.asked:
            return question
        number = next(self._request_numbers)
        self._pending[number] = question
        message = OriginMessage(
            OriginStep.ASK,
            self._own_name,
            key=key,
            request_number=number,
            services=dict.fromkeys(services, ""),
        )
        for name in question.asked:
            self._send(name, message)
        try:
            async with responsive_timeout(self._clock, ASK_TIMEOUT_SECONDS):
                await question.decided
        except TimeoutError:
            self._record.holders_silent()
        finally:
            del self._pending[number]
        return question

    def on_reply(self, message: OriginMessage, now: float) -> None:
        """A holder replied to a question."""
        question = self._pending.get(message.request_number)
        if question is None:
            return
        origin = read_report(message.reports[0], now) if message.reports else None
        question.on_reply(message.sender, origin, message.services)
