"""One HTTP/1.1 connection to a server, which carries one exchange at a time.

Answers are matched by request id, since a server may send a surplus answer where the next one is
expected. A connection that delivered surplus or unexpected data is not reused. One that has carried
a request never carries that request again.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import cast

import httptools

from milletcourse.exchange.limits.answer_memory import AnswerShare
from milletcourse.exchange.messages.answer_end import Framing, LossCause, loss_at_close
from milletcourse.exchange.messages.connection_requests import ConnectionRequests
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.exchange.messages.message_bounds import MessageBounds
from milletcourse.exchange.messages.messages import AnswerHead
from milletcourse.gateway.servers.answer_head_collector import AnswerHeadCollector
from milletcourse.gateway.servers.answer_intake import AnswerIntake
from milletcourse.gateway.servers.answer_queue import AnswerEvent, AnswerQueue
from milletcourse.gateway.telemetry.connection_records import ConnectionUse, SurplusData
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.http_status import is_informational, is_valid_status
from milletcourse.runtime.sockets import limit_receive_buffer, reset_on_close, unacknowledged_bytes

KEEP_ALIVE_MARGIN_SECONDS = 0.6
"""A pooled connection is not reused during this time before the server closes it."""
MAX_QUEUED_BYTES = 256 * 1024
"""Size of the parsed parts of an answer at which parsing waits until they were taken."""
RECEIVE_BUFFER_BYTES = 128 * 1024
"""Data of a server that the kernel holds unread; enough for 30 MB/s with a round trip of 4 ms."""
MAX_JOINED_BODY_BYTES = 16 * 1024
"""A small body is written together with its head; a larger one is not copied for that."""
DEFAULT_KEEP_ALIVE_SECONDS = 2.0
"""Keep-alive time assumed when a server does not send one."""
_numbers = itertools.count(1)


class ServerConnection(AnswerHeadCollector, asyncio.Protocol):
    """Sends one request at a time and delivers the answer as events.

    Attributes:
        intake: Received data that isn't parsed yet.
        memory_share: Memory of the answer that is being received.
        work: Parser callbacks for that answer.
    """

    def __init__(self, address: str, dialect: HeaderDialect, is_relayed: bool = False) -> None:
        """Start without a transport.

        Args:
            address: `host:port` of the server.
            dialect: Parses the heads of answers.
            is_relayed: Another gateway relays the connection, which carries one exchange only.
        """
        super().__init__()
        self.address = address
        self.is_relayed = is_relayed
        self.number = next(_numbers)
        """Identifies the connection in the log lines of this process."""
        self.on_surplus: Callable[[SurplusData], None] | None = None
        """Called with data that isn't the answer to the pending request."""
        self._requests = ConnectionRequests()
        self._sent_at = float("-inf")
        self._answer_seconds: float | None = None
        self.usable_until = 0.0
        self.heard_at = elapsed_seconds()
        """Monotonic time at which the latest answer ended, or the connection was opened."""
        self.on_closed: Callable[[str], None] | None = None
        """Called with the address when the connection is closed."""
        self.intake = AnswerIntake(self)
        self.memory_share = AnswerShare(self._on_evicted)
        self.work = 0
        self._collected_bytes = 0
        """Size of the parts of the answer that its receiver keeps."""
        self._dialect = dialect
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer = AnswerQueue()
        self._bodyless = False
        self._busy = False
        self._tainted = is_relayed
        self._lost = False
        self._aborted = False
        self._head: AnswerHead | None = None
        self._skipping = False
        self._has_invalid_status = False
        self._bounds = MessageBounds()

    # -- use ------------------------------------------------------------------------------------

    def send(
        self, data: bytes, request_id: str = "", bodyless: bool = False, body: bytes = b""
    ) -> None:
        """Write a complete request and expect its answer next.

        Args:
            data: The request, without the body if that is given apart.
            request_id: Request id that the answer must carry; empty when answers carry none.
            bodyless: The answer has no body, whatever its head says (HEAD requests).
            body: Body that follows the data.
        """
        assert self._transport is not None
        self._answer.clear()
        self._bounds = MessageBounds()
        self._collected_bytes = 0
        self.work = 0
        self._bodyless = bodyless
        self._busy = True
        self._requests.on_send(request_id)
        self._sent_at = elapsed_seconds()
        self._answer_seconds = None
        if not self.is_open:
            self._answer.add(AnswerEvent(lost=LossCause.CLOSED))
            return
        if len(body) <= MAX_JOINED_BODY_BYTES:
            self._transport.write(data + body)
        else:
            self._transport.writelines((data, body))

    async def next_event(self) -> AnswerEvent:
        """Wait for the next step of the answer."""
        event = await self._answer.take()
        self.intake.resume()
        return event

    def unacknowledged_bytes(self) -> int:
        """Bytes that were written and that the other end hasn't acknowledged."""
        if self._transport is None:
            return 0
        unsent = self._transport.get_write_buffer_size()
        return unsent + unacknowledged_bytes(self._transport.get_extra_info("socket"))

    def take_transport(self) -> asyncio.Transport:
        """The transport of an open, unused connection, for another protocol.

        The taker must call `connection_lost` when the transport is closed.
        """
        assert self._transport is not None and not self._busy
        return self._transport

    def collect(self, size: int) -> None:
        """Account for so many bytes of the answer, which its receiver keeps.

        The answer is lost if there is no memory for it.
        """
        self._collected_bytes = size
        self._account()

    @property
    def max_collected_bytes(self) -> float:
        """Size of the largest answer for which there is memory."""
        return self.memory_share.max_bytes

    def end_use(self) -> None:
        """Nothing is kept of the answer any more."""
        self.memory_share.is_essential = False
        self._collected_bytes = 0
        self.memory_share.set_held(0)

    def abort(self) -> None:
        """Close the connection at once, so that the server notices and drops the request."""
        self._aborted = True
        self._discard()
        if self._transport is not None:
            self._transport.abort()
        self._answer.add(AnswerEvent(lost=LossCause.ABORTED))

    def close_after_answer(self) -> None:
        """Carry no further request after the next one."""
        self._tainted = True

    def last_use(self) -> ConnectionUse:
        """The latest request on this connection, for log lines."""
        return ConnectionUse(self.number, self._requests.count, self._answer_seconds)

    @property
    def framing(self) -> Framing:
        """What marks the end of the body of the answer that is being received."""
        if self._head is None or self._bodyless:
            return Framing.NO_BODY
        return self._head.framing

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        if self._lost or self._aborted or self._transport is None:
            return False
        return not self._transport.is_closing()

    def is_reusable(self, now: float) -> bool:
        """Whether another request may be sent on it."""
        is_idle = self.is_open and not self._tainted and not self._busy
        return is_idle and not self._requests.is_full and now < self.usable_until

    def may_carry(self, request_id: str) -> bool:
        """Whether it has not carried a request of this id; empty for calls without one."""
        return self._requests.may_carry(request_id)

    # -- asyncio.Protocol -----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        reset_on_close(sock)
        limit_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
        self.usable_until = elapsed_seconds() + DEFAULT_KEEP_ALIVE_SECONDS

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self.intake.receive(data)

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`."""
        self._tainted = True
        return self.intake.end()

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._lost = True
        if self.on_closed is not None:
            self.on_closed(self.address)
        self.intake.lose(LossCause.CLOSED if error is None else LossCause.RESET)

    # -- owner of the intake --------------------------------------------------------------------

    def parse(self, piece: memoryview) -> None:
        """See `IntakeOwner`."""
        if not self._busy:
            self._report_surplus(None, is_taken=False)
            self._taint()
        elif not self._parse(piece):
            self._lose(LossCause.MALFORMED)

    def _parse(self, piece: memoryview) -> bool:
        """Parse received data; returns whether it is well-formed and within the bounds."""
        self._bounds.on_received(len(piece))
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError:
            return False
        finally:
            self._answer.flush()
        if not self._busy:
            return True
        if self._has_invalid_status or self.has_too_many_fields:
            return False
        return self._bounds.is_within()

    def is_drained(self) -> bool:
        """See `IntakeOwner`."""
        return self._answer.is_empty

    def is_full(self) -> bool:
        """See `IntakeOwner`."""
        return self._answer.body_bytes > MAX_QUEUED_BYTES

    def set_reading(self, is_reading: bool) -> None:
        """See `IntakeOwner`."""
        if not self.is_open:
            return
        assert self._transport is not None
        if is_reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def on_data_waiting(self) -> None:
        """See `IntakeOwner`."""
        self._account()

    def on_eof(self) -> None:
        """See `IntakeOwner`."""
        is_awaited = self._busy and self._head is not None and not self._skipping
        if is_awaited and loss_at_close(self.framing) is None:
            self._finish_answer()

    def on_delayed_eof(self) -> None:
        """See `IntakeOwner`."""
        if self._transport is not None:
            self._transport.close()

    def on_lost(self, cause: LossCause) -> None:
        """See `IntakeOwner`."""
        self._discard()
        if self._busy:
            self._answer.add(AnswerEvent(lost=cause))

    # -- httptools callbacks --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start of an answer."""
        self.work += 1
        if not self._busy:
            self._tainted = True
        self._reset_answer()

    def on_headers_complete(self) -> None:
        """End of the head: check whether this is the expected answer."""
        if self.has_too_many_fields:
            return
        status = self._parser.get_status_code()
        self._has_invalid_status = not is_valid_status(status)
        if not self._busy or self._has_invalid_status or is_informational(status):
            self._skipping = True
            return
        head = self._dialect.read_answer(status, self.reason, self.fields)
        is_expected = not head.has_conflicts and self._requests.is_answered_by(head)
        if not is_expected or (self._requests.latest_id and not head.request_id):
            self._report_surplus(head, is_taken=is_expected)
        if is_expected:
            self._begin_answer(head)
        else:
            self._skip_answer(head)

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        self.work += 1
        self._bounds.on_body(len(body))
        if not self._skipping and self._busy:
            self._answer.add_body(body)

    def on_message_complete(self) -> None:
        """End of the answer by its framing."""
        if self._skipping or self._head is None or not self._busy:
            return
        self._finish_answer()

    # -- internals ------------------------------------------------------------------------------

    def _report_surplus(self, head: AnswerHead | None, is_taken: bool) -> None:
        if self.on_surplus is None:
            return
        now = elapsed_seconds()
        self.on_surplus(
            SurplusData(
                address=self.address,
                connection=self.number,
                requests=self._requests.count,
                pending_id=self._requests.latest_id if self._busy else "",
                request_id=head.request_id if head is not None else "",
                status=head.status if head is not None else 0,
                not_executed=head is not None and head.not_executed,
                seconds_after_send=now - self._sent_at,
                is_taken=is_taken,
            )
        )

    def _begin_answer(self, head: AnswerHead) -> None:
        self._head = head
        self._answer_seconds = elapsed_seconds() - self._sent_at
        self._answer.add(AnswerEvent(head=head))
        if self._bodyless:
            self._tainted = True
            self._finish_answer()

    def _skip_answer(self, head: AnswerHead) -> None:
        """Discard an answer to another request; one without a known end ends the connection."""
        self._skipping = True
        self._tainted = True
        if head.has_conflicts or head.framing is Framing.CONNECTION:
            self._lose(LossCause.MALFORMED)

    def _reset_answer(self) -> None:
        self._head = None
        self.reset_head()
        self._skipping = False

    def _finish_answer(self) -> None:
        head = self._head
        assert head is not None and self._transport is not None
        self._busy = False
        if (
            head.closing
            or self.framing is Framing.CONNECTION
            or self.intake.has_data
            or self._transport.get_write_buffer_size() > 0
        ):
            self._tainted = True
        idle = head.keep_alive_seconds
        usable = DEFAULT_KEEP_ALIVE_SECONDS if idle is None else idle - KEEP_ALIVE_MARGIN_SECONDS
        self.heard_at = elapsed_seconds()
        self.usable_until = self.heard_at + usable
        self._answer.add(AnswerEvent(complete=True))

    def _account(self) -> None:
        if self.is_open:
            self.memory_share.set_held(self._collected_bytes + self.intake.memory_bytes)

    def _discard(self) -> None:
        """Drop what was received and not taken."""
        self.intake.discard()
        self.end_use()

    def _taint(self) -> None:
        self._tainted = True
        self._discard()
        if self._transport is not None:
            self._transport.abort()

    def _on_evicted(self) -> None:
        self._lose(LossCause.OVERSIZED)

    def _lose(self, cause: LossCause) -> None:
        """End the answer that is being received, and the connection with it."""
        if self._busy:
            self._answer.add(AnswerEvent(lost=cause))
        self._taint()
