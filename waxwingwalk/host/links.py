"""Links between dispatch hosts: JSON messages over WebSockets, both ways.

A host opens links to the hosts that the reducer names, and reopens them when
they break. The reducer identifies a link by a number and decides when it has
been silent for too long.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import datetime
import functools
import itertools
import random
from typing import Protocol

import aiohttp
from aiohttp import web

from waxwingwalk.connections import protocol
from waxwingwalk.core import clock
from waxwingwalk.core import decoding
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import links as dispatch_links
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import reconnection
from waxwingwalk.host import logs
from waxwingwalk.host import records

PATH = "/v1/dispatch/link"
RECORD_HEADER = "X-Waxwingwalk-Host"
# A connection between zones takes a few milliseconds; a host that does not
# answer in this time is unreachable or has stopped.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
FRAME_MAX = 16 * 2**20
# Messages that may be queued for a link. One more closes the link, with the
# same effect as a broken connection.
QUEUE_MAX = 5000
# Parts and requests of the document that may be queued for a link; further
# ones are dropped. A host sends one request at a time, so that only a faulty
# one causes more.
BULK_QUEUE_MAX = 16
# A frame that was on its way for longer than this was delayed by the network.
# By then the sender considers the link dead and its callers have sent their
# jobs to other hosts, so processing the frame would run these jobs twice at
# the same time.
DELAY_MAX = dispatch_links.BUSY_TIMEOUT
# Assumed drift between the clocks of two hosts, as a share of the elapsed
# time; the real drift is far smaller.
CLOCK_DRIFT = 0.001

# Maximum length of a validation error in a log line, in characters.
ERROR_MAX = 500
# Maximum time to wait for the other end to confirm the close of a link.
CLOSE_TIMEOUT = datetime.timedelta(milliseconds=100)

Socket = web.WebSocketResponse | aiohttp.ClientWebSocketResponse
EventHandler = Callable[[events.Event], None]


class TrafficRecorder(Protocol):
    """Counts what is sent over links."""

    def record_frame_sent(self, sizes: list[tuple[str, int]]) -> None: ...


class _Link:
    """One end of an open link.

    Both ends measure time from the handshake, so that each can compute how
    long a frame from the other end was on its way.
    """

    def __init__(
        self,
        socket: Socket,
        time: clock.Clock,
        traffic: TrafficRecorder | None,
        log: logs.HostLog,
    ) -> None:
        self.socket = socket
        self._traffic = traffic
        self._log = log
        self._clock = time
        self._opened_at = time.now()
        self._drift = datetime.timedelta()
        self._received_at = self._opened_at
        self._least_delay = datetime.timedelta.max
        self.close_requested = asyncio.Event()
        self._queue: collections.deque[messages.Message] = collections.deque()
        self._bulk_queue: collections.deque[messages.Message] = (
            collections.deque()
        )
        self._wake = asyncio.Event()

    @property
    def queued(self) -> int:
        """How many messages wait, apart from bulk messages."""
        return len(self._queue)

    def enqueue(self, message: messages.Message) -> None:
        """Queue a message; bulk messages beyond a limit are dropped."""
        if isinstance(message, messages.BULK_MESSAGES):
            if len(self._bulk_queue) < BULK_QUEUE_MAX:
                self._bulk_queue.append(message)
        else:
            self._queue.append(message)
        self._wake.set()

    async def send_queued(self) -> None:
        """Send queued messages; those queued together share a frame.

        Each bulk message has a frame of its own, after all others.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue or self._bulk_queue:
                batch = list(self._queue)
                self._queue.clear()
                await self._send(batch or [self._bulk_queue.popleft()])

    async def _send(self, batch: list[messages.Message]) -> None:
        age = self._clock.now() - self._opened_at
        kinds, contents = [], []
        for message in batch:
            try:
                contents.append(messages.encode(message))
            except Exception as error:
                # Other messages of the link are not affected.
                _report_failure(self._log, f"message {message.kind}", error)
            else:
                kinds.append(message.kind)
        if self._traffic is not None:
            sizes = [len(content) for content in contents]
            self._traffic.record_frame_sent(
                list(zip(kinds, sizes, strict=True))
            )
        frame = messages.encode_frame(age / model.MILLISECOND, contents)
        await self.socket.send_str(frame.decode())

    def transit_time(self, frame: messages.Frame) -> datetime.timedelta:
        """Return how long a frame that has just arrived was on its way."""
        now = self._clock.now()
        sent = self._opened_at + frame.sent_ms * model.MILLISECOND
        self._drift += (now - self._received_at) * CLOCK_DRIFT
        self._received_at = now
        delay = now - sent - self._drift
        if delay < datetime.timedelta():
            # The clocks have drifted by less than was assumed.
            self._drift += delay
        self._least_delay = min(self._least_delay, delay)
        return delay

    def excess_delay(self, delay: datetime.timedelta) -> datetime.timedelta:
        """Return how much longer a frame took than the fastest one.

        The two ends do not open at the same time, so the time that the fastest
        frame took is not known.
        """
        return delay - self._least_delay


