"""The HTTP requests that a process has read but not answered."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class OpenRequests:
    """Handles what the requests of all listeners have in common."""

    def __init__(self, is_draining: Callable[[], bool]) -> None:
        self._is_draining = is_draining

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Answer a request.

        A response that is given during a drain ends its connection, so that
        its caller sends the next request to another process.
        """
        try:
            response = await handler(request)
        except web.HTTPException as error:
            self._close_after(error)
            raise
        self._close_after(response)
        return response

    def _close_after(self, response: web.StreamResponse) -> None:
        if self._is_draining():
            response.force_close()
