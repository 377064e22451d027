"""Reads request bodies up to a limit."""

from aiohttp import web

from waxwingwalk.connections import limits
from waxwingwalk.connections import protocol

# Bytes of a body that are kept in one piece until it is whole.
BLOCK = 16 * 2**10


class BodyTooLargeError(Exception):
    """The body of a request has more bytes than are allowed."""


async def read(request: web.Request, size_max: int) -> bytes:
    """Return the body of a request.

    The request does not keep it. Raise ``BodyTooLargeError`` once it is known
    that the body is too large; the rest is not read.
    """
    body = _Body()
    if (request.content_length or 0) <= size_max:
        try:
            while body.size <= size_max:
                part = await request.content.readany()
                if not part:
                    return body.join()
                body.append(part)
        finally:
            # The traceback of an error keeps this frame.
            body.clear()
    if isinstance(request.protocol, protocol.GuardedProtocol):
        request.protocol.discard_body(limits.Reason.BODY)
    raise BodyTooLargeError


class _Body:
    """The parts of a body that have arrived.

    One block that grows would leave gaps of all sizes in the heap, and many
    small parts take more than they hold.
    """

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytes] = []
        self._last = bytearray()

    def append(self, part: bytes) -> None:
        """Add what has arrived."""
        self.size += len(part)
        self._last += part
        if len(self._last) >= BLOCK:
            self._blocks.append(bytes(self._last))
            self._last.clear()

    def join(self) -> bytes:
        """Return all that has arrived."""
        return b"".join([*self._blocks, bytes(self._last)])

    def clear(self) -> None:
        """Forget what has arrived."""
        self._blocks.clear()
        self._last.clear()
