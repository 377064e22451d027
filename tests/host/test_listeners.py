import asyncio
import contextlib
import datetime
import itertools
import socket
import unittest
from unittest import mock

from aiohttp import web
import uvloop

from waxwingwalk.connections import guards
from waxwingwalk.connections import limits
from waxwingwalk.core import clock
from waxwingwalk.host import listeners

REQUEST = b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"
LIMIT = datetime.timedelta(seconds=5)
# A response, or the end of a connection, has to arrive within this time. It
# is far below LIMIT, so that a connection which is only closed at the limit
# is found.
PROMPT_SECONDS = 1.0
# After this many iterations of an event loop a connection is accepted.
ACCEPT_ITERATIONS = 2
ITERATIONS = 8
LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)
# Each loop with each number of its iterations between connect and close.
ORDERS = tuple(itertools.product(LOOPS, range(ITERATIONS)))


class Caller:
    """A caller that connects without the event loop taking notice."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)))
        self._socket.setblocking(False)

    def send(self):
        """Send a request."""
        with contextlib.suppress(OSError):
            self._socket.send(REQUEST)

    async def read(self):
        """Return what arrives until the connection ends.

        Return None if the connection has not ended in PROMPT_SECONDS.
        """
        received = b""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            try:
                async with asyncio.timeout(PROMPT_SECONDS):
                    while data := await loop.sock_recv(self._socket, 4096):
                        received += data
            except TimeoutError:
                return None
        return received

    def close(self):
        """Close the connection."""
        self._socket.close()


class Server:
    """A listener whose application counts the requests that it handles."""

    def __init__(self, seconds=0.0):
        self.handled = 0
        self._seconds = seconds
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = f"127.0.0.1:{free.getsockname()[1]}"
        app = web.Application()
        app.router.add_get("/", self._handle)
        guard = guards.Guard(
            limits.Ledger(limits.ProcessLimits.derive(2**28, 4096)),
            limits.RequestLimits,
            clock.SystemClock(),
            mock.Mock(),
        )
        self.listener = listeners.Listener(
            self.address, app, guard, limits.Listener.CALLERS
        )

    async def _handle(self, request):
        self.handled += 1
        await asyncio.sleep(self._seconds)
        return web.Response(text="done")


class ListenerTests(unittest.TestCase):
    def run_on(self, factory, work):
        """Run a coroutine on an event loop of its own."""
        with asyncio.Runner(loop_factory=factory) as runner:
            return runner.run(work)

    async def _close_after_connecting(self, iterations, *, sends):
        server = Server()
        await server.listener.open()
        caller = Caller(server.address)
        if sends:
            caller.send()
        for _ in range(iterations):
            await asyncio.sleep(0)
        closing = asyncio.create_task(server.listener.close(LIMIT))
        received = await caller.read()
        await closing
        caller.close()
        return server.handled, received

    def test_connection_accepted_while_closing_ends_promptly(self):
        for factory, iterations in ORDERS:
            with self.subTest(loop=factory, iterations=iterations):
                handled, received = self.run_on(
                    factory,
                    self._close_after_connecting(iterations, sends=True),
                )
                self.assertIsNotNone(received)
                # A request is handled and answered, or neither.
                self.assertEqual(bool(handled), received.endswith(b"done"))

    def test_request_on_an_accepted_connection_is_answered(self):
        for factory, iterations in ORDERS:
            if iterations < ACCEPT_ITERATIONS:
                continue
            with self.subTest(loop=factory, iterations=iterations):
                handled, received = self.run_on(
                    factory,
                    self._close_after_connecting(iterations, sends=True),
                )
                self.assertEqual(handled, 1)
                self.assertTrue(received.endswith(b"done"))

    def test_connection_without_a_request_ends_promptly(self):
        for factory, iterations in ORDERS:
            with self.subTest(loop=factory, iterations=iterations):
                handled, received = self.run_on(
                    factory,
                    self._close_after_connecting(iterations, sends=False),
                )
                self.assertEqual((handled, received), (0, b""))

    async def _close_during_a_request(self, limit):
        server = Server(seconds=0.3)
        await server.listener.open()
        caller = Caller(server.address)
        caller.send()
        while not server.handled:
            await asyncio.sleep(0.01)
        is_complete = await server.listener.close(limit)
        received = await caller.read()
        caller.close()
        return is_complete, received

    def test_request_in_progress_is_answered_before_the_limit(self):
        for factory in LOOPS:
            is_complete, received = self.run_on(
                factory, self._close_during_a_request(LIMIT)
            )
            self.assertTrue(is_complete)
            self.assertTrue(received.endswith(b"done"))

    def test_connections_are_closed_at_the_limit(self):
        limit = datetime.timedelta(seconds=0.1)
        for factory in LOOPS:
            is_complete, received = self.run_on(
                factory, self._close_during_a_request(limit)
            )
            self.assertFalse(is_complete)
            self.assertEqual(received, b"")


if __name__ == "__main__":
    unittest.main()
