"""Links between dispatch hosts: JSON messages over WebSockets, both ways.

A host opens links to the hosts that the reducer names, and opens them again
when they break. The reducer knows a link by a number and decides when it has
been silent for too long.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import datetime
import itertools

import aiohttp
from aiohttp import web
import pydantic

from waxwingwalk.core import clock
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import links as dispatch_links
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.host import logs
from waxwingwalk.host import records

PATH = "/v1/dispatch/link"
RECORD_HEADER = "X-Waxwingwalk-Host"
# Between zones a connection takes a few milliseconds; a host that does not
# answer is cut off or dead.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
# A connection attempt that failed is not repeated sooner than this.
RECONNECT_PAUSE = datetime.timedelta(milliseconds=150)
RECONNECT_PAUSE_MAX = datetime.timedelta(seconds=1)
FRAME_MAX = 16 * 2**20
# Messages that may wait for a link; beyond it is closed, as if it were cut.
QUEUE_MAX = 5000
# What was sent this long before it arrives was held up by the network. The
# sender has taken the link for dead by then, and its callers ask elsewhere: to
# act on it would run their jobs twice at a time.
DELAY_MAX = dispatch_links.BUSY_TIMEOUT
# Clocks of two hosts may drift apart by this much, far more than they do.
CLOCK_DRIFT = 0.001

# A far end that does not confirm the end of a link is left alone after this.
CLOSE_TIMEOUT = datetime.timedelta(milliseconds=100)

Socket = web.WebSocketResponse | aiohttp.ClientWebSocketResponse
Notify = Callable[[events.Event], None]


class _Link:
    """One end of an open link.

    Both ends count time from the handshake, so that each can tell how long
    a frame of the other was on its way.
    """

    def __init__(self, socket: Socket, time: clock.Clock) -> None:
        self.socket = socket
        self._clock = time
        self._opened_at = time.now()
        self._drift = datetime.timedelta()
        self._received_at = self._opened_at
        self.broken = asyncio.Event()
        self.queue: collections.deque[messages.Message] = collections.deque()
        self.wake = asyncio.Event()

    async def pump(self) -> None:
        """Send what is queued, together what arose together."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch = list(self.queue)
            self.queue.clear()
            if batch:
                age = self._clock.now() - self._opened_at
                frame = messages.Frame(age / model.MILLISECOND, batch)
                content = messages.decoder.dump_json(frame)
                await self.socket.send_str(content.decode())

    def delay_of(self, frame: messages.Frame) -> datetime.timedelta:
        """Return how long a frame that has just arrived was on its way."""
        now = self._clock.now()
        sent = self._opened_at + frame.sent_ms * model.MILLISECOND
        self._drift += (now - self._received_at) * CLOCK_DRIFT
        self._received_at = now
        delay = now - sent - self._drift
        if delay < datetime.timedelta():
            # The clocks differ by less than was allowed for.
            self._drift += delay
        return delay


