"""Listening sockets whose connections keep to the limits of a process."""

import asyncio
import contextlib
import socket

from aiohttp import web

from waxwingwalk.connections import guards
from waxwingwalk.connections import limits
from waxwingwalk.connections import protocol


def listen(
    address: str, port: int, listener: limits.Listener, backlog: int
) -> socket.socket:
    """Return a socket that listens, with bounded buffers for its connections.

    Links between hosts carry large messages, so theirs are the system's.
    """
    listening = socket.socket()
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if listener is not limits.Listener.PEERS:
            with contextlib.suppress(OSError):
                for option, size in (
                    (socket.SO_RCVBUF, limits.RECEIVE_BUFFER),
                    (socket.SO_SNDBUF, limits.SEND_BUFFER),
                ):
                    listening.setsockopt(socket.SOL_SOCKET, option, size)
        listening.bind((address, port))
        listening.listen(backlog)
    except OSError:
        listening.close()
        raise
    return listening


class GuardedSite(web.SockSite):
    """Serves a runner's application within the limits of the process."""

    __slots__ = ("_guard", "_listener")

    def __init__(
        self,
        runner: web.BaseRunner,
        listening: socket.socket,
        guard: guards.Guard,
        listener: limits.Listener,
    ) -> None:
        super().__init__(
            runner, listening, backlog=guard.ledger.limits.backlog
        )
        self._guard = guard
        self._listener = listener

    async def start(self) -> None:
        """Accept connections."""
        await web.BaseSite.start(self)
        loop = asyncio.get_running_loop()
        server = self._runner.server
        assert server is not None
        self._server = await loop.create_server(
            lambda: protocol.GuardedProtocol(
                server, self._guard, self._listener, loop
            ),
            sock=self._sock,
            backlog=self._backlog,
        )
