"""Links to peers: JSON messages over WebSockets, in one direction each.

A process sends over links that it opened and receives over links that its
peers opened. Messages that are queued for the same peer are sent in one frame.
A link is opened when there is a message to send. When it breaks, it is
reopened at once, so that a peer that has ended is detected by the refused
connection.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import datetime
import math
from typing import Any

import aiohttp
from aiohttp import web
import orjson
import pydantic

from waxwingwalk.connections import protocol
from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import messages
from waxwingwalk.entry import traffic

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# Minimum time between failed connection attempts. Not enforced at present: the
# next message to the peer opens the link again.
RECONNECT_PAUSE = datetime.timedelta(milliseconds=200)
# A queue that has reached this many messages is cleared before the next one is
# added.
QUEUE_MAX = 2000
FRAME_MAX = 16 * 2**20
LINK_PATH = "/v1/link"
ADDRESS_HEADER = "X-Waxwingwalk-Address"
INCARNATION_HEADER = "X-Waxwingwalk-Incarnation"

EventHandler = Callable[[events.Event], None]
# Is passed where an unexpected exception was raised, and the exception.
FailureReporter = Callable[[str, Exception], None]
# Returns the seconds by which messages to an address are delayed, or infinity
# if they are dropped; for failure tests and benchmarks.
DelayFunction = Callable[[str], float]


def no_delay(address: str) -> float:
    """Return 0: messages are sent without delay."""
    return 0.0


@dataclasses.dataclass(slots=True)
class _Link:
    address: str
    queue: collections.deque[messages.Message]
    wake: asyncio.Event
    task: asyncio.Task[None] | None = None


class PeerLinks:
    """The links between one process and its peers."""

    def __init__(
        self,
        process: identity.ProcessId,
        secret: str,
        notify: EventHandler,
        report_failure: FailureReporter,
        sent_traffic: traffic.Traffic,
        delay: DelayFunction = no_delay,
    ) -> None:
        self._process = process
        self._handle_event = notify
        self._report_failure = report_failure
        self._traffic = sent_traffic
        self._delay = delay
        self._headers = {
            "Authorization": f"Bearer {secret}",
            ADDRESS_HEADER: process.address,
            INCARNATION_HEADER: process.incarnation,
        }
        self._links: dict[str, _Link] = {}
        self._incoming: set[web.WebSocketResponse] = set()
        self._session = aiohttp.ClientSession(
            headers=self._headers, cookie_jar=aiohttp.DummyCookieJar()
        )

    @property
    def session(self) -> aiohttp.ClientSession:
        """A client session that sends this process's credentials."""
        return self._session

    def send(self, address: str, message: messages.Message) -> None:
        """Queue a message; it is dropped if the peer is unreachable."""
        link = self._links.get(address)
        if link is None:
            link = _Link(address, collections.deque(), asyncio.Event())
            self._links[address] = link
            link.task = asyncio.create_task(self._run(link))
        if len(link.queue) >= QUEUE_MAX:
            link.queue.clear()
        link.queue.append(message)
        link.wake.set()

    async def close(self) -> None:
        """Close all links."""
        for link in list(self._links.values()):
            if link.task is not None:
                link.task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await link.task
        for socket in list(self._incoming):
            await socket.close()
        await self._session.close()

    def _notify(self, event: events.Event) -> None:
        """Pass on an event; the link outlives a failure of its handler."""
        try:
            self._handle_event(event)
        except Exception as error:
            self._report_failure("link", error)

    async def _run(self, link: _Link) -> None:
        """Keep a link open; the next message replaces one that has failed."""
        try:
            await self._keep_open(link)
        except Exception as error:
            self._report_failure("link", error)
        finally:
            if self._links.get(link.address) is link:
                del self._links[link.address]

    async def _keep_open(self, link: _Link) -> None:
        """Keep a link open until a connection attempt fails."""
        incarnation: str | None = None
        while True:
            try:
                timeout = CONNECT_TIMEOUT.total_seconds()
                async with asyncio.timeout(timeout):
                    socket = await self._session.ws_connect(
                        f"http://{link.address}{LINK_PATH}",
                        max_msg_size=FRAME_MAX,
                        compress=0,
                    )
            except aiohttp.ClientConnectorError as error:
                self._close(link, incarnation, _is_refused(error))
                return
            except (aiohttp.ClientError, TimeoutError, OSError):
                self._close(link, incarnation, False)
                return
            incarnation = await _read_incarnation(socket)
            if incarnation is None:
                await socket.close()
                self._close(link, None, False)
                return
            self._notify(events.PeerLinkOpened(link.address, incarnation))
            with contextlib.suppress(aiohttp.ClientError, OSError):
                await self._send_queued(link, socket)
            link.queue.clear()

    def _close(
        self, link: _Link, incarnation: str | None, refused: bool
    ) -> None:
        del self._links[link.address]
        self._notify(events.PeerLinkClosed(link.address, incarnation, refused))

    async def _send_queued(
        self, link: _Link, socket: aiohttp.ClientWebSocketResponse
    ) -> None:
        """Send queued messages until the peer closes the link."""
        closed = asyncio.create_task(_wait_closed(socket))
        closed.add_done_callback(lambda _: link.wake.set())
        try:
            while not closed.done():
                await link.wake.wait()
                link.wake.clear()
                if link.queue and not closed.done():
                    batch = list(link.queue)
                    link.queue.clear()
                    await self._send_batch(link.address, socket, batch)
        finally:
            closed.cancel()
            await socket.close()

    async def _send_batch(
        self,
        address: str,
        socket: aiohttp.ClientWebSocketResponse,
        batch: Sequence[messages.Message],
    ) -> None:
        frame = orjson.dumps(batch)
        self._traffic.count("peer_frame", len(frame))
        for message in batch:
            self._traffic.count(f"peer_{message.kind}")
        delay = self._delay(address)
        if delay == math.inf:
            return
        if delay > 0:
            asyncio.get_running_loop().call_later(
                delay, _start_send, socket, frame
            )
            return
        await socket.send_str(frame.decode())

    async def accept(self, request: web.Request) -> web.WebSocketResponse:
        """Receive messages over a link that a peer opened."""
        address = request.headers.get(ADDRESS_HEADER, "")
        incarnation = request.headers.get(INCARNATION_HEADER, "")
        socket = web.WebSocketResponse(max_msg_size=FRAME_MAX, compress=False)
        await socket.prepare(request)
        protocol.become_link(request)
        await socket.send_str(self._process.incarnation)
        self._incoming.add(socket)
        self._notify(events.PeerLinkOpened(address, incarnation))
        try:
            async for frame in socket:
                protocol.end_link_message(request)
                self._receive(address, incarnation, frame)
        finally:
            self._incoming.discard(socket)
            self._notify(events.PeerLinkClosed(address, incarnation))
        return socket

    def _receive(
        self, address: str, incarnation: str, frame: aiohttp.WSMessage
    ) -> None:
        if frame.type is not aiohttp.WSMsgType.TEXT:
            return
        for content in self._parse_frame(frame.data):
            try:
                message = messages.decoder.validate_python(content)
            except pydantic.ValidationError:
                # Peers of other versions may send unknown message kinds.
                self._traffic.count("peer_not_understood")
                continue
            self._notify(
                events.PeerMessageReceived(address, incarnation, message)
            )

    def _parse_frame(self, text: str) -> list[Any]:
        """Return the messages of a frame, none if it is malformed."""
        try:
            contents = orjson.loads(text)
        except orjson.JSONDecodeError:
            contents = None
        if isinstance(contents, list):
            return contents
        self._traffic.count("peer_not_understood")
        return []


def _is_refused(error: aiohttp.ClientConnectorError) -> bool:
    return isinstance(error.os_error, ConnectionRefusedError)


async def _read_incarnation(
    socket: aiohttp.ClientWebSocketResponse,
) -> str | None:
    """Return the incarnation that a peer sends first, None if it fails to."""
    try:
        return await socket.receive_str(
            timeout=CONNECT_TIMEOUT.total_seconds()
        )
    except (aiohttp.ClientError, TimeoutError, TypeError):
        return None


async def _wait_closed(socket: aiohttp.ClientWebSocketResponse) -> None:
    """Return when the peer closes a link.

    A peer sends nothing over it but its incarnation, which was read before.
    """
    async for _ in socket:
        continue


def _start_send(socket: aiohttp.ClientWebSocketResponse, frame: bytes) -> None:
    async def send() -> None:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            await socket.send_str(frame.decode())

    asyncio.ensure_future(send())