class HostLinks:
    """All links of one dispatch host."""

    def __init__(
        self,
        local_host: model.HostRecord,
        notify: EventHandler,
        log: logs.HostLog,
        time: clock.Clock,
        traffic: TrafficRecorder | None = None,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._local_host = local_host
        self._traffic = traffic
        self._draw = draw
        self._handshakes = asyncio.Semaphore(reconnection.HANDSHAKES_MAX)
        self._clock = time
        self._notify = notify
        self._log = log
        self._numbers = itertools.count(1)
        self._links: dict[int, _Link] = {}
        self._connect_tasks: dict[str, asyncio.Task[None]] = {}
        self._session: aiohttp.ClientSession | None = None

    def set_link_targets(self, addresses: frozenset[str]) -> None:
        """Keep outbound links open to exactly these hosts."""
        for address in addresses - self._connect_tasks.keys():
            self._connect_tasks[address] = asyncio.create_task(
                self._keep_open(address)
            )
        for address in self._connect_tasks.keys() - addresses:
            self._connect_tasks.pop(address).cancel()

    def send(self, number: int, message: messages.Message) -> None:
        """Queue a message; it is dropped if the link is gone."""
        link = self._links.get(number)
        if link is None:
            return
        if link.queued >= QUEUE_MAX:
            self.close_link(number)
            return
        link.enqueue(message)

    def close_link(self, number: int) -> None:
        """Close a link without waiting for the other end."""
        link = self._links.pop(number, None)
        if link is not None:
            link.close_requested.set()

    async def close(self) -> None:
        """Close every link."""
        connect_tasks = list(self._connect_tasks.values())
        for connect_task in connect_tasks:
            connect_task.cancel()
        await asyncio.gather(*connect_tasks, return_exceptions=True)
        for number in list(self._links):
            self.close_link(number)
        if self._session is not None:
            await self._session.close()

    async def _keep_open(self, address: str) -> None:
        attempts = reconnection.Reconnection(self._draw)
        while True:
            opened = None
            try:
                opened = await self._open(address)
            except aiohttp.ClientConnectorError as error:
                refused = isinstance(error.os_error, ConnectionRefusedError)
                self._notify(events.LinkFailed(address, refused))
            except (aiohttp.ClientError, TimeoutError, OSError):
                self._notify(events.LinkFailed(address, False))
            except Exception as error:
                # A record may have an address that is no URL.
                _report_failure(self._log, f"link to {address}", error)
                self._notify(events.LinkFailed(address, False))
            if opened is None:
                delay = attempts.after_failure()
            else:
                opened_at = self._clock.now()
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    await self._serve(*opened, is_outbound=True)
                delay = attempts.after_link(self._clock.now() - opened_at)
            await asyncio.sleep(delay.total_seconds())

    async def _open(
        self, address: str
    ) -> tuple[aiohttp.ClientWebSocketResponse, model.HostRecord] | None:
        """Open a link; return None if the far end is not a dispatch host."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                headers={
                    RECORD_HEADER: records.encode(self._local_host).decode()
                },
            )
        async with (
            self._handshakes,
            asyncio.timeout(CONNECT_TIMEOUT.total_seconds()),
        ):
            socket = await self._session.ws_connect(
                f"http://{address}{PATH}", max_msg_size=FRAME_MAX, compress=0
            )
            greeting = await socket.receive()
        host = _decode_greeting(greeting)
        if host is None:
            await _close_socket(socket)
            self._notify(events.LinkFailed(address, False))
            return None
        return socket, host

    async def accept(self, request: web.Request) -> web.WebSocketResponse:
        """Serve a link that another host opened."""
        header = request.headers.get(RECORD_HEADER, "")
        host = records.decode_host(header.encode()).value_or(None)
        if host is None:
            raise web.HTTPBadRequest(text="not a dispatch host")
        socket = web.WebSocketResponse(max_msg_size=FRAME_MAX, compress=False)
        try:
            await socket.prepare(request)
            protocol.become_link(request)
            await socket.send_str(records.encode(self._local_host).decode())
        except (aiohttp.ClientError, OSError) as error:
            # The other host closed the connection during the handshake.
            self._log.info("link.broken", host=host.address, error=repr(error))
            return socket
        await self._serve(
            socket,
            host,
            is_outbound=False,
            on_message=functools.partial(protocol.end_link_message, request),
        )
        return socket

    async def _serve(
        self,
        socket: Socket,
        host: model.HostRecord,
        *,
        is_outbound: bool,
        on_message: Callable[[], None] = lambda: None,
    ) -> None:
        number = next(self._numbers)
        link = _Link(socket, self._clock, self._traffic, self._log)
        self._links[number] = link
        self._notify(events.LinkOpened(number, host, is_outbound))
        tasks = [
            asyncio.create_task(link.send_queued()),
            asyncio.create_task(self._read(number, socket, on_message)),
            asyncio.create_task(link.close_requested.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._links.pop(number, None)
            self._notify(events.LinkClosed(number))
            for task in tasks:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
            for error in ended:
                if isinstance(error, Exception):
                    self._log.info(
                        "link.broken", host=host.address, error=repr(error)
                    )
            await _close_socket(socket)

    async def _read(
        self, number: int, socket: Socket, on_message: Callable[[], None]
    ) -> None:
        async for frame in socket:
            on_message()
            self._receive(number, frame)

    def _receive(self, number: int, frame: aiohttp.WSMessage) -> None:
        if frame.type is not aiohttp.WSMsgType.TEXT:
            return
        received = self._decode(frame.data)
        if received is None:
            return
        link = self._links.get(number)
        if link is None:
            return
        delay = link.transit_time(received)
        if delay > DELAY_MAX:
            self._log.info(
                "link.held_up",
                delay_ms=model.milliseconds(delay),
                messages=len(received.messages),
            )
            self.close_link(number)
            return
        late_ms = link.excess_delay(delay) / model.MILLISECOND
        for message in received.messages:
            try:
                messages.deduct_delay(message, late_ms)
                self._notify(events.MessageReceived(number, message))
            except Exception as error:
                # Other messages of the link are not affected.
                _report_failure(self._log, f"message {message.kind}", error)

    def _decode(self, content: str) -> messages.Frame | None:
        """Return a frame without its malformed messages, if it is one.

        A host of another version may send messages unknown to this one.
        """
        try:
            return messages.decoder.validate_json(content)
        except decoding.MalformedError as error:
            first = str(error)
        frame = None
        errors = [first]
        with contextlib.suppress(decoding.MalformedError):
            frame, errors = messages.decode_separately(content)
        self._log.error(
            "link.not_understood",
            error=errors[0][:ERROR_MAX],
            messages=len(errors),
        )
        return frame


def _report_failure(log: logs.HostLog, where: str, error: Exception) -> None:
    log.error(
        "internal.error",
        where=where,
        error=f"{type(error).__name__}: {error}",
        exc_info=error,
    )


def _decode_greeting(frame: aiohttp.WSMessage) -> model.HostRecord | None:
    if frame.type is not aiohttp.WSMsgType.TEXT:
        return None
    return records.decode_host(frame.data.encode()).value_or(None)


async def _close_socket(socket: Socket) -> None:
    """Close a link's connection, waiting at most ``CLOSE_TIMEOUT``."""
    with contextlib.suppress(
        TimeoutError, aiohttp.ClientError, OSError, RuntimeError
    ):
        async with asyncio.timeout(CLOSE_TIMEOUT.total_seconds()):
            await socket.close()
