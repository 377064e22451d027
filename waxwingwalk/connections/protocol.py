"""The HTTP library's protocol, within the limits of a process.

A connection passes what it receives to the library in slices. After each one
it reports what it holds to the process's ledger. Connections with more than a
slice to read take turns, one in each iteration of the event loop, so that
those with little to read do not wait for them.
"""

import asyncio
import datetime
from typing import Any
from typing import cast

from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol
import orjson

from waxwingwalk.connections import guards
from waxwingwalk.connections import limits
from waxwingwalk.core import results

# What the library parses of one connection at a time, in bytes.
SLICE = 8 * 2**10
# Slices that the library may keep unparsed while its buffers are full.
UNPARSED_SLICES = 2
# How long the library reads on after an answer, so that a client that still
# sends gets to read it.
LINGER = datetime.timedelta(seconds=1)
# A field has a name, a colon and a line end.
FIELD_BYTES_MIN = 4
HEAD_END = b"\r\n\r\n"
# Messages of links that are not larger need no account.
LINK_MESSAGE_BYTES = 64 * 2**10
# What may still arrive on a connection whose request was refused, in bytes.
DISCARDED_MAX = 2**20
RETRY_AFTER_SECONDS = "1"
# The library's form of a request that it answers with an error.
ErrorInfo = web_protocol._ErrInfo


