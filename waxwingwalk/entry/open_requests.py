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

from waxwingwalk.connections import bodies
from waxwingwalk.connections import protocol
from waxwingwalk.core import results
from waxwingwalk.entry import links
from waxwingwalk.entry import replies

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ProcessEndedError(Exception):
    """The process ends before an operation of a request is complete."""


class NoMemoryError(Exception):
    """The process holds as many request bodies as it may."""


class OpenRequests:
    """Counts the open requests of all listeners, and ends them."""

    def __init__(self, is_draining: Callable[[], bool]) -> None:
        self._is_draining = is_draining
        self._is_ended = False
        self._limits: set[asyncio.Timeout] = set()
        self._open = 0
        self._arriving = 0

    @property
    def is_ended(self) -> bool:
        """Whether requests that would have to wait are refused."""
        return self._is_ended

    @property
    def in_progress(self) -> int:
        """The number of open requests whose body has arrived."""
        return self._open - self._arriving

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
        """Return the body of a request.

        A body that is still arriving does not delay the end of a drain, as
        nothing has been done for its request. Raise HTTPRequestEntityTooLarge
        for a body over the request's limit, and NoMemoryError if the process
        holds too many others until they are answered.
        """
        self._arriving += 1
        try:
            async with self.until_end():
                body = await bodies.read(request, request.client_max_size)
        except bodies.BodyTooLargeError:
            raise web.HTTPRequestEntityTooLarge(
                request.client_max_size
            ) from None
        finally:
            self._arriving -= 1
        if not protocol.serve(request, len(body)):
            raise NoMemoryError
        return body

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Count a request until it is answered.

        A response that is given during a drain ends its connection, so that
        its caller sends the next request to another process.
        """
        if request.path == links.LINK_PATH:
            return await handler(request)
        self._open += 1
        try:
            response = await handler(request)
        except ProcessEndedError:
            response = replies.draining().response()
        except NoMemoryError:
            reply = replies.Reply(results.ResultCode.QUEUE_FULL)
            response = reply.response()
        except web.HTTPException as error:
            self._close_after(error)
            raise
        finally:
            self._open -= 1
            protocol.end_request(request)
        self._close_after(response)
        return response

    def _close_after(self, response: web.StreamResponse) -> None:
        if self._is_draining():
            response.force_close()
