"""The HTTP requests that a process has read but not answered.

At the end of a drain, each of them gets its final answer before the listeners
are closed. Operations that handlers wait for are bounded by
:meth:`OpenRequests.until_end`, so that a handler learns of the end and can
answer with a code that says what may have happened.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from aiohttp import web

from waxwingwalk.entry import replies

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ProcessEndedError(Exception):
    """The process ends before an operation of a request is complete."""


class OpenRequests:
    """Ends the requests of all listeners that wait at a drain's end."""

    def __init__(self, is_draining: Callable[[], bool]) -> None:
        self._is_draining = is_draining
        self._is_ended = False
        self._limits: set[asyncio.Timeout] = set()

    @property
    def is_ended(self) -> bool:
        """Whether requests that would have to wait are refused."""
        return self._is_ended

    def end(self) -> None:
        """End all operations that requests wait for, and later ones."""
        if self._is_ended:
            return
        self._is_ended = True
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now)

    @contextlib.asynccontextmanager
    async def until_end(self) -> AsyncIterator[None]:
        """Raise ProcessEndedError where an operation waits at the end."""
        limit = asyncio.timeout(0 if self._is_ended else None)
        try:
            async with limit:
                self._limits.add(limit)
                try:
                    yield
                finally:
                    self._limits.discard(limit)
        except TimeoutError:
            if limit.expired():
                raise ProcessEndedError from None
            raise

    async def read_body(self, request: web.Request) -> bytes:
        """Return the body of a request."""
        async with self.until_end():
            return await request.read()

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Answer a request, with a refusal if the process ends.

        A response that is given during a drain ends its connection, so that
        its caller sends the next request to another process.
        """
        try:
            response = await handler(request)
        except ProcessEndedError:
            response = replies.draining().response()
        except web.HTTPException as error:
            self._close_after(error)
            raise
        self._close_after(response)
        return response

    def _close_after(self, response: web.StreamResponse) -> None:
        if self._is_draining():
            response.force_close()