class HostLinks:
    """All links of one dispatch host."""

    def __init__(
        self,
        local_host: model.HostRecord,
        notify: Notify,
        log: logs.HostLog,
        time: clock.Clock,
    ) -> None:
        self._local_host = local_host
        self._clock = time
        self._notify = notify
        self._log = log
        self._numbers = itertools.count(1)
        self._links: dict[int, _Link] = {}
        self._openers: dict[str, asyncio.Task[None]] = {}
        self._session: aiohttp.ClientSession | None = None

    def set_link_targets(self, addresses: frozenset[str]) -> None:
        """Keep links to exactly these hosts."""
        for address in addresses - self._openers.keys():
            self._openers[address] = asyncio.create_task(
                self._keep_open(address)
            )
        for address in self._openers.keys() - addresses:
            self._openers.pop(address).cancel()

    def send(self, number: int, message: messages.Message) -> None:
        """Queue a message; it is dropped if the link is gone."""
        link = self._links.get(number)
        if link is None:
            return
        if len(link.queue) >= QUEUE_MAX:
            self.close_link(number)
            return
        link.queue.append(message)
        link.wake.set()

    def close_link(self, number: int) -> None:
        """Close a link without waiting for its far end."""
        link = self._links.pop(number, None)
        if link is not None:
            link.broken.set()

    async def close(self) -> None:
        """Close every link."""
        openers = list(self._openers.values())
        for opener in openers:
            opener.cancel()
        await asyncio.gather(*openers, return_exceptions=True)
        for number in list(self._links):
            self.close_link(number)
        if self._session is not None:
            await self._session.close()

    async def _keep_open(self, address: str) -> None:
        pause = RECONNECT_PAUSE
        while True:
            was_open = False
            try:
                was_open = await self._open(address)
            except aiohttp.ClientConnectorError as error:
                refused = isinstance(error.os_error, ConnectionRefusedError)
                self._notify(events.LinkFailed(address, refused))
            except (aiohttp.ClientError, TimeoutError, OSError):
                self._notify(events.LinkFailed(address, False))
            if was_open:
                pause = RECONNECT_PAUSE
                continue
            await asyncio.sleep(pause.total_seconds())
            pause = min(pause * 1.5, RECONNECT_PAUSE_MAX)

    async def _open(self, address: str) -> bool:
        """Open a link and serve it until it breaks."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                headers={
                    RECORD_HEADER: records.encode(self._local_host).decode()
                },
            )
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
            socket = await self._session.ws_connect(
                f"http://{address}{PATH}", max_msg_size=FRAME_MAX, compress=0
            )
            greeting = await socket.receive()
        host = _read_greeting(greeting)
        if host is None:
            await _close_socket(socket)
            self._notify(events.LinkFailed(address, False))
            return False
        await self._serve(socket, host, is_ours=True)
        return True

    async def accept(self, request: web.Request) -> web.WebSocketResponse:
        """Serve a link that another host opened."""
        header = request.headers.get(RECORD_HEADER, "")
        host = records.decode_host(header.encode()).value_or(None)
        if host is None:
            raise web.HTTPBadRequest(text="not a dispatch host")
        socket = web.WebSocketResponse(max_msg_size=FRAME_MAX, compress=False)
        try:
            await socket.prepare(request)
            await socket.send_str(records.encode(self._local_host).decode())
        except (aiohttp.ClientError, OSError) as error:
            # The host gave up before its request was read here.
            self._log.info("link.broken", host=host.address, error=repr(error))
            return socket
        await self._serve(socket, host, is_ours=False)
        return socket

    async def _serve(
        self,
        socket: Socket,
        host: model.HostRecord,
        *,
        is_ours: bool,
    ) -> None:
        number = next(self._numbers)
        link = _Link(socket, self._clock)
        self._links[number] = link
        self._notify(events.LinkOpened(number, host, is_ours))
        halves = [
            asyncio.create_task(link.pump()),
            asyncio.create_task(self._read(number, socket)),
            asyncio.create_task(link.broken.wait()),
        ]
        try:
            await asyncio.wait(halves, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._links.pop(number, None)
            self._notify(events.LinkClosed(number))
            for half in halves:
                half.cancel()
            ended = await asyncio.gather(*halves, return_exceptions=True)
            for error in ended:
                if isinstance(error, Exception):
                    self._log.info(
                        "link.broken", host=host.address, error=repr(error)
                    )
            await _close_socket(socket)

    async def _read(self, number: int, socket: Socket) -> None:
        async for frame in socket:
            self._receive(number, frame)

    def _receive(self, number: int, frame: aiohttp.WSMessage) -> None:
        if frame.type is not aiohttp.WSMsgType.TEXT:
            return
        try:
            received = messages.decoder.validate_json(frame.data)
        except pydantic.ValidationError as error:
            # A host of another version may say what is not known here.
            self._log.error("link.not_understood", error=str(error)[:500])
            return
        link = self._links.get(number)
        if link is None:
            return
        delay = link.delay_of(received)
        if delay > DELAY_MAX:
            self._log.info(
                "link.held_up",
                delay_ms=model.milliseconds(delay),
                messages=len(received.messages),
            )
            self.close_link(number)
            return
        for message in received.messages:
            self._notify(events.MessageReceived(number, message))


def _read_greeting(frame: aiohttp.WSMessage) -> model.HostRecord | None:
    if frame.type is not aiohttp.WSMsgType.TEXT:
        return None
    return records.decode_host(frame.data.encode()).value_or(None)


async def _close_socket(socket: Socket) -> None:
    """Close a link's connection; a silent far end is not waited for."""
    with contextlib.suppress(
        TimeoutError, aiohttp.ClientError, OSError, RuntimeError
    ):
        async with asyncio.timeout(CLOSE_TIMEOUT.total_seconds()):
            await socket.close()
