"""HTTP listeners that answer what they have accepted before they close."""

import asyncio
from collections.abc import Callable
import datetime
import socket

from aiohttp import web

from waxwingwalk.connections import guards
from waxwingwalk.connections import limits
from waxwingwalk.connections import sites

# Time for the first request of a connection that was accepted just before the
# listener was closed to arrive.
FIRST_REQUEST_TIME = datetime.timedelta(milliseconds=50)
# An event loop needs fewer iterations than this from accepting a connection
# until its handler waits for a request.
ACCEPT_ITERATIONS = 8
# An event loop needs fewer iterations than this from the answer of a job until
# its response is written.
ANSWER_ITERATIONS = 8


class Listener:
    """An application that is served at an address.

    Its connections keep to the limits of ``guard``, as those of a kind.

    ::

        listener = Listener(
            "10.1.0.13:8161", app, guard, limits.Listener.CALLERS
        )
        await listener.open()
        await listener.close(datetime.timedelta(seconds=2))
    """

    def __init__(
        self,
        address: str,
        app: web.Application,
        guard: guards.Guard,
        kind: limits.Listener,
    ) -> None:
        self._address = address
        self._guard = guard
        self._kind = kind
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True
        )
        self._socket: socket.socket | None = None

    async def open(self) -> None:
        """Accept connections from now on."""
        host, _, port = self._address.rpartition(":")
        self._socket = sites.listen(
            host, int(port), self._kind, self._guard.ledger.limits.backlog
        )
        await self._runner.setup()
        await sites.GuardedSite(
            self._runner, self._socket, self._guard, self._kind
        ).start()

    async def close(
        self,
        limit: datetime.timedelta,
        at_limit: Callable[[], None] | None = None,
    ) -> bool:
        """Stop accepting connections, and answer the requests that were read.

        Return whether all of them were answered within the limit. If not,
        ``at_limit`` is called, which may answer the others. No connection is
        open afterwards.
        """
        await self._stop_accepting()
        await asyncio.sleep(FIRST_REQUEST_TIME.total_seconds())
        # The clean-up closes idle connections by interrupting their handlers.
        # A handler that starts to wait for a request only then is missed, and
        # its connection stays open without being read. If the event loop was
        # delayed, the time above has passed within one iteration.
        await _run_iterations(ACCEPT_ITERATIONS)
        server = self._runner.server
        cleanup = asyncio.create_task(self._runner.cleanup())
        try:
            await asyncio.wait([cleanup], timeout=limit.total_seconds())
            # If the event loop was delayed, answers may not be written yet.
            await _run_iterations(ANSWER_ITERATIONS)
            if cleanup.done():
                await cleanup
                return True
            if at_limit is not None:
                at_limit()
                await _run_iterations(ANSWER_ITERATIONS)
        finally:
            cleanup.cancel()
        await asyncio.gather(cleanup, return_exceptions=True)
        # The cancelled clean-up leaves its connections open.
        if server is not None:
            for connection in server.connections:
                connection.force_close()
        return False

    async def _stop_accepting(self) -> None:
        """Close the listening socket, once accepted connections are set up.

        The event loop of asyncio leaves a connection open, and does not read
        it, if the server closes between its acceptance and its set-up.
        """
        if self._socket is not None and self._socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._socket)
        await _run_iterations(ACCEPT_ITERATIONS)
        for site in self._runner.sites:
            await site.stop()


async def _run_iterations(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)