class RequestRefusedError(Exception):
    """A request is refused, or the rest of its body is not read."""

    def __init__(self, reason: limits.Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class GuardedProtocol(web_protocol.RequestHandler):
    """A connection of a client that keeps to the limits."""

    __slots__ = (
        "connection",
        "_guard",
        "_request_limits",
        "_pending",
        "_is_waiting_for_turn",
        "_is_refused",
        "_head_bytes",
        "_head_lines",
        "_message",
        "_link_bytes",
        "_payload",
        "_body_bytes",
        "_discarded_bytes",
    )

    def __init__(
        self,
        server: web.Server,
        guard: guards.Guard,
        listener: limits.Listener,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        request_limits = guard.request_limits
        header_bytes = request_limits.header_bytes
        super().__init__(
            server,
            loop=loop,
            access_log=cast(Any, None),
            max_line_size=header_bytes,
            max_field_size=header_bytes,
            max_headers=header_bytes // FIELD_BYTES_MIN,
            lingering_time=LINGER.total_seconds(),
            read_bufsize=SLICE,
        )
        self.connection = limits.Connection(listener, guard.now())
        self._guard = guard
        self._request_limits = request_limits
        # Received, and not passed to the library yet.
        self._pending = b""
        self._is_waiting_for_turn = False
        self._is_refused = False
        # The bytes and lines of a head that has not ended.
        self._head_bytes = 0
        self._head_lines = 0
        # The head of the last request, as the library has parsed it.
        self._message: Any = None
        # The body of the last request, and its bytes with their framing.
        self._payload: streams.StreamReader = streams.EMPTY_PAYLOAD
        self._body_bytes = 0
        # What has arrived of a message of a link, at most.
        self._link_bytes = 0
        # What arrived after the request was refused.
        self._discarded_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.connection.listener is not limits.Listener.PEERS:
            cast(asyncio.WriteTransport, transport).set_write_buffer_limits(
                limits.WRITE_BUFFER
            )
        self._guard.connection_made(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._pending = b""
        self._guard.connection_lost(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        super().pause_writing()
        self.connection.blocked_at = self._guard.now()

    def resume_writing(self) -> None:
        super().resume_writing()
        self.connection.blocked_at = None

    def data_received(self, data: bytes) -> None:
        if self._is_refused:
            self._discard(data)
        elif self._payload_parser is not None:
            self._receive_on_link(data)
        elif not data:
            # The library parses what it has kept.
            self._parse(data)
        elif self._pending:
            self._pending += data
            self._wait_for_turn()
        elif len(data) > SLICE:
            self._pending = data[SLICE:]
            self._parse(data[:SLICE])
            self._wait_for_turn()
        else:
            self._parse(data)
            if self._body_bytes > SLICE:
                self._wait_for_turn()

    def _receive_on_link(self, data: bytes) -> None:
        """Pass on a part of a message of a link, which may be a large one."""
        self._link_bytes += len(data)
        super().data_received(data)
        if self._link_bytes > LINK_MESSAGE_BYTES:
            self._guard.hold(self.connection, self._link_bytes)

    def end_link_message(self) -> None:
        """Record that a message of a link has arrived whole."""
        self._link_bytes = 0
        if self.connection.arriving:
            self._guard.hold(self.connection, 0)

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > DISCARDED_MAX and self.transport:
            self.transport.abort()

    def read_slice(self) -> None:
        """Pass the next slice to the library; read on if there is none."""
        self._is_waiting_for_turn = False
        if self.transport is None:
            return
        if self._is_refused:
            # The rest is discarded, and a client that leaves is noticed.
            super()._resume_transport_reading()
            return
        if self._reading_paused or self._buffer_paused:
            # The library goes on once its buffers are empty.
            return
        if self._pending:
            data, self._pending = self._pending[:SLICE], self._pending[SLICE:]
            if self._payload_parser is not None:
                self._receive_on_link(data)
            else:
                self._parse(data)
        if self._pending:
            self._wait_for_turn()
        else:
            self._resume_transport_reading()

    def _wait_for_turn(self) -> None:
        if (
            self._is_waiting_for_turn
            or self._is_refused
            or self.transport is None
        ):
            return
        self._is_waiting_for_turn = True
        self._pause_transport_reading()
        self._guard.wait_for_turn(self)

    def _resume_transport_reading(self) -> None:
        if self._pending and not self._is_refused:
            self._wait_for_turn()
        elif not self._is_waiting_for_turn:
            super()._resume_transport_reading()

    def _parse(self, data: bytes) -> None:
        """Pass a slice to the library, and account for it."""
        count = self._request_count
        was_body = not self._payload.is_eof()
        super().data_received(data)
        if self._request_count != count:
            if not self._note_request(data):
                return
        elif was_body:
            self._body_bytes += len(data)
        else:
            self._head_bytes += len(data)
            self._head_lines += data.count(b"\n")
            if self._head_bytes > self._request_limits.header_bytes:
                self._refuse_request(limits.Reason.HEAD)
        if self._is_refused:
            return
        size = self._arriving_size()
        if size or self.connection.arriving:
            self._guard.hold(self.connection, size)
        if was_body:
            self._check_framing()

    def _check_framing(self) -> None:
        """Refuse a body whose framing is larger than chunks need."""
        payload = self._payload
        if payload.is_eof() or self._is_refused:
            return
        # What the library has not parsed yet is no content so far.
        unparsed = UNPARSED_SLICES * SLICE
        if self._body_bytes > unparsed + self._request_limits.body_wire_bytes(
            payload.total_raw_bytes
        ):
            self._refuse_request(limits.Reason.FRAMING)

    def _note_request(self, data: bytes) -> bool:
        """Record that a head has ended; return whether more is to be done.

        That is not so for a request that has arrived in one piece.
        """
        message, payload = self._messages[-1]
        head_bytes = self._head_bytes
        self._head_bytes = self._head_lines = self._body_bytes = 0
        self._payload = payload
        if isinstance(message, ErrorInfo):
            # The library answers it, and nothing that follows can be read.
            reason = limits.Reason.MALFORMED
            if isinstance(message.exc, http_exceptions.LineTooLong):
                reason = limits.Reason.HEAD
            self._messages.pop()
            self._stop_reading(reason)
            self._append_refusal(reason, message.message)
            return False
        self._message = message
        limit = self._request_limits.header_bytes
        if head_bytes + len(data) > limit:
            end = data.find(HEAD_END)
            if head_bytes + end + len(HEAD_END) > limit:
                # The library's task has been woken for this request.
                self._messages.pop()
                self._stop_reading(limits.Reason.HEAD)
                self._append_refusal(limits.Reason.HEAD)
                return False
        return bool(
            self.connection.arriving
            or self._pending
            or len(self._messages) > 1
            or not payload.is_eof()
        )

    @staticmethod
    def _estimate_head(message: Any) -> int:
        """Return about how many bytes of memory a parsed head takes."""
        if message is None:
            return 0
        fields = message.raw_headers
        return limits.LINE_BYTES * len(fields) + limits.HEAD_FACTOR * sum(
            len(name) + len(value) for name, value in fields
        )

    def _arriving_size(self) -> int:
        """Return about what requests that are not served yet hold."""
        size = len(self._pending)
        if self._head_bytes:
            size += (
                limits.HEAD_FACTOR * self._head_bytes
                + limits.LINE_BYTES * self._head_lines
            )
        payload = self._payload
        if not payload.is_eof():
            size += self._estimate_head(self._message) + max(
                self._body_bytes, payload.total_bytes
            )
        if len(self._messages) > 1:
            size += sum(
                self._estimate_head(message) for message, _ in self._messages
            )
        return size

    def serve(self, size: int) -> bool:
        """Return whether there is room to serve a request of some size."""
        ledger = self._guard.ledger
        if ledger.serve(
            self.connection, size + self._estimate_head(self._message)
        ):
            return True
        self._guard.record_refusal(
            self.connection.listener, limits.Reason.MEMORY
        )
        return False

    def end_request(self) -> None:
        """Record that a request is over."""
        self._guard.ledger.end(self.connection)

    def become_link(self) -> None:
        """Record that the connection is a link between hosts."""
        self._guard.ledger.link(self.connection)

    def refuse(self, reason: limits.Reason) -> None:
        """Refuse the request that arrives, or close the connection."""
        if reason in limits.CODES and self._payload_parser is None:
            self._refuse_request(reason)
            return
        self._stop_reading(reason)
        if self.transport is not None:
            self.transport.abort()

    def discard_body(self, reason: limits.Reason) -> None:
        """Read no more of the current body; its handler answers."""
        self._stop_reading(reason)

    def _refuse_request(self, reason: limits.Reason) -> None:
        """Answer a request that has not arrived whole, and read no more.

        A request that has arrived before it gets its answer.
        """
        if self._is_refused:
            return
        payload = self._payload
        self._stop_reading(reason)
        if not payload.is_eof():
            # Its handler answers, if it reads the body.
            self._lingering_time = 0.0
            payload.set_exception(RequestRefusedError(reason))
            self.close()
        elif self._current_request is not None:
            self._messages.clear()
            self.close()
        elif self._messages:
            # The library's task has been woken for the first one.
            first = self._messages[0]
            self._messages.clear()
            self._messages.append(first)
            self.close()
        else:
            self._append_refusal(reason)

    def _stop_reading(self, reason: limits.Reason) -> None:
        if self._is_refused:
            return
        self._is_refused = True
        self._pending = b""
        # It keeps what it has parsed of a request.
        self._parser = None
        connection = self.connection
        self._guard.ledger.hold(connection, 0, self._guard.now())
        self._guard.record_refusal(connection.listener, reason)

    def _append_refusal(
        self, reason: limits.Reason, detail: str | None = None
    ) -> None:
        """Let the library answer with a refusal, and close.

        The library waits some time for the end of the body, which does not
        come, so that the client can read the answer: the system drops what
        was sent if a connection is closed with bytes that were not read.
        """
        error = RequestRefusedError(reason)
        status = results.CODES[limits.CODES[reason]].http_status
        body = streams.StreamReader(self, SLICE, loop=self._loop)
        self._messages.append(
            (ErrorInfo(status, error, detail or str(error)), body)
        )
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        if self._is_refused:
            # What follows is discarded, so the client must not send more.
            resp.force_close()
        elif self._estimate_head(self._message) > limits.KEPT_HEAD_BYTES:
            # The library keeps the head until the connection is closed.
            resp.force_close()
        return await super().finish_response(request, resp, start_time)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if not isinstance(exc, RequestRefusedError):
            return super().handle_error(request, status, exc, message)
        # The body keeps the error, and its traceback would keep the request.
        exc.__traceback__ = None
        if request.writer.output_size > 0:
            raise ConnectionError("a response has been sent in part")
        code = limits.CODES[exc.reason]
        response = web.Response(
            status=limits.STATUSES.get(
                exc.reason, results.CODES[code].http_status
            ),
            body=orjson.dumps(
                {
                    "code": int(code),
                    "name": code.name,
                    "error": message or str(exc),
                }
            ),
            content_type="application/json",
        )
        if exc.reason is limits.Reason.MEMORY:
            response.headers["Retry-After"] = RETRY_AFTER_SECONDS
        response.force_close()
        return response


def serve(request: web.BaseRequest, size: int) -> bool:
    """Return whether there is room to serve a request of some size.

    It is held until the request is answered.
    """
    protocol = request.protocol
    return not isinstance(protocol, GuardedProtocol) or protocol.serve(size)


def become_link(request: web.BaseRequest) -> None:
    """Record that the connection of a request is a link between hosts."""
    if isinstance(request.protocol, GuardedProtocol):
        request.protocol.become_link()


def end_link_message(request: web.BaseRequest) -> None:
    """Record that a message of a link has arrived whole."""
    if isinstance(request.protocol, GuardedProtocol):
        request.protocol.end_link_message()


def end_request(request: web.BaseRequest) -> None:
    """Record that a request was answered."""
    if isinstance(request.protocol, GuardedProtocol):
        request.protocol.end_request()
